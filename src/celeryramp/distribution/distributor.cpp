#include "distribution/distributor.h"

#include <algorithm>
#include <limits>

#include "config/delta.h"
#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kRepairNeighbourCount = 3;
/*! Every fifth periodic announcement of the first reader also goes to the other zones. */
constexpr std::uint64_t kConfirmationsPerCrossZoneRound = 5;
constexpr Millis kGossipInterval{1000};
constexpr int kGossipFanOut = 2;
constexpr std::uint32_t kNeverConfirmedMs = std::numeric_limits<std::uint32_t>::max();

[[nodiscard]] const ConfigDocument *findBase(const Acceptance &acceptance, const ConfigStamp &stamp)
{
    for (const auto &document : acceptance.history()) {
        if (document.manifest.version == stamp.version && document.stamp() == stamp) {
            return &document;
        }
    }
    return nullptr;
}

} // namespace internal

Distributor::Distributor(std::string self, std::string zone, std::uint64_t incarnation,
                         DistributionMode mode)
    : m_self{std::move(self)}, m_zone{std::move(zone)},
      m_sequence{incarnation}, m_mode{mode}, m_random{incarnation ^ stableHash(m_self)}
{ }

bool Distributor::onPlatformDocument(ConfigDocument document, TimePoint readAt,
                                     const IsUsable &isUsable, TimePoint now, Outbox &out)
{
    const auto stamp = document.stamp();
    const bool accepted = accept(std::move(document), now);
    onPlatformManifest(stamp, readAt, now);
    if (accepted) {
        announceAsRoot(true, isUsable, now, out);
    }
    return accepted;
}

void Distributor::onPlatformManifest(const ConfigStamp &stamp, TimePoint readAt, TimePoint now)
{
    if (stamp == m_acceptance.stamp()) {
        confirm(readAt);
    }
    m_counters.rejected += m_acceptance.recordConflict(stamp, now) ? 1 : 0;
}

void Distributor::onAnnounce(const std::string &from, const AnnounceMessage &message,
                             const IsUsable &isUsable, TimePoint now, Outbox &out)
{
    const ConfigStamp stamp{message.version, message.digest};
    const bool isFirstOfSequence = recordSequence(message);
    if (stamp == m_acceptance.stamp()) {
        confirm(message.confirmedAgoMs, now);
    }
    if (stamp < m_acceptance.stamp()) {
        out.send(from, announcement({}, now));
        return;
    }
    if (m_acceptance.isNewer(stamp) && !m_acceptance.wasRejected(stamp)) {
        if (isFirstOfSequence) {
            m_pendingAnnouncements[message.root] = message;
        }
        Pull pull{from, stamp, now};
        if (m_pull && !(m_pull->wanted < stamp)) {
            m_alternative = std::move(pull);
        } else {
            startPull(std::move(pull), false, out);
        }
        return;
    }
    if (isFirstOfSequence) {
        announceToChildren(message, isUsable, out);
    }
}

void Distributor::onPull(const std::string &from, const PullMessage &message, TimePoint now,
                         Outbox &out)
{
    const auto &stamp = m_acceptance.stamp();
    const ConfigStamp have{message.haveVersion, message.haveDigest};
    if (stamp.version == 0 || have == stamp) {
        if (stamp.version != 0) {
            // The answer below names no digest, and the asker may have other content by then.
            out.send(from, announcement({}, now));
        }
        out.send(from, DocumentMessage{stamp.version, true, confirmedAgoMs(now), {}});
        return;
    }
    if (const auto *base = internal::findBase(m_acceptance, have); base != nullptr) {
        ++m_counters.deltasSent;
        out.send(from,
                 DocumentMessage{stamp.version,
                                 true,
                                 confirmedAgoMs(now),
                                 {makeDelta(*base, m_acceptance.document())}});
        return;
    }
    ++m_counters.fullDocumentsSent;
    out.send(from,
             DocumentMessage{stamp.version,
                             false,
                             confirmedAgoMs(now),
                             {packDocument(m_acceptance.document())}});
}

