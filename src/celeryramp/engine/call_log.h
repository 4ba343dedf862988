#pragma once

#include <string>
#include <string_view>

#include "core/time.h"
#include "observe/metrics_registry.h"
#include "proxy/frames.h"

namespace celeryramp::engine {

/*! One in this many successful requests is logged. All nodes sample the same requests. */
inline constexpr std::uint64_t kSuccessSample = 32;

/*! @return True if the request is logged although it succeeds. */
[[nodiscard]] bool isSampled(const std::string &requestId) noexcept;

/*!
 * @brief Logs the end of a call at the gate. Successful calls are sampled.
 * @param total Time from arrival at the gate until the reply.
 * @param atServer Part of `total` after the call was sent to the server; 0 if it was not.
 */
void logGateEnd(const proxy::CallFrame &call, const proxy::ReplyFrame &reply,
                const std::string &serverId, Millis total, Millis atServer);

/*! @brief A response that was received and is not used. */
struct RejectedAnswer
{
    std::string_view kind; /*!< `server`, `health`, `source` or `peer`. */
    std::string requestId; /*!< Empty if it answers no caller's request. */
    std::string sender; /*!< Server or node that sent it; empty for the source. */
    std::string_view reason; /*!< Name of a `http::AnswerError`. */
};

/*! @brief Logs and counts a response that is not used. */
void recordRejectedAnswer(MetricsRegistry &metrics, const RejectedAnswer &rejected);

} // namespace celeryramp::engine
