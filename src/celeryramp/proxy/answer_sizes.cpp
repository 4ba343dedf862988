#include "proxy/answer_sizes.h"

#include <algorithm>

namespace celeryramp::proxy {

namespace internal {

/*! For the most urgent calls: a large answer of a business service. */
constexpr std::size_t kUrgentAllowance = 8'000;
/*! Weight of the newest answer; about the last 20. */
constexpr double kWeight = 0.05;

} // namespace internal

std::size_t spillAllowance(int priority) noexcept
{
    return internal::kUrgentAllowance / static_cast<std::size_t>(1 + std::max(0, priority));
}

void AnswerSizes::onAnswer(const std::string &route, std::size_t bytes)
{
    const auto newest = static_cast<double>(bytes);
    const auto [it, isNew] = m_sizes.try_emplace(route, newest);
    if (!isNew) {
        it->second += internal::kWeight * (newest - it->second);
    }
}

std::size_t AnswerSizes::expected(const std::string &route) const
{
    const auto it = m_sizes.find(route);
    return it == m_sizes.end() ? 0 : static_cast<std::size_t>(it->second);
}

} // namespace celeryramp::proxy
