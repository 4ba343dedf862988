#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "core/time.h"

namespace celeryramp::http {

/*! Time after which the kernel closes a connection with unacknowledged bytes or unanswered
 *  probes. */
inline constexpr Millis kUserTimeout{3000};
/*! Idle time before the first keep-alive probe and interval between probes, in seconds. */
inline constexpr int kKeepAliveSeconds = 2;
/*! Number of unanswered probes after which the kernel closes a connection. */
inline constexpr int kKeepAliveProbes = 3;

/*!
 * @brief Sets the options that all connections share: TCP_NODELAY, keep-alive probes and
 * TCP_USER_TIMEOUT. An option that cannot be set is logged and skipped.
 */
void applySocketOptions(boost::asio::ip::tcp::socket &socket);

} // namespace celeryramp::http