bool Distributor::onDocument(const std::string &from, const DocumentMessage &message,
                             const IsUsable &isUsable, TimePoint now, Outbox &out)
{
    Pull answeredPull{from, {}, now};
    if (m_pull && m_pull->peer == from) {
        answeredPull = *std::exchange(m_pull, std::nullopt);
        answeredPull.sentAt = now;
    }
    if (message.bytes.data.empty()) {
        return false; // the announcement sent with it confirms by digest
    }
    auto document = message.delta ? applyDelta(m_acceptance.document(), message.bytes.data)
                                  : unpackDocument(message.bytes.data);
    if (!document) {
        if (message.delta && m_acceptance.stamp().version < message.version) {
            ++m_counters.deltasUnusable;
            startPull(std::move(answeredPull), true, out);
        }
        return false;
    }
    m_counters.deltasApplied += message.delta ? 1 : 0;
    if (!accept(std::move(*document), now)) {
        return false;
    }
    confirm(message.confirmedAgoMs, now);
    m_alternative.reset();
    if (m_mode != DistributionMode::Tree) {
        gossip(isUsable, now, out);
        return true;
    }
    if (!forwardPendingAnnouncements(isUsable, now, out)) {
        const auto neighbours
                = m_topology.successors(m_self, internal::kRepairNeighbourCount, isUsable);
        for (const auto &neighbour : neighbours) {
            out.send(neighbour, announcement({}, now));
        }
    }
    return true;
}

void Distributor::onHeartbeat(const HeartbeatMessage &message, TimePoint now, Outbox &out)
{
    const ConfigStamp peerStamp{message.version, message.digest};
    if (peerStamp < m_acceptance.stamp()) {
        out.send(message.server, announcement({}, now));
        return;
    }
    const bool isWanted = m_acceptance.isNewer(peerStamp) && !m_acceptance.wasRejected(peerStamp);
    if (isWanted && !m_pull) {
        startPull({message.server, peerStamp, now}, false, out);
    }
}

void Distributor::pullFrom(const std::string &peer, TimePoint now, Outbox &out)
{
    startPull({peer, {}, now}, false, out);
}

void Distributor::tick(ReaderRole role, const IsUsable &isUsable, TimePoint now, Outbox &out)
{
    if (m_pull && now - m_pull->sentAt >= kPullTimeout) {
        ++m_counters.pullTimeouts;
        m_pull.reset();
        if (m_alternative && m_acceptance.isNewer(m_alternative->wanted)) {
            auto next = *std::exchange(m_alternative, std::nullopt);
            next.sentAt = now;
            startPull(std::move(next), false, out);
        }
    }
    const auto interval
            = m_mode == DistributionMode::Gossip ? internal::kGossipInterval : kConfirmInterval;
    const bool due = now - m_lastAnnounce >= interval;
    const bool isReader = role != ReaderRole::None || m_mode == DistributionMode::Gossip;
    if (isReader && due && m_acceptance.inForce()) {
        const bool isCrossZoneRound
                = ++m_confirmations % internal::kConfirmationsPerCrossZoneRound == 0;
        announceAsRoot(isCrossZoneRound && role == ReaderRole::First, isUsable, now, out);
    }
}

Millis Distributor::confirmedAgo(TimePoint now) const
{
    return m_confirmedAt ? millisBetween(*m_confirmedAt, now) : Millis{internal::kNeverConfirmedMs};
}

bool Distributor::accept(ConfigDocument document, TimePoint now)
{
    const auto rejectionsBefore = m_acceptance.rejections().size();
    const auto result = m_acceptance.offer(std::move(document), now);
    if (!result) {
        m_counters.rejected += m_acceptance.rejections().size() != rejectionsBefore
                        || result.error().code != ConfigErrorCode::Stale
                ? 1
                : 0;
        return false;
    }
    ++m_counters.accepted;
    m_topology = Topology{*m_acceptance.inForce()};
    return true;
}

