#include "engine/fleet_talk.h"

#include <algorithm>

#include "directory/reader_selection.h"
#include "observe/log.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! Time between the sums that zones tell one another: each tick, as a sudden account is admitted
 *  in full until the news of it have been to the other zones and back. */
constexpr Millis kZoneReportInterval{200};
/*! A node or a zone counts as quiet when nobody has asked it for anything for this long. */
constexpr Millis kQuietAfter{5000};
/*! Time between reports of a quiet zone, which keep others from taking it for cut off. */
constexpr Millis kQuietZoneInterval{2000};
/*! Time between reports of a node whose callers are quiet; with it and the pause of readers its
 *  knowledge stays younger than the age at which it would read for itself. */
constexpr Millis kQuietInterval{500};
/*! News beyond this are only announced: a reader's link of 10 Mbit/s carries it to 20 nodes in a
 *  second, while the platform's link is a hundred times faster. */
constexpr std::size_t kLargeNews = 64 * 1024;
/*! Time for which a node whose server is published no more still counts: the server may be down
 *  or its entry lapsed while the node goes on serving callers. */
constexpr Millis kNodeMemory{30'000};
/*! Time between tries at nodes that could not be reached. */
constexpr Millis kProbeInterval{1000};
/*! Time for which a node that could not read is passed over; then it tries again. */
constexpr Millis kUnableMemory{2500};
/*! Age of the own knowledge from which peers are asked; above the usual time between reads. */
constexpr Millis kStaleAfter{2700};
/*! Age of a peer's knowledge up to which it confirms the own one. */
constexpr Millis kConfirming{3000};
/*! Pause between two questions to peers. */
constexpr Millis kSyncPause{500};

} // namespace internal

FleetTalk::FleetTalk(const EngineSettings &settings, links::PeerLinks &peers,
                     directory::Replica &replica, proxy::FleetLimiter &limiter, std::uint64_t seed)
    : m_settings{settings}, m_peers{peers}, m_replica{replica}, m_limiter{limiter},
      m_ledger{settings.zone}, m_random{seed}
{ }

