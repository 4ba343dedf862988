#include "node/answer_check.h"

#include "http/field_syntax.h"
#include "http/message.h"
#include "transport/headers.h"

namespace celeryramp {

http::AnswerError checkAnswer(int status, const HeaderList &headers) noexcept
{
    constexpr int kFirstFinal = 200;
    if (status < kFirstFinal || !http::isServerStatus(status)) {
        return http::AnswerError::Status;
    }
    for (const auto &[name, value] : headers) {
        if (!http::isFieldName(name) || !http::isFieldValue(value)) {
            return http::AnswerError::Field;
        }
        if (sameHeader(name, "Content-Length") || sameHeader(name, "Transfer-Encoding")) {
            return http::AnswerError::Framing; // the node that sends the answer on adds its own
        }
    }
    return http::AnswerError::None;
}

} // namespace celeryramp
