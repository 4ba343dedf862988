#include "engine/zone_monitor.h"

#include <algorithm>

#include "observe/log.h"

namespace celeryramp::engine {

ZoneMonitor::ZoneMonitor(const EngineSettings &settings, links::PeerLinks &peers,
                         MetricsRegistry &metrics, std::uint64_t seed)
    : m_settings{settings}, m_peers{peers}, m_metrics{metrics}, m_random{seed}
{ }

void ZoneMonitor::onDirectory(const directory::DirectoryPtr &view)
{
    if (view == m_view) {
        return;
    }
    m_view = view;
    m_zoneByHost.clear();
    m_hostsByZone.clear();
    for (const auto &[id, server] : view->servers) {
        const auto &host = server.address.host;
        if (host != m_settings.links.host && m_zoneByHost.emplace(host, server.zone).second) {
            m_hostsByZone[server.zone].push_back(host);
        }
    }
}

void ZoneMonitor::onSent(const Address &peer, TimePoint now)
{
    if (const auto it = m_zoneByHost.find(peer.host); it != m_zoneByHost.end()) {
        m_zones.onSent(it->second, now);
    }
}

void ZoneMonitor::onHeard(const Address &peer, TimePoint now)
{
    if (const auto it = m_zoneByHost.find(peer.host);
        it != m_zoneByHost.end() && m_zones.onHeard(it->second, now)) {
        logEvent(LogLevel::Info, "engine", "zone-heard",
                 {{"zone", it->second}, {"peer", peer.text()}});
    }
}

std::vector<Address> ZoneMonitor::poll(TimePoint now)
{
    const auto actions = m_zones.poll(now);
    for (const auto &zone : actions.toPing) {
        ping(zone, now);
    }
    std::vector<Address> peers;
    for (const auto &zone : actions.suspected) {
        m_metrics.counter("zones_suspected_total{zone=\"" + zone + "\"}").add();
        logEvent(LogLevel::Warn, "engine", "zone-silent", {{"zone", zone}});
        for (const auto &host : m_hostsByZone[zone]) {
            peers.push_back({host, m_settings.links.port});
        }
    }
    return peers;
}

void ZoneMonitor::ping(const std::string &zone, TimePoint now)
{
    const auto &hosts = m_hostsByZone[zone];
    if (hosts.empty()) {
        return;
    }
    // Of those that were not pinged yet, one with an open link: it answers in a round trip.
    const auto first = m_random.below(hosts.size());
    const auto rating = [&](const std::string &host) {
        return (m_zones.wasPinged(zone, host) ? 2 : 0)
                + (m_peers.isOpen({host, m_settings.links.port}) ? 0 : 1);
    };
    const auto *chosen = &hosts[first];
    for (std::size_t i = 1; i < hosts.size(); ++i) {
        if (const auto &host = hosts[(first + i) % hosts.size()]; rating(host) < rating(*chosen)) {
            chosen = &host;
        }
    }
    m_peers.probe({*chosen, m_settings.links.port}, now);
    m_zones.onPinged(zone, *chosen, now);
}

} // namespace celeryramp::engine
