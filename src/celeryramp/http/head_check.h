#pragma once

#include "http/answer_error.h"
#include "http/field_syntax.h"
#include "http/message.h"

namespace celeryramp::http {

/*!
 * @brief Checks the head of an answer that was not read from a server, but came from another node.
 * @param fields Names and values, without those that frame the body: the node that sends the answer
 * on adds its own.
 * @return Why it cannot be the head of a final response; `None` if it can.
 */
template <typename Fields>
[[nodiscard]] AnswerError checkHead(int status, const Fields &fields) noexcept
{
    constexpr int kFirstFinal = 200;
    if (status < kFirstFinal || !isServerStatus(status)) {
        return AnswerError::Status;
    }
    for (const auto &[name, value] : fields) {
        if (!isFieldName(name) || !isFieldValue(value)) {
            return AnswerError::Field;
        }
        if (equalsIgnoreCase(name, "Content-Length")
            || equalsIgnoreCase(name, "Transfer-Encoding")) {
            return AnswerError::Framing;
        }
    }
    return AnswerError::None;
}

} // namespace celeryramp::http
