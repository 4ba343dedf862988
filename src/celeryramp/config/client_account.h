#pragma once

#include <string>

namespace celeryramp {

/*! @brief A customer of the mesh and its rate limit across all nodes. */
struct ClientAccount
{
    std::string name;
    double rate = 0.0; /*!< Calls per second across all instances. */
    double burst = 0.0; /*!< Calls admitted above the rate in any window. */
};

} // namespace celeryramp
