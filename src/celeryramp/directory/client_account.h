#pragma once

#include <optional>
#include <string>
#include <vector>

namespace celeryramp::directory {

/*! @brief A customer of the mesh with its API keys and its rate limit over the whole fleet. */
struct ClientAccount
{
    std::string name;
    std::vector<std::string> keys;
    int priority = 0; /*!< 0 is the highest; takes precedence over the route's priority. */
    double rate = 0.0; /*!< Requests per second over all nodes; 0 means unlimited. */
    double burst = 0.0; /*!< Number of requests admitted in excess of the rate. */
    bool isReadable = true; /*!< False: only name and keys are known; requests are refused. */
};

} // namespace celeryramp::directory
