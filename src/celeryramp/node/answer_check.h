#pragma once

#include "http/answer_error.h"
#include "wire/call_message.h"

namespace celeryramp {

/*!
 * @brief Checks an answer that another node sends, or has kept for a repeated request. The node may
 * be of another release.
 * @return Why it cannot be passed on; `None` if it can.
 */
[[nodiscard]] http::AnswerError checkAnswer(int status, const HeaderList &headers) noexcept;

} // namespace celeryramp
