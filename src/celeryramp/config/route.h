#pragma once

#include <string>

namespace celeryramp {

/*! @brief Who may call a route. */
enum class RouteAccess {
    Account, /*!< Callers that present a key of a client account. */
    Open, /*!< Any caller; no key is required. */
    Internal /*!< Backend servers only. */
};

/*! @brief Maps a path prefix to a service and a work class. */
struct Route
{
    std::string path; /*!< Prefix that matches complete path segments, such as `/stock`. */
    std::string service;
    std::string workClass;
    RouteAccess access = RouteAccess::Account;
};

} // namespace celeryramp
