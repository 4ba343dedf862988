#include "membership/failure_detector.h"

#include <algorithm>

namespace celeryramp {

void FailureDetector::recordHeartbeat(const std::string &server, std::uint64_t incarnation,
                                      TimePoint now)
{
    auto &member = m_members[server];
    member.incarnation = std::max(member.incarnation, incarnation);
    member.lastHeartbeat = now;
    member.connectionRefused = false;
    member.reported = false;
}

void FailureDetector::recordConnectionRefused(const std::string &server)
{
    if (const auto it = m_members.find(server); it != m_members.end()) {
        it->second.connectionRefused = true;
    }
}

void FailureDetector::restartTimeouts(TimePoint now)
{
    for (auto &[server, member] : m_members) {
        member.lastHeartbeat = now;
    }
}

void FailureDetector::stopMonitoring(const std::string &server)
{
    m_members.erase(server);
}

std::uint64_t FailureDetector::incarnationOf(const std::string &server) const
{
    const auto it = m_members.find(server);
    return it == m_members.end() ? 0 : it->second.incarnation;
}

std::vector<MissingMember> FailureDetector::poll(TimePoint now)
{
    std::vector<MissingMember> missing;
    for (auto &[server, member] : m_members) {
        const bool silent = now - member.lastHeartbeat >= kSuspicionTimeout;
        if (!member.reported && (silent || member.connectionRefused)) {
            member.reported = true;
            missing.push_back({server, member.incarnation});
        }
    }
    return missing;
}

} // namespace celeryramp
