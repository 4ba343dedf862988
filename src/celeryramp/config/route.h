#pragma once

#include <string>

namespace celeryramp {

/*! @brief Who may call a route. */
enum class RouteAccess {
    Account, /*!< Callers with a key of a client account. */
    Open, /*!< Anybody, without a key. */
    Internal /*!< Calls of backend servers only. */
};

/*! @brief Maps a path prefix to a service and a class of work. */
struct Route
{
    std::string path; /*!< Prefix of whole segments, such as `/stock`. */
    std::string service;
    std::string workClass;
    RouteAccess access = RouteAccess::Account;
};

} // namespace celeryramp
