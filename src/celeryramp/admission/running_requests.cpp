#include "admission/running_requests.h"

namespace celeryramp::admission {

void RunningRequests::add(const std::string &requestId, const RunningRequest &request)
{
    m_requests.insert_or_assign(requestId, request);
}

void RunningRequests::remove(const std::string &requestId)
{
    m_requests.erase(requestId);
}

std::optional<RunningRequest> RunningRequests::find(const std::string &requestId) const
{
    const auto it = m_requests.find(requestId);
    return it == m_requests.end() ? std::nullopt : std::optional{it->second};
}

} // namespace celeryramp::admission
