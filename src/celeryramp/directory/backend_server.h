#pragma once

#include <cstdint>
#include <string>

#include "core/address.h"
#include "core/time.h"

namespace celeryramp::directory {

/*! @brief State of one incarnation of a backend server, as the server last published it. */
struct BackendServer
{
    std::string id;
    std::string service;
    std::string zone;
    Address address; /*!< Where the server listens; its node runs on the same host. */
    int slots = 1; /*!< Number of requests that the server runs concurrently. */
    bool isDraining = false;
    Millis coldRemaining{0}; /*!< Remaining cold time when this state was published. */
    std::uint64_t startedMillis = 0; /*!< Unix time of the start; identifies the incarnation. */
    std::uint64_t sequence = 0; /*!< Rises with each state that this incarnation publishes. */
    TimePoint learnedAt; /*!< When this node received this state. */

    /*! @return True if both describe the same incarnation of the same server. */
    [[nodiscard]] bool isSameIncarnation(const BackendServer &other) const noexcept
    {
        return id == other.id && startedMillis == other.startedMillis;
    }
};

} // namespace celeryramp::directory
