#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/time.h"
#include "directory/account_list.h"
#include "directory/directory_error.h"
#include "directory/route.h"
#include "directory/service.h"

namespace celeryramp::directory {

/*! @brief Size and time limits for the requests of callers. */
struct InputLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Millis headerTimeout{3000}; /*!< From the first byte of a request to the end of its header. */
    Millis idleTimeout{15'000}; /*!< An idle keep-alive connection is closed after this time. */
};

/*! @brief One complete published version of the configuration. */
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    AccountList accounts;
    InputLimits limits;
    std::vector<DirectoryError> problems; /*!< Entries that cannot be read, and why. */
};

} // namespace celeryramp::directory
