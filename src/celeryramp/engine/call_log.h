#pragma once

#include <string>

#include "core/time.h"
#include "proxy/frames.h"

namespace celeryramp::engine {

/*! One in this many successful requests is logged. All nodes sample the same requests. */
inline constexpr std::uint64_t kSuccessSample = 32;

/*! @return True if the request is logged although it succeeds. */
[[nodiscard]] bool isSampled(const std::string &requestId) noexcept;

/*!
 * @brief Logs the end of a call at the gate. Successful calls are sampled.
 * @param origin Process that sent the call.
 * @param total Time from arrival at the gate until the reply.
 * @param atServer Part of `total` after the call was sent to the server; 0 if it was not.
 */
void logGateEnd(const proxy::CallFrame &call, const proxy::ReplyFrame &reply,
                const std::string &serverId, const std::string &origin, Millis total,
                Millis atServer);

} // namespace celeryramp::engine
