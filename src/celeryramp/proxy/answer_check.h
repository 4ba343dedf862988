#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "http/answer_error.h"
#include "http/exchange.h"
#include "proxy/frames.h"
#include "proxy/header_adapter.h"

namespace celeryramp::proxy {

/*!
 * @brief Judges a server's answer by its head, before its body has arrived.
 *
 * An answer without request id on a connection that has carried other requests may be a late copy
 * of an earlier answer, so it is not attributed to this request. A success must be signed and
 * unencoded, since a body that was changed on the way is not the server's. A status that promises
 * that the request has not run is believed only from the server itself.
 *
 * @param requestId Id of the request that waits on the connection.
 * @param isReused The connection has carried requests before.
 */
[[nodiscard]] http::AnswerMatch checkAnswer(int status, const AnswerMetadata &metadata,
                                            std::string_view requestId, bool isReused) noexcept;

/*!
 * @brief Checks an answer that another node sends, which may be of another release.
 * @param isHead The request uses the HEAD method.
 * @return Why the answer cannot be passed on; `None` if it can, and for replies without an answer.
 */
[[nodiscard]] http::AnswerError checkReply(const ReplyFrame &reply, bool isHead) noexcept;

/*! @return False if a part of a body exceeds the announced length, or ends the body before it. */
[[nodiscard]] bool fitsLength(const BodyFrame &part, std::optional<std::uint64_t> length) noexcept;

} // namespace celeryramp::proxy
