#pragma once

#include <string>

namespace celeryramp {

/*! @brief A customer of the mesh with its fleet-wide limits. */
struct ClientAccount
{
    std::string name;
    double rate = 0.0; /*!< Calls per second over all instances. */
    double burst = 0.0; /*!< Calls admitted above the rate in any window. */
};

} // namespace celeryramp