bool Distributor::forwardPendingAnnouncements(const IsUsable &isUsable, TimePoint now, Outbox &out)
{
    bool fromOtherZone = false;
    bool any = false;
    for (const auto &[root, message] : std::exchange(m_pendingAnnouncements, {})) {
        if (!(ConfigStamp{message.version, message.digest} == m_acceptance.stamp())) {
            continue;
        }
        any = true;
        if (m_topology.zoneOf(root) == m_zone) {
            announceToChildren(message, isUsable, out);
        } else {
            fromOtherZone = true;
        }
    }
    if (fromOtherZone) {
        announceAsRoot(false, isUsable, now, out);
    }
    return any;
}

void Distributor::announceAsRoot(bool acrossZones, const IsUsable &isUsable, TimePoint now,
                                 Outbox &out)
{
    m_lastAnnounce = now;
    if (m_mode != DistributionMode::Tree) {
        gossip(isUsable, now, out);
        return;
    }
    auto message = announcement(m_self, now);
    message.sequence = ++m_sequence;
    announceToChildren(message, isUsable, out);
    if (acrossZones) {
        announceAcrossZones(message, isUsable, out);
    }
}

void Distributor::announceAcrossZones(const AnnounceMessage &message, const IsUsable &isUsable,
                                      Outbox &out) const
{
    for (const auto &zone : m_topology.zones()) {
        if (zone == m_zone) {
            continue;
        }
        const auto readers = m_topology.readers(zone, isUsable);
        if (!readers.empty()) {
            out.send(readers.front(), message);
        }
    }
}

void Distributor::announceToChildren(const AnnounceMessage &message, const IsUsable &isUsable,
                                     Outbox &out)
{
    ++m_counters.announcements;
    for (const auto &child : m_topology.children(message.root, m_self, isUsable)) {
        out.send(child, message);
    }
}

bool Distributor::recordSequence(const AnnounceMessage &message)
{
    if (message.root.empty()) {
        return false;
    }
    auto &last = m_lastSequence[message.root];
    const bool isFirst = message.sequence > last;
    last = std::max(last, message.sequence);
    return isFirst;
}

void Distributor::gossip(const IsUsable &isUsable, TimePoint now, Outbox &out)
{
    if (m_mode != DistributionMode::Gossip || !m_acceptance.inForce()) {
        return;
    }
    const auto &servers = m_acceptance.inForce()->model().servers;
    for (int i = 0; i < internal::kGossipFanOut; ++i) {
        const auto it = std::next(servers.begin(),
                                  static_cast<std::ptrdiff_t>(m_random.below(servers.size())));
        if (it->first != m_self && isUsable(it->first)) {
            out.send(it->first, announcement({}, now));
        }
    }
}

void Distributor::startPull(Pull pull, bool requestFull, Outbox &out)
{
    ++m_counters.pulls;
    const auto &have = m_acceptance.stamp();
    out.send(pull.peer, requestFull ? PullMessage{} : PullMessage{have.version, have.digest});
    m_pull = std::move(pull);
}

void Distributor::confirm(std::uint32_t agoMs, TimePoint now)
{
    if (agoMs != internal::kNeverConfirmedMs) {
        confirm(now - Millis{agoMs});
    }
}

void Distributor::confirm(TimePoint at)
{
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
}

std::uint32_t Distributor::confirmedAgoMs(TimePoint now) const
{
    const auto ago = confirmedAgo(now).count();
    return static_cast<std::uint32_t>(
            std::clamp<std::int64_t>(ago, 0, internal::kNeverConfirmedMs));
}

AnnounceMessage Distributor::announcement(const std::string &root, TimePoint now) const
{
    const auto &stamp = m_acceptance.stamp();
    return {stamp.version, stamp.digest, root, 0, confirmedAgoMs(now)};
}

} // namespace celeryramp
