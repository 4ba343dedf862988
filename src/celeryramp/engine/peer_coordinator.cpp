#include "engine/peer_coordinator.h"

#include <algorithm>

#include "directory/reader_selection.h"
#include "observe/log.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! Minimum time between usage reports to other zones. It is below the tick interval, so a report
 * goes out on each tick: an account with a sudden burst is admitted in full until its usage has
 * reached the other zones and theirs has come back. */
constexpr Millis kZoneReportInterval{200};
/*! A node or zone counts as idle when it has had no demand of accounts for this long. */
constexpr Millis kIdleAfter{5000};
/*! Time between reports of an idle zone. Without them, the other zones would treat it as
 *  partitioned. */
constexpr Millis kIdleZoneReportInterval{2000};
/*! Time between reports of an idle node. The replies confirm its replica. Together with the pause
 * of readers this keeps the replica younger than the age from which the node reads for itself. */
constexpr Millis kIdleNodeReportInterval{500};
/*! Size in bytes above which changes are only announced and each node reads them itself. A reader's
 *  10 Mbit/s link sends this size to 20 nodes in a second; the platform's link is 100 times faster.
 */
constexpr std::size_t kMaxForwardedBytes = 64 * 1024;
/*! Time for which a node counts after its server is no longer published. The server may be down or
 * its entry may have expired while the node still serves callers. */
constexpr Millis kNodeTtl{30'000};
/*! Time between attempts to reach nodes that failed. */
constexpr Millis kProbeInterval{1000};
/*! Time for which a node that could not read the platform ranks behind the others as a reader. */
constexpr Millis kReadFailureTtl{2500};
/*! Time after its last usage report for which a node is pushed changes; idle nodes report every
 *  500 ms. */
constexpr Millis kSubscriptionTtl{2000};

} // namespace internal

PeerCoordinator::PeerCoordinator(const EngineSettings &settings, links::PeerLinks &peers,
                                 directory::Replica &replica, proxy::FleetLimiter &limiter,
                                 MetricsRegistry &metrics, std::uint64_t seed)
    : m_settings{settings}, m_peers{peers}, m_replica{replica}, m_limiter{limiter},
      m_metrics{metrics}, m_usageAggregator{settings.zone}, m_random{seed},
      m_schedule{settings.configurationBound}
{ }

std::vector<Address> PeerCoordinator::nodesInZone(const std::string &zone) const
{
    std::set<std::string> hosts;
    for (const auto &[id, server] : m_replica.view()->servers) {
        if (server.zone == zone && server.address.host != m_settings.links.host) {
            hosts.insert(server.address.host);
        }
    }
    for (const auto &[host, known] : m_knownNodes) {
        if (known.zone == zone) {
            hosts.insert(host);
        }
    }
    std::vector<Address> nodes;
    nodes.reserve(hosts.size());
    for (const auto &host : hosts) {
        nodes.push_back({host, m_settings.links.port});
    }
    return nodes;
}

std::size_t PeerCoordinator::nodeCount() const
{
    std::set<std::string> hosts{m_settings.links.host};
    for (const auto &[id, server] : m_replica.view()->servers) {
        hosts.insert(server.address.host);
    }
    for (const auto &[host, known] : m_knownNodes) {
        hosts.insert(host);
    }
    return hosts.size();
}

std::vector<std::string> PeerCoordinator::zones() const
{
    std::set<std::string> zones{m_settings.zone};
    for (const auto &[id, server] : m_replica.view()->servers) {
        zones.insert(server.zone);
    }
    for (const auto &[host, known] : m_knownNodes) {
        zones.insert(known.zone);
    }
    return {zones.begin(), zones.end()};
}

Address PeerCoordinator::aggregatorOf(const std::string &zone, TimePoint now) const
{
    Address best = zone == m_settings.zone ? m_settings.links : Address{};
    for (const auto &node : nodesInZone(zone)) {
        if ((best.host.empty() || node.host < best.host) && isReliable(node, now)) {
            best = node;
        }
    }
    return best;
}

std::optional<Millis> PeerCoordinator::readPause(TimePoint now) const
{
    const auto readingOrder = [this, now](const std::string &host) {
        return std::make_pair(hasReadFailed(host, now), host);
    };
    const auto own = readingOrder(m_settings.links.host);
    directory::ReaderPosition position;
    position.age = m_replica.age(now);
    position.selfReadAge = m_schedule.selfReadAge;
    position.isBehind = !m_replica.isComplete() || m_replica.position() < m_requiredPosition;
    for (const auto &node : nodesInZone(m_settings.zone)) {
        if (readingOrder(node.host) < own && isReliable(node, now)) {
            ++position.rank;
        }
    }
    return directory::readPause(position);
}

