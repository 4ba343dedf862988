#pragma once

#include <cstdint>

namespace celeryramp::proxy {

/*! @brief How a call that was handed to a server ended there, as far as it tells of the server. */
enum class HandoverEnd : std::uint8_t {
    Served,
    Failed, /*!< Refused, answered with an error, lost or garbled. */
    Cancelled, /*!< Given up from outside; the time it took is a lower bound. */
    NotSent /*!< Tells nothing of the server. */
};

} // namespace celeryramp::proxy
