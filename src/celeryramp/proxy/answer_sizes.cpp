#include "proxy/answer_sizes.h"

#include <algorithm>

#include "proxy/frames.h"

namespace celeryramp::proxy {

namespace internal {

/*! Limit in bytes for priority 0; the size of a large answer of a business service. */
constexpr std::size_t kMaxUrgentBytes = 8'000;
/*! Weight of the newest answer in the moving average, which covers about the last 20 answers. */
constexpr double kSmoothingFactor = 0.05;

} // namespace internal

std::size_t spillAllowance(int priority) noexcept
{
    return internal::kMaxUrgentBytes / static_cast<std::size_t>(1 + std::max(0, priority));
}

bool maySpill(std::size_t requestBytes, std::size_t answerBytes, int priority,
              bool areLinksKnown) noexcept
{
    return (areLinksKnown && answerBytes > kInlineBodyBytes)
            || requestBytes + answerBytes <= spillAllowance(priority);
}

void AnswerSizes::onAnswer(const std::string &route, std::size_t bytes)
{
    const auto newest = static_cast<double>(bytes);
    const auto [it, isNew] = m_meanBytes.try_emplace(route, newest);
    if (!isNew) {
        it->second += internal::kSmoothingFactor * (newest - it->second);
    }
}

std::size_t AnswerSizes::expected(const std::string &route) const
{
    const auto it = m_meanBytes.find(route);
    return it == m_meanBytes.end() ? 0 : static_cast<std::size_t>(it->second);
}

} // namespace celeryramp::proxy