std::size_t PeerCoordinator::failingPeers(TimePoint now) const
{
    const auto nodes = nodesInZone(m_settings.zone);
    return static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(), [this, now](const Address &node) {
                return hasReadFailed(node.host, now);
            }));
}

bool PeerCoordinator::hasReadFailed(const std::string &host, TimePoint now) const
{
    const auto it = m_readFailedAt.find(host);
    return it != m_readFailedAt.end() && millisBetween(it->second, now) < internal::kReadFailureTtl;
}

void PeerCoordinator::setCanRead(bool canRead, TimePoint now)
{
    const bool wasAble = !hasReadFailed(m_settings.links.host, now);
    if (canRead == wasAble) {
        return;
    }
    onReaderStatus(m_settings.links, canRead, now);
    for (const auto &node : nodesInZone(m_settings.zone)) {
        send(node, proxy::ReaderStatusFrame{canRead}, now);
    }
}

void PeerCoordinator::onReaderStatus(const Address &peer, bool canRead, TimePoint now)
{
    if (canRead) {
        m_readFailedAt.erase(peer.host);
    } else {
        m_readFailedAt[peer.host] = now;
    }
}

void PeerCoordinator::forwardChanges(const proxy::ChangesFrame &changesFrame, TimePoint now)
{
    auto frame = proxy::encodeFrame(changesFrame);
    if (frame.size() > internal::kMaxForwardedBytes) {
        frame = proxy::encodeFrame(
                proxy::ChangesFrame{changesFrame.after, changesFrame.position, {}, {}, {}});
    }
    for (const auto &node : subscribers(now)) {
        // Failed nodes are tried by `probeFailedNodes` and catch up when they are back.
        if (m_peers.hasFailed(node)) {
            continue;
        }
        countStateFrame("changes", frame.size());
        if (!m_peers.send(node, frame, now)) {
            logEvent(LogLevel::Debug, "fleet", "news-not-sent", {{"peer", node.text()}});
        }
    }
}

void PeerCoordinator::broadcast(const proxy::Frame &frame, TimePoint now)
{
    for (const auto &zone : zones()) {
        for (const auto &node : nodesInZone(zone)) {
            send(node, frame, now);
        }
    }
}

bool PeerCoordinator::isReliable(const Address &peer, TimePoint now) const
{
    return m_peers.isReachable(peer, now) && !m_peers.hasFailed(peer);
}

void PeerCoordinator::probeFailedNodes(TimePoint now)
{
    if (millisBetween(m_lastProbeAt, now) < internal::kProbeInterval) {
        return;
    }
    m_lastProbeAt = now;
    for (const auto &zone : zones()) {
        auto nodes = nodesInZone(zone);
        nodes.erase(
                std::remove_if(nodes.begin(), nodes.end(),
                               [this](const Address &node) { return !m_peers.hasFailed(node); }),
                nodes.end());
        // One node per zone and round, since attempts would add up when a large zone is down.
        if (!nodes.empty()) {
            send(nodes[m_random.below(nodes.size())],
                 proxy::ReaderStatusFrame{!hasReadFailed(m_settings.links.host, now)}, now);
        }
    }
}

void PeerCoordinator::send(const Address &peer, const proxy::Frame &frame, TimePoint now)
{
    send(peer, proxy::encodeFrame(frame), now);
}

void PeerCoordinator::send(const Address &peer, std::string frame, TimePoint now)
{
    if (!m_peers.send(peer, std::move(frame), now)) {
        logEvent(LogLevel::Debug, "fleet", "frame-not-sent", {{"peer", peer.text()}});
    }
}

void PeerCoordinator::countStateFrame(const char *kind, std::size_t bytes)
{
    const auto labels = "{kind=\"" + std::string{kind} + "\"}";
    m_metrics.counter("state_frames_total" + labels).add();
    m_metrics.counter("state_bytes_total" + labels).add(bytes);
}

void PeerCoordinator::updateKnownNodes(TimePoint now)
{
    for (const auto &[id, server] : m_replica.view()->servers) {
        const auto &host = server.address.host;
        if (server.isDraining) {
            m_knownNodes.erase(host);
        } else if (host != m_settings.links.host) {
            m_knownNodes[host] = {server.zone, now};
        }
    }
    for (auto it = m_knownNodes.begin(); it != m_knownNodes.end();) {
        it = millisBetween(it->second.publishedAt, now) > internal::kNodeTtl
                ? m_knownNodes.erase(it)
                : std::next(it);
    }
    for (auto it = m_reportedAt.begin(); it != m_reportedAt.end();) {
        it = millisBetween(it->second, now) > internal::kNodeTtl ? m_reportedAt.erase(it)
                                                                 : std::next(it);
    }
}

