/*! @file
 *  How nodes compare their states, and how one that is behind gets that of a peer.
 */

#include "engine/peer_coordinator.h"

#include <algorithm>

#include "observe/log.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! Age of the replica from which a peer that has newer changes is asked for its state. Readers
 *  usually bring them before, with fewer bytes. */
constexpr Millis kMissedAfter{1000};
/*! Maximum age of a peer's replica for it to confirm the replica of this node. */
constexpr Millis kMaxConfirmingAge{3000};
/*! Minimum time between two sync requests to peers. */
constexpr Millis kSyncRequestInterval{500};
/*! Time for which a peer is not asked again while it may still answer. Replies with whole values
 *  take long on its link, and a second one would only queue behind the first. */
constexpr Millis kSyncReplyTimeout{1000};
/*! Longest pause before peers are asked again for a version that only they have. It doubles from
 *  `kSyncRequestInterval` on, since the version may be one that no peer can give. */
constexpr Millis kMaxVersionPause{32'000};

} // namespace internal

bool PeerCoordinator::requestSync(const Address &peer, TimePoint now)
{
    const auto unanswered = m_unansweredSyncs.find(peer.host);
    if (millisBetween(m_lastSyncRequestAt, now) < internal::kSyncRequestInterval
        || (unanswered != m_unansweredSyncs.end()
            && millisBetween(unanswered->second, now) < internal::kSyncReplyTimeout)) {
        return false;
    }
    const auto held = m_replica.isComplete() ? m_replica.position() : directory::SourcePosition{};
    sendSyncRequest(peer, held, true, now);
    return true;
}

void PeerCoordinator::sendSyncRequest(const Address &peer,
                                      const directory::SourcePosition &position, bool takesDeltas,
                                      TimePoint now)
{
    m_lastSyncRequestAt = now;
    m_unansweredSyncs[peer.host] = now;
    auto frame = proxy::encodeFrame(proxy::SyncRequestFrame{
            position, now.time_since_epoch().count(), takesDeltas, m_replica.knownVersion()});
    countStateFrame("sync-request", frame.size());
    send(peer, std::move(frame), now);
}

void PeerCoordinator::onMissedChanges(const Address &peer,
                                      const directory::SourcePosition &position, TimePoint now)
{
    const bool isLaterEra = position.era > m_replica.position().era;
    if (isLaterEra || m_replica.age(now) > internal::kMissedAfter) {
        requestSync(peer, now);
    }
}

void PeerCoordinator::syncVersion(const Address &peer, std::uint64_t version, TimePoint now)
{
    if (!m_replica.isComplete() || version <= m_replica.knownVersion()) {
        return;
    }
    if (m_replica.knownVersion() != m_versionAtRequest) {
        m_versionAtRequest = m_replica.knownVersion();
        m_versionPause = Millis{0};
    }
    if (millisBetween(m_versionRequestedAt, now) >= m_versionPause && requestSync(peer, now)) {
        m_versionRequestedAt = now;
        m_versionPause = std::clamp(m_versionPause * 2, internal::kSyncRequestInterval,
                                    internal::kMaxVersionPause);
    }
}

void PeerCoordinator::syncIfStale(TimePoint now)
{
    if (m_replica.age(now) < m_schedule.askPeerAge
        || millisBetween(m_lastSyncRequestAt, now) < internal::kSyncRequestInterval) {
        return;
    }
    auto nodes = nodesInZone(m_settings.zone);
    // If this node is cut off, its zone probably is too, so half of the requests go to a random
    // zone.
    if (nodes.empty() || m_random.below(2) == 0) {
        const auto all = zones();
        const auto others = nodesInZone(all[m_random.below(all.size())]);
        nodes = others.empty() ? nodes : others;
    }
    if (nodes.empty()) {
        return;
    }
    requestSync(nodes[m_random.below(nodes.size())], now);
}

void PeerCoordinator::compareState(const Address &peer, const proxy::UsageFrame &frame,
                                   TimePoint now)
{
    if (m_replica.isComplete() && frame.position.era > m_replica.position().era) {
        // Within an era, changes are pushed; a list that shows a new era is not.
        onAnnounced(frame.position, now);
        requestSync(peer, now);
    } else if (frame.position <= m_replica.position()) {
        // A peer that is ahead merely has read more.
        syncVersion(peer, frame.version, now);
    }
}

void PeerCoordinator::onLevels(const Address &peer, const proxy::LevelsFrame &frame, TimePoint now)
{
    m_limiter.onLevels(frame, now);
    onAnnounced(frame.position, now);
    if (frame.position > m_replica.position()) {
        requestSync(peer, now);
        return;
    }
    syncVersion(peer, frame.version, now);
    if (frame.position == m_replica.position() && frame.age < internal::kMaxConfirmingAge) {
        // The peer's replica was at most `age` old when it answered, which was after the report was
        // sent, so this replica was complete at the time of the report minus `age`.
        m_metrics.counter("directory_confirmed_total{by=\"peer-revision\"}").add();
        m_replica.confirm(TimePoint{TimePoint::duration{frame.askedAt}} - frame.age);
    }
}

void PeerCoordinator::onSyncRequest(const Address &peer, const proxy::SyncRequestFrame &frame,
                                    TimePoint now)
{
    const bool hasVersion = m_replica.knownVersion() > frame.version;
    if (!m_replica.isComplete() || (m_replica.position() < frame.position && !hasVersion)) {
        return;
    }
    proxy::SyncReplyFrame reply;
    reply.position = m_replica.position();
    reply.since = frame.position;
    reply.version = m_replica.knownVersion();
    reply.askedAt = frame.askedAt;
    reply.age = m_replica.age(now);
    reply.renewalTimeLeft = m_replica.renewalTimeLeft(now);
    const directory::Replica::SyncBase held{frame.position, frame.version, frame.takesDeltas};
    for (auto &[item, base] : m_replica.itemsSince(held)) {
        if (base != directory::SourcePosition{}) {
            reply.bases[reply.items.size()] = base;
        }
        reply.items.push_back(std::move(item));
    }
    auto bytes = proxy::encodeFrame(reply);
    countStateFrame("sync-reply", bytes.size());
    send(peer, std::move(bytes), now);
}

std::optional<std::vector<directory::ItemChange>>
PeerCoordinator::onSyncReply(const Address &peer, const proxy::SyncReplyFrame &frame, TimePoint now)
{
    m_unansweredSyncs.erase(peer.host);
    if (m_replica.isComplete() && frame.position < m_replica.position()
        && frame.version <= m_replica.knownVersion()) {
        return std::nullopt;
    }
    directory::Replica::PeerState state{frame.position, frame.since, {}};
    state.items.reserve(frame.items.size());
    for (std::size_t i = 0; i < frame.items.size(); ++i) {
        const auto base = frame.bases.find(i);
        state.items.push_back(
                {frame.items[i],
                 base == frame.bases.end() ? directory::SourcePosition{} : base->second});
    }
    auto items = m_replica.restoreItems(state);
    if (!items) {
        logEvent(LogLevel::Info, "fleet", "sync-not-applicable",
                 {{"peer", peer.text()},
                  {"item", items.error().key},
                  {"base", items.error().base.text()}});
        sendSyncRequest(peer, {}, false, now);
        return std::nullopt;
    }
    return std::move(items.value());
}

} // namespace celeryramp::engine
