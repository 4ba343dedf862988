#include "proxy/answer_check.h"

#include <algorithm>
#include <array>

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

} // namespace celeryramp::proxy