void PeerCoordinator::reportUsage(TimePoint now)
{
    const auto aggregator = aggregatorOf(m_settings.zone, now);
    auto report = m_limiter.takeReport();
    const bool isAggregator = aggregator == m_settings.links;
    if (!report.accounts.empty()) {
        m_lastDemandAt = now;
    }
    if (!isAggregator) {
        // Even an empty report requests the levels and a confirmation of the replica.
        const bool isIdle = millisBetween(m_lastDemandAt, now) >= internal::kIdleAfter;
        if (!isIdle || millisBetween(m_lastReportAt, now) >= internal::kIdleNodeReportInterval) {
            m_lastReportAt = now;
            report.sentAt = now.time_since_epoch().count();
            report.position = m_replica.position();
            report.version = m_replica.knownVersion();
            send(aggregator, report, now);
        }
        return;
    }
    m_usageAggregator.addNodeReport(m_settings.links.host, report, now);
    std::vector<std::string> nodes;
    for (const auto &[host, known] : m_knownNodes) {
        if (known.zone == m_settings.zone) {
            nodes.push_back(host);
        }
    }
    m_usageAggregator.countNodes(nodes, m_knownNodes.size() + 1, now);
    if (!report.accounts.empty()) {
        m_lastZoneDemandAt = now;
    }
    if (m_replica.view()->routing) {
        m_limiter.onLevels(m_usageAggregator.levels(*m_replica.view()->routing, now), now);
    }
    const bool isIdle = millisBetween(m_lastZoneDemandAt, now) > internal::kIdleAfter;
    if (millisBetween(m_lastZoneReportAt, now)
        < (isIdle ? internal::kIdleZoneReportInterval : internal::kZoneReportInterval)) {
        return;
    }
    m_lastZoneReportAt = now;
    auto zoneReport = m_usageAggregator.takeZoneReport(isIdle);
    zoneReport.position = m_replica.position();
    zoneReport.version = m_replica.knownVersion();
    for (const auto &zone : zones()) {
        if (zone == m_settings.zone) {
            continue;
        }
        if (const auto other = aggregatorOf(zone, now); !other.host.empty()) {
            send(other, zoneReport, now);
        }
    }
}

void PeerCoordinator::tick(TimePoint now)
{
    updateKnownNodes(now);
    reportUsage(now);
    probeFailedNodes(now);
    syncIfStale(now);
    readIfLagging(now);
}

void PeerCoordinator::readIfLagging(TimePoint now)
{
    m_lag.onHeld(m_replica.position());
    if (m_lag.lag(now) > m_schedule.maxLag && m_requiredPosition < m_lag.latest()) {
        logEvent(LogLevel::Info, "fleet", "replica-lags",
                 {{"held", m_replica.position().text()},
                  {"announced", m_lag.latest().text()},
                  {"lag_ms", std::to_string(m_lag.lag(now).count())}});
        requireRead(m_lag.latest());
    }
}

std::vector<Address> PeerCoordinator::subscribers(TimePoint now) const
{
    auto nodes = nodesInZone(m_settings.zone);
    std::set<std::string> hosts;
    for (const auto &node : nodes) {
        hosts.insert(node.host);
    }
    for (const auto &[host, at] : m_reportedAt) {
        if (hosts.count(host) == 0 && millisBetween(at, now) < internal::kSubscriptionTtl) {
            nodes.push_back({host, m_settings.links.port});
        }
    }
    return nodes;
}

void PeerCoordinator::onUsage(const Address &peer, const proxy::UsageFrame &frame, TimePoint now)
{
    compareState(peer, frame, now);
    if (!frame.zone.empty()) {
        m_usageAggregator.addZoneReport(frame, now);
        return;
    }
    m_reportedAt[peer.host] = now;
    if (!frame.accounts.empty()) {
        m_lastZoneDemandAt = now;
    }
    m_usageAggregator.addNodeReport(peer.host, frame, now);
    if (m_replica.view()->routing) {
        auto levels = m_usageAggregator.levels(*m_replica.view()->routing, now);
        levels.askedAt = frame.sentAt;
        levels.position = m_replica.position();
        levels.version = m_replica.knownVersion();
        levels.age = m_replica.age(now);
        send(peer, levels, now);
    }
}

} // namespace celeryramp::engine
