#pragma once

#include <cstdint>

namespace celeryramp::proxy {

/*! @brief Outcome of a call that was handed over to a server, as evidence of the server's health.
 */
enum class HandoverOutcome : std::uint8_t {
    Served,
    Failed, /*!< Refused, answered with a server error, lost or malformed. */
    Cancelled, /*!< Cancelled by the caller; the elapsed time is a lower bound. */
    NotSent /*!< Says nothing about the server. */
};

} // namespace celeryramp::proxy
