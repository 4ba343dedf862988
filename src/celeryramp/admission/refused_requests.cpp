#include "admission/refused_requests.h"

namespace celeryramp::admission {

namespace internal {

/*! Callers may round or shorten their deadline differently on each attempt, by this share of it. */
constexpr double kDeadlineTolerance = 0.2;

} // namespace internal

void RefusedRequests::onRefused(std::uint64_t digest, TimePoint target, TimePoint deadline,
                                TimePoint now)
{
    const auto tolerance = std::chrono::duration_cast<TimePoint::duration>(
            (deadline - now) * internal::kDeadlineTolerance);
    m_entries[digest] = {target, deadline + tolerance, m_nextNumber};
    m_ages.push_back({digest, m_nextNumber});
    ++m_nextNumber;
    while (m_ages.size() > kMaxEntries) {
        const auto oldest = m_ages.front();
        m_ages.pop_front();
        if (const auto it = m_entries.find(oldest.digest);
            it != m_entries.end() && it->second.number == oldest.number) {
            m_entries.erase(it);
        }
    }
}

std::optional<TimePoint> RefusedRequests::take(std::uint64_t digest, TimePoint deadline,
                                               TimePoint now)
{
    const auto it = m_entries.find(digest);
    if (it == m_entries.end() || now >= it->second.latestReturn
        || deadline > it->second.latestReturn) {
        return std::nullopt;
    }
    const auto target = it->second.target;
    m_entries.erase(it);
    return target;
}

void RefusedRequests::sweep(TimePoint now)
{
    while (!m_ages.empty()) {
        const auto it = m_entries.find(m_ages.front().digest);
        const bool isCurrent = it != m_entries.end() && it->second.number == m_ages.front().number;
        if (isCurrent && now < it->second.latestReturn) {
            return;
        }
        if (isCurrent) {
            m_entries.erase(it);
        }
        m_ages.pop_front();
    }
}

} // namespace celeryramp::admission
