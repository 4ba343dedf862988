#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include "core/address.h"
#include "core/time.h"
#include "engine/mechanisms.h"

namespace celeryramp::engine {

/*! @brief Identity, addresses and limits of one node. */
struct EngineSettings
{
    std::string name; /*!< Name of the node, for logs. */
    std::string zone;
    std::string service; /*!< Service of the backend server beside the node. */
    Address callers; /*!< Listening address for callers. */
    Address links; /*!< Listening address for peers, which all use the same port. */
    Address readiness; /*!< Listening address of the readiness check. */
    Address backend; /*!< Address of the backend server beside the node. */
    std::optional<Address> metrics;
    std::optional<Address> linksListen; /*!< Listening address for peers if they reach `links`
                                           through something in between. */
    Mechanisms mechanisms;

    /*! Time within which a published configuration must be in force on every node. */
    Millis configurationBound{2000};
    Millis keyFreshness{4500}; /*!< Maximum age of the replica for checking API keys. */
    Millis lapseGrace{1500}; /*!< Use of server entries that expired while the source was down. */
    Millis grace{6000}; /*!< Time from the stop request until the process is killed. */
    std::size_t memoryBytes = 256U << 20U; /*!< Memory limit of the process. */
    double linkMegabits = 0.0; /*!< Rate of the host's link in Mbit/s; 0 if it is unknown. */
    std::size_t maxConnections = 0; /*!< Of callers, at a time; 0 for no limit. */
    std::string concurrency = "published"; /*!< See `admission::makeConcurrencyLimit`. */
    double retryRatio = 0.2; /*!< Retries per request, over all nodes. */
};

} // namespace celeryramp::engine
