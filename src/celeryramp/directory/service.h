#pragma once

#include <string>

#include "core/time.h"

namespace celeryramp::directory {

/*! @brief A group of interchangeable backend servers and the limits of each of them. */
struct Service
{
    std::string name;
    std::string healthPath;
    int maxConnections = 0; /*!< Per server; 0 means unlimited. */
    Millis coldStart{0}; /*!< Time after its start for which a server is cold. */
    double coldPerSecond = 0.0; /*!< Request rate limit of a cold server; 0 means unlimited. */
};

} // namespace celeryramp::directory
