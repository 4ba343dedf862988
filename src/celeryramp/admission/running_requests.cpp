#include "admission/running_requests.h"

#include <algorithm>
#include <vector>

namespace celeryramp::admission {

void RunningRequests::add(const std::string &requestId, const RunningRequest &request)
{
    m_requests.insert_or_assign(requestId, Entry{request, {}, Micros{0}});
}

void RunningRequests::remove(const std::string &requestId)
{
    m_requests.erase(requestId);
}

std::optional<RunningRequest> RunningRequests::find(const std::string &requestId) const
{
    const auto it = m_requests.find(requestId);
    return it == m_requests.end() ? std::nullopt : std::optional{it->second.request};
}

std::optional<RunningRequest> RunningRequests::typical() const
{
    if (m_requests.empty()) {
        return std::nullopt;
    }
    std::vector<int> ranks;
    double repeats = 0.0;
    for (const auto &[id, entry] : m_requests) {
        ranks.push_back(entry.request.rank);
        repeats += entry.request.repeatShare;
    }
    const auto middle = ranks.begin() + static_cast<std::ptrdiff_t>(ranks.size() / 2);
    std::nth_element(ranks.begin(), middle, ranks.end());
    return RunningRequest{*middle, repeats / static_cast<double>(ranks.size())};
}

void RunningRequests::onCallEnded(const std::string &requestId, TimePoint begunAt, TimePoint now)
{
    if (const auto it = m_requests.find(requestId); it != m_requests.end()) {
        auto &entry = it->second;
        const auto from = std::max(begunAt, entry.callsUntil);
        entry.onCalls += std::chrono::duration_cast<Micros>(std::max(now, from) - from);
        entry.callsUntil = std::max(now, from);
    }
}

Micros RunningRequests::timeOnCalls(const std::string &requestId) const
{
    const auto it = m_requests.find(requestId);
    return it == m_requests.end() ? Micros{0} : it->second.onCalls;
}

} // namespace celeryramp::admission
