#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace celeryramp {

/*! @brief Interval between two heartbeats to the same neighbour. */
inline constexpr Millis kHeartbeatInterval{2000};
/*! @brief Silence after which an observer suspects a neighbour. */
inline constexpr Millis kSuspicionTimeout{3 * kHeartbeatInterval};

/*! @brief A neighbour that this node misses. */
struct Missing
{
    std::string server;
    std::uint64_t incarnation = 0; /*!< Last incarnation heard from. */
};

/*!
 * @brief Watches those members that send this node heartbeats.
 * Says nothing about members it never heard from.
 */
class FailureDetector
{
public:
    /*! @brief A member gave a sign of life. */
    void heard(const std::string &server, std::uint64_t incarnation, TimePoint now);

    /*! @brief A member cannot be connected to: its host answers that nobody listens. */
    void refused(const std::string &server);

    /*! @brief This process itself was paused; silence in that time proves nothing. */
    void forgive(TimePoint now);

    /*! @brief No longer watches a member that is heard elsewhere. */
    void forget(const std::string &server);

    /*! @return Highest incarnation heard from a member; 0 when none was. */
    [[nodiscard]] std::uint64_t incarnationOf(const std::string &server) const;

    /*! @return Members that went missing since the last call; each is reported once per silence. */
    [[nodiscard]] std::vector<Missing> poll(TimePoint now);

private:
    struct Watch
    {
        std::uint64_t incarnation = 0;
        TimePoint lastHeard;
        bool refused = false;
        bool reported = false;
    };

    std::map<std::string, Watch> m_watches;
};

} // namespace celeryramp
