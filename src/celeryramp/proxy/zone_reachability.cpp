#include "proxy/zone_reachability.h"

namespace celeryramp::proxy {

void ZoneReachability::onSent(const std::string &zone, TimePoint now)
{
    if (const auto [it, isNew] = m_quiet.try_emplace(zone); isNew) {
        it->second.since = now;
    }
}

bool ZoneReachability::onHeard(const std::string &zone, TimePoint /*now*/)
{
    const auto it = m_quiet.find(zone);
    if (it == m_quiet.end()) {
        return false;
    }
    const bool wasSuspected = it->second.isSuspected;
    m_suspectedCount -= wasSuspected ? 1 : 0;
    m_quiet.erase(it);
    return wasSuspected;
}

void ZoneReachability::onPinged(const std::string &zone, const std::string &host, TimePoint now)
{
    const auto it = m_quiet.find(zone);
    if (it == m_quiet.end()) {
        return;
    }
    auto &quiet = it->second;
    quiet.lastPingAt = now;
    if (quiet.pinged.insert(host).second && quiet.pinged.size() == kMinPeers) {
        quiet.enoughPingedAt = now;
    }
}

ZoneReachability::Actions ZoneReachability::poll(TimePoint now)
{
    Actions actions;
    const bool wasHeldUp = millisBetween(m_polledAt, now) > kOwnStall;
    m_polledAt = now;
    for (auto &[zone, quiet] : m_quiet) {
        if (wasHeldUp && !quiet.isSuspected) {
            quiet = {};
            quiet.since = now;
            continue;
        }
        const auto interval = quiet.isSuspected ? kProbeInterval : kPingInterval;
        if (millisBetween(quiet.since, now) > kQuietTime
            && millisBetween(quiet.lastPingAt, now) > interval) {
            actions.toPing.push_back(zone);
        }
        if (!quiet.isSuspected && quiet.pinged.size() >= kMinPeers
            && millisBetween(quiet.enoughPingedAt, now) > kPingTimeout) {
            quiet.isSuspected = true;
            ++m_suspectedCount;
            actions.suspected.push_back(zone);
        }
    }
    return actions;
}

bool ZoneReachability::isSuspected(const std::string &zone) const
{
    const auto it = m_quiet.find(zone);
    return it != m_quiet.end() && it->second.isSuspected;
}

bool ZoneReachability::wasPinged(const std::string &zone, const std::string &host) const
{
    const auto it = m_quiet.find(zone);
    return it != m_quiet.end() && it->second.pinged.count(host) > 0;
}

} // namespace celeryramp::proxy
