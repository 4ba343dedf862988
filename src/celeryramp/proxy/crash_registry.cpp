#include "proxy/crash_registry.h"

#include "core/hash.h"

namespace celeryramp::proxy {

std::uint64_t requestDigest(const std::string &account, const http::Request &request,
                            const std::string &body)
{
    return stableHash({account, request.method, request.target, body});
}

std::uint64_t requestDigest(const std::string &account, const http::Request &request)
{
    return requestDigest(account, request, request.body);
}

std::uint64_t requestDigest(const CallFrame &call)
{
    return requestDigest(call.account, call.request,
                         call.longBody ? call.longBody->bytes : call.request.body);
}

void CrashRegistry::onLost(std::uint64_t digest, TimePoint now)
{
    m_lostRequests.emplace_back(digest, now);
}

std::vector<SuspectFrame> CrashRegistry::onServerDown(const std::string &serverId, TimePoint now)
{
    std::vector<SuspectFrame> suspects;
    // The time keeps the ids distinct from those of earlier processes of this node.
    const auto crash = static_cast<std::uint64_t>(now.time_since_epoch().count()) + ++m_crashCount;
    for (const auto &[digest, lostAt] : m_lostRequests) {
        if (millisBetween(lostAt, now) <= kMaxDetectionDelay) {
            suspects.push_back({digest, serverId, crash});
        }
    }
    m_lostRequests.clear();
    return suspects;
}

void CrashRegistry::onSuspect(const SuspectFrame &suspect, TimePoint now)
{
    auto &entry = m_suspects[suspect.digest];
    entry.crashes.emplace(suspect.serverId, suspect.crash);
    entry.lastAt = now;
}

void CrashRegistry::onServed(std::uint64_t digest)
{
    m_suspects.erase(digest);
}

bool CrashRegistry::isQuarantined(std::uint64_t digest, TimePoint now) const
{
    const auto it = m_suspects.find(digest);
    return it != m_suspects.end() && it->second.crashes.size() >= kCrashesToQuarantine
            && millisBetween(it->second.lastAt, now) < kCrashRetention;
}

void CrashRegistry::sweep(TimePoint now)
{
    while (!m_lostRequests.empty()
           && millisBetween(m_lostRequests.front().second, now) > kMaxDetectionDelay) {
        m_lostRequests.pop_front();
    }
    for (auto it = m_suspects.begin(); it != m_suspects.end();) {
        it = millisBetween(it->second.lastAt, now) >= kCrashRetention ? m_suspects.erase(it)
                                                                      : std::next(it);
    }
}

} // namespace celeryramp::proxy
