#pragma once

#include <string>
#include <vector>

#include "core/time.h"

namespace celeryramp::directory {

/*! @brief Destination service of a route and its share of the requests. */
struct SplitPart
{
    std::string service;
    int weight = 1; /*!< Relative to the other destinations of the route. */
};

/*! @brief Matches requests by host and path prefix, and sets their destinations and targets. */
struct Route
{
    std::string name;
    std::string host; /*!< Lower case, without port. */
    std::string prefix; /*!< Begins and ends with a slash. */
    bool isIdempotent = false; /*!< A request may be executed more than once. */
    bool isOpen = false; /*!< Requests need no API key. */
    bool isReadable
            = true; /*!< False: only name, host and prefix are known; requests are refused. */
    Millis timeout{0}; /*!< A request fails after this time. */
    Millis targetLatency{0}; /*!< Responses that take longer miss the target. */
    int maxAttempts = 1; /*!< Number of servers to which a request may be sent. */
    int priority = 0; /*!< 0 is the highest. */
    std::vector<SplitPart> split; /*!< At least one destination. */
};

} // namespace celeryramp::directory
