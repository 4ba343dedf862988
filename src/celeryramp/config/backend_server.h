#pragma once

#include <string>

#include "core/address.h"

namespace celeryramp {

/*! @brief One instance of a service and the addresses of the node that runs beside it. */
struct BackendServer
{
    std::string name;
    std::string service;
    std::string zone;
    Address node; /*!< Address on which this server's node accepts peer connections. */
    Address operatorPort; /*!< Address of the operator interface of this server's node. */
    int slots = 0; /*!< Number of requests that the server processes concurrently when warm. */
};

} // namespace celeryramp
