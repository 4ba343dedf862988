#include "proxy/answer_check.h"

#include <algorithm>
#include <array>

#include "http/field_syntax.h"
#include "http/message.h"

namespace celeryramp::proxy {

namespace internal {

constexpr int kFirstRedirect = 300;
/*! Statuses that promise callers that the request has not run and will not. */
constexpr std::array<int, 3> kNotRunStatuses{408, 429, 503};

constexpr int kFirstFinal = 200;

[[nodiscard]] http::AnswerError checkFields(const http::Headers &headers) noexcept
{
    for (const auto &[name, value] : headers) {
        if (!http::isFieldName(name) || !http::isFieldValue(value)) {
            return http::AnswerError::Field;
        }
        if (http::equalsIgnoreCase(name, "Content-Length")
            || http::equalsIgnoreCase(name, "Transfer-Encoding")) {
            return http::AnswerError::Framing; // the node that sends the answer on adds its own
        }
    }
    return http::AnswerError::None;
}

} // namespace internal

http::AnswerMatch checkAnswer(int status, const AnswerMetadata &metadata,
                              std::string_view requestId, bool isReused) noexcept
{
    if (!metadata.requestId.empty() && metadata.requestId != requestId) {
        return http::AnswerMatch::Foreign;
    }
    if (metadata.requestId.empty() && isReused) {
        return http::AnswerMatch::Invalid;
    }
    if (metadata.isNotRun || metadata.isOtherServer) {
        return http::AnswerMatch::Ours;
    }
    if (status < internal::kFirstRedirect && (!metadata.isSigned || metadata.isEncoded)) {
        return http::AnswerMatch::Invalid;
    }
    const auto &statuses = internal::kNotRunStatuses;
    const bool promisesNotRun
            = std::find(statuses.begin(), statuses.end(), status) != statuses.end();
    return promisesNotRun && !metadata.isSigned ? http::AnswerMatch::Invalid
                                                : http::AnswerMatch::Ours;
}

bool fitsLength(const BodyFrame &part, std::optional<std::uint64_t> length) noexcept
{
    const auto received = part.offset + part.bytes.size();
    return !length || (part.end == BodyEnd::Complete ? received == *length : received <= *length);
}

http::AnswerError checkReply(const ReplyFrame &reply, bool isHead) noexcept
{
    if (reply.kind != ReplyKind::Answer) {
        return http::AnswerError::None;
    }
    const auto &answer = reply.answer;
    if (answer.status < internal::kFirstFinal || !http::isServerStatus(answer.status)) {
        return http::AnswerError::Status;
    }
    if (!http::isFieldValue(answer.reason)) {
        return http::AnswerError::Syntax;
    }
    if (reply.hasMore && (isHead || !http::mayHaveBody(answer.status))) {
        return http::AnswerError::Framing;
    }
    return internal::checkFields(answer.headers);
}

} // namespace celeryramp::proxy
