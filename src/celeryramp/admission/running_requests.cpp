#include "admission/running_requests.h"

#include <algorithm>

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
