#pragma once

#include <string>

#include "core/address.h"

namespace celeryramp {

/*! @brief One instance of a service and the node in its slot. */
struct BackendServer
{
    std::string name;
    std::string service;
    std::string zone;
    Address node; /*!< Where the node of this server listens for its peers. */
    Address operatorPort; /*!< Where the node of this server answers operators. */
    int slots = 0; /*!< Requests the server runs at a time when warm. */
};

} // namespace celeryramp
