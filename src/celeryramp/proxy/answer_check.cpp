#include "proxy/answer_check.h"

#include <algorithm>
#include <array>

#include "http/head_check.h"

namespace celeryramp::proxy {

namespace internal {

constexpr int kFirstRedirect = 300;
/*! Statuses that promise callers that the request has not run and will not. */
constexpr std::array<int, 3> kNotRunStatuses{408, 429, 503};

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
    if (const auto error = http::checkHead(answer.status, answer.headers);
        error != http::AnswerError::None) {
        return error;
    }
    if (!http::isFieldValue(answer.reason)) {
        return http::AnswerError::Syntax;
    }
    const bool hasBody = !isHead && http::mayHaveBody(answer.status);
    return reply.hasMore && !hasBody ? http::AnswerError::Framing : http::AnswerError::None;
}

} // namespace celeryramp::proxy
