#pragma once

#include <string>

namespace celeryramp::http {

/*! @brief Error from opening a listening socket. */
struct HttpError
{
    std::string place; /*!< Address as host and port. */
    std::string reason; /*!< Message of the system error. */
};

} // namespace celeryramp::http