std::vector<Address> FleetTalk::nodesOf(const std::string &zone) const
{
    std::set<std::string> hosts;
    for (const auto &[id, server] : m_replica.view()->servers) {
        if (server.zone == zone && server.address.host != m_settings.links.host) {
            hosts.insert(server.address.host);
        }
    }
    for (const auto &[host, seen] : m_seen) {
        if (seen.zone == zone) {
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

std::size_t FleetTalk::nodeCount() const
{
    std::set<std::string> hosts{m_settings.links.host};
    for (const auto &[id, server] : m_replica.view()->servers) {
        hosts.insert(server.address.host);
    }
    for (const auto &[host, seen] : m_seen) {
        hosts.insert(host);
    }
    return hosts.size();
}

std::vector<std::string> FleetTalk::zones() const
{
    std::set<std::string> zones{m_settings.zone};
    for (const auto &[id, server] : m_replica.view()->servers) {
        zones.insert(server.zone);
    }
    for (const auto &[host, seen] : m_seen) {
        zones.insert(seen.zone);
    }
    return {zones.begin(), zones.end()};
}

Address FleetTalk::adderOf(const std::string &zone, TimePoint now) const
{
    Address best = zone == m_settings.zone ? m_settings.links : Address{};
    for (const auto &node : nodesOf(zone)) {
        if ((best.host.empty() || node.host < best.host) && isSteady(node, now)) {
            best = node;
        }
    }
    return best;
}

std::optional<Millis> FleetTalk::readPause(TimePoint now) const
{
    const auto place = [this, now](const std::string &host) {
        return std::make_pair(isUnable(host, now), host);
    };
    const auto own = place(m_settings.links.host);
    directory::ReaderPosition position;
    position.age = m_replica.age(now);
    position.isBehind = !m_replica.isComplete() || m_replica.revision() < m_readTo;
    for (const auto &node : nodesOf(m_settings.zone)) {
        if (place(node.host) < own && isSteady(node, now)) {
            ++position.rank;
        }
    }
    return directory::readPause(position);
}

bool FleetTalk::isUnable(const std::string &host, TimePoint now) const
{
    const auto it = m_unableAt.find(host);
    return it != m_unableAt.end() && millisBetween(it->second, now) < internal::kUnableMemory;
}

void FleetTalk::setCanRead(bool canRead, TimePoint now)
{
    const bool wasAble = !isUnable(m_settings.links.host, now);
    if (canRead == wasAble) {
        return;
    }
    onReader(m_settings.links, canRead, now);
    for (const auto &node : nodesOf(m_settings.zone)) {
        send(node, proxy::ReaderFrame{canRead}, now);
    }
}

void FleetTalk::onReader(const Address &peer, bool canRead, TimePoint now)
{
    if (canRead) {
        m_unableAt.erase(peer.host);
    } else {
        m_unableAt[peer.host] = now;
    }
}

void FleetTalk::passOn(const proxy::NewsFrame &news, TimePoint now)
{
    auto frame = proxy::encodeFrame(news);
    if (frame.size() > internal::kLargeNews) {
        frame = proxy::encodeFrame(proxy::NewsFrame{news.after, news.revision, {}, {}});
    }
    for (const auto &node : nodesOf(m_settings.zone)) {
        // One that failed is tried by `probeFailed`, and catches up when it is back.
        if (!m_peers.hasFailed(node) && !m_peers.send(node, frame, now)) {
            logEvent(LogLevel::Debug, "fleet", "news-not-sent", {{"peer", node.text()}});
        }
    }
}

void FleetTalk::tellAll(const proxy::Frame &frame, TimePoint now)
{
    for (const auto &zone : zones()) {
        for (const auto &node : nodesOf(zone)) {
            send(node, frame, now);
        }
    }
}

void FleetTalk::askPeer(const Address &peer, TimePoint now)
{
    if (millisBetween(m_syncAskedAt, now) < internal::kSyncPause) {
        return;
    }
    m_syncAskedAt = now;
    send(peer, proxy::SyncRequestFrame{m_replica.revision(), now.time_since_epoch().count()}, now);
}

bool FleetTalk::isSteady(const Address &peer, TimePoint now) const
{
    return m_peers.isReachable(peer, now) && !m_peers.hasFailed(peer);
}

void FleetTalk::probeFailed(TimePoint now)
{
    if (millisBetween(m_probedAt, now) < internal::kProbeInterval) {
        return;
    }
    m_probedAt = now;
    for (const auto &zone : zones()) {
        auto nodes = nodesOf(zone);
        nodes.erase(
                std::remove_if(nodes.begin(), nodes.end(),
                               [this](const Address &node) { return !m_peers.hasFailed(node); }),
                nodes.end());
        // One a zone and round: in a large zone that is gone the tries would add up.
        if (!nodes.empty()) {
            send(nodes[m_random.below(nodes.size())],
                 proxy::ReaderFrame{!isUnable(m_settings.links.host, now)}, now);
        }
    }
}

void FleetTalk::send(const Address &peer, const proxy::Frame &frame, TimePoint now)
{
    if (!m_peers.send(peer, proxy::encodeFrame(frame), now)) {
        logEvent(LogLevel::Debug, "fleet", "frame-not-sent", {{"peer", peer.text()}});
    }
}

void FleetTalk::rememberNodes(TimePoint now)
{
    for (const auto &[id, server] : m_replica.view()->servers) {
        const auto &host = server.address.host;
        if (server.isDraining) {
            m_seen.erase(host);
        } else if (host != m_settings.links.host) {
            m_seen[host] = {server.zone, now};
        }
    }
    for (auto it = m_seen.begin(); it != m_seen.end();) {
        it = millisBetween(it->second.at, now) > internal::kNodeMemory ? m_seen.erase(it)
                                                                       : std::next(it);
    }
}

void FleetTalk::talkAboutUsage(TimePoint now)
{
    const auto adder = adderOf(m_settings.zone, now);
    auto report = m_limiter.takeReport();
    const bool isAdder = adder == m_settings.links;
    if (!report.accounts.empty()) {
        m_usedAt = now;
    }
    if (!isAdder) {
        // An empty report asks for the levels, and whether what this node knows is still so.
        const bool isQuiet = millisBetween(m_usedAt, now) >= internal::kQuietAfter;
        if (!isQuiet || millisBetween(m_reportedAt, now) >= internal::kQuietInterval) {
            m_reportedAt = now;
            report.sentAt = now.time_since_epoch().count();
            send(adder, report, now);
        }
        return;
    }
    m_ledger.addNodeReport(m_settings.links.host, report, now);
    std::vector<std::string> nodes;
    for (const auto &[host, seen] : m_seen) {
        if (seen.zone == m_settings.zone) {
            nodes.push_back(host);
        }
    }
    m_ledger.countNodes(nodes, m_seen.size() + 1, now);
    if (!report.accounts.empty()) {
        m_zoneUsedAt = now;
    }
    if (m_replica.view()->routing) {
        m_limiter.onLevels(m_ledger.levels(*m_replica.view()->routing, now), now);
    }
    const bool isQuiet = millisBetween(m_zoneUsedAt, now) > internal::kQuietAfter;
    if (millisBetween(m_zoneReportedAt, now)
        < (isQuiet ? internal::kQuietZoneInterval : internal::kZoneReportInterval)) {
        return;
    }
    m_zoneReportedAt = now;
    const auto sum = m_ledger.takeZoneReport(isQuiet);
    for (const auto &zone : zones()) {
        if (zone == m_settings.zone) {
            continue;
        }
        if (const auto other = adderOf(zone, now); !other.host.empty()) {
            send(other, sum, now);
        }
    }
}

void FleetTalk::askWhenStale(TimePoint now)
{
    if (m_replica.age(now) < internal::kStaleAfter
        || millisBetween(m_syncAskedAt, now) < internal::kSyncPause) {
        return;
    }
    auto nodes = nodesOf(m_settings.zone);
    // The own zone is as likely to be cut off as this node, so each other question goes elsewhere.
    if (nodes.empty() || m_random.below(2) == 0) {
        const auto all = zones();
        const auto others = nodesOf(all[m_random.below(all.size())]);
        nodes = others.empty() ? nodes : others;
    }
    if (nodes.empty()) {
        return;
    }
    askPeer(nodes[m_random.below(nodes.size())], now);
}

void FleetTalk::tick(TimePoint now)
{
    rememberNodes(now);
    talkAboutUsage(now);
    probeFailed(now);
    askWhenStale(now);
}

void FleetTalk::onUsage(const Address &peer, const proxy::UsageFrame &frame, TimePoint now)
{
    if (!frame.zone.empty()) {
        m_ledger.addZoneReport(frame, now);
        return;
    }
    if (!frame.accounts.empty()) {
        m_zoneUsedAt = now;
    }
    m_ledger.addNodeReport(peer.host, frame, now);
    if (m_replica.view()->routing) {
        auto levels = m_ledger.levels(*m_replica.view()->routing, now);
        levels.askedAt = frame.sentAt;
        levels.revision = m_replica.revision();
        levels.age = m_replica.age(now);
        send(peer, levels, now);
    }
}

void FleetTalk::onLevels(const Address &peer, const proxy::LevelsFrame &frame, TimePoint now)
{
    m_limiter.onLevels(frame, now);
    if (frame.revision > m_replica.revision()) {
        askPeer(peer, now);
    } else if (frame.revision == m_replica.revision() && frame.age < internal::kConfirming) {
        // What was true when the report left cannot be older than the knowledge that answered it.
        m_replica.confirm(TimePoint{TimePoint::duration{frame.askedAt}} - frame.age);
    }
}

void FleetTalk::onSyncRequest(const Address &peer, const proxy::SyncRequestFrame &frame,
                              TimePoint now)
{
    if (!m_replica.isComplete() || m_replica.revision() < frame.revision) {
        return;
    }
    proxy::SyncReplyFrame reply;
    reply.revision = m_replica.revision();
    reply.askedAt = frame.askedAt;
    reply.age = m_replica.age(now);
    reply.items = m_replica.items();
    for (auto &item : reply.items) {
        if (item.revision <= frame.revision) {
            item.value.clear();
        }
    }
    send(peer, reply, now);
}

} // namespace celeryramp::engine
