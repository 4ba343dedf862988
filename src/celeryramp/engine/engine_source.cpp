/*! @file
 *  What a node reads from the source and hears of it from peers.
 */

#include "core/boot_clock.h"
#include "engine/engine.h"
#include "observe/log.h"
#include "observe/rejected_answer.h"

namespace celeryramp::engine {

void Engine::onSourceAnswered(TimePoint requestedAt, TimePoint now)
{
    m_replica.onReadAnswered(requestedAt);
    m_coordinator.setCanRead(true, now);
    if (std::exchange(m_isSourceDown, false)) {
        logEvent(LogLevel::Info, "engine", "source-regained",
                 {{"revision", m_replica.position().text()},
                  {"age_ms", std::to_string(m_replica.age(now).count())}});
    }
}

bool Engine::onList(const std::vector<directory::ItemChange> &items,
                    const directory::SourcePosition &position, TimePoint askedAt)
{
    const auto now = bootNow();
    // If peers have brought a later state of the same era meanwhile, the watch goes on from there.
    const bool isOfHeldEra = !m_replica.isComplete() || position.era >= m_replica.position().era;
    if (isOfHeldEra) {
        onSourceAnswered(askedAt, now);
    }
    countConfirmation("list", position);
    onDirectoryChanged(
            m_replica.applyList(items, position, askedAt, m_replica.renewalTimeLeft(now), now),
            "list", now);
    return isOfHeldEra;
}

bool Engine::onChanges(const std::vector<directory::ItemChange> &changes,
                       const directory::SourcePosition &position, TimePoint askedAt)
{
    const auto now = bootNow();
    if (position.era != m_replica.position().era) {
        return false; // a peer has brought the state of a later era meanwhile
    }
    onSourceAnswered(askedAt, now);
    countConfirmation("watch", position);
    const auto renewalTime = m_replica.renewalTimeLeft(now);
    proxy::ChangesFrame changesFrame{m_replica.position(), position, {}, {}, renewalTime};
    for (const auto &change : changes) {
        auto [delta, base] = m_replica.asDelta(change);
        changesFrame.changes.push_back(std::move(delta));
        changesFrame.bases.push_back(base);
    }
    if (!changes.empty()) {
        m_coordinator.forwardChanges(changesFrame, now);
    }
    onDirectoryChanged(m_replica.applyChanges(changes, position, askedAt, renewalTime, now),
                       "watch", now);
    return true;
}

void Engine::onSourceFailed(const std::string &reason, TimePoint requestedAt)
{
    const auto now = bootNow();
    m_replica.onReadFailed(requestedAt);
    m_coordinator.setCanRead(false, now);
    if (!std::exchange(m_isSourceDown, true)) {
        logEvent(LogLevel::Warn, "engine", "source-lost",
                 {{"reason", reason},
                  {"revision", m_replica.position().text()},
                  {"age_ms", std::to_string(m_replica.age(now).count())}});
    }
}

void Engine::onSourceEra(std::int64_t era)
{
    if (const auto previous = std::exchange(m_sourceEra, era); previous != era) {
        logEvent(LogLevel::Warn, "engine", "source-era",
                 {{"era", std::to_string(era)},
                  {"previous", std::to_string(previous)},
                  {"revision", m_replica.position().text()},
                  {"age_ms", std::to_string(m_replica.age(bootNow()).count())}});
    }
}

void Engine::onResponseRejected(std::string_view reason)
{
    recordRejectedAnswer(m_metrics, {"source", {}, {}, reason});
}

directory::SourcePosition Engine::heldPosition() const
{
    return m_replica.isComplete() ? m_replica.position() : directory::SourcePosition{};
}

std::size_t Engine::failingPeers() const
{
    return m_coordinator.failingPeers(bootNow());
}

std::optional<Millis> Engine::readPause() const
{
    return m_coordinator.readPause(bootNow());
}

void Engine::onChangesFrame(const Address &peer, const proxy::ChangesFrame &changesFrame,
                            TimePoint now)
{
    m_coordinator.onAnnounced(changesFrame.position, now);
    if (!m_replica.isComplete() || changesFrame.position <= m_replica.position()) {
        return;
    }
    if (changesFrame.changes.empty()) {
        logEvent(LogLevel::Info, "engine", "large-news",
                 {{"peer", peer.text()}, {"revision", changesFrame.position.text()}});
        m_coordinator.requireRead(changesFrame.position);
        m_bindings.source.resume();
        return;
    }
    std::vector<directory::ItemChange> changes;
    for (std::size_t i = 0; i < changesFrame.changes.size() && i < changesFrame.bases.size(); ++i) {
        // For a change that the replica already holds, the base value is no longer needed.
        auto change = m_replica.fromDelta(changesFrame.changes[i], changesFrame.bases[i]);
        if (!change) {
            break;
        }
        changes.push_back(std::move(*change));
    }
    if (changesFrame.after > m_replica.position() || changes.size() < changesFrame.changes.size()) {
        logEvent(LogLevel::Info, "engine", "news-not-applicable",
                 {{"peer", peer.text()},
                  {"after", changesFrame.after.text()},
                  {"held", m_replica.position().text()}});
        m_coordinator.onMissedChanges(peer, changesFrame.position, now);
        return;
    }
    // The frame may have been delayed on the link, so it does not show how fresh the replica is.
    onDirectoryChanged(m_replica.applyChanges(changes, changesFrame.position, TimePoint{},
                                              changesFrame.renewalTimeLeft, now),
                       "reader", now);
}

void Engine::onSyncReply(const Address &peer, const proxy::SyncReplyFrame &reply, TimePoint now)
{
    const auto items = m_coordinator.onSyncReply(peer, reply, now);
    if (!items) {
        return;
    }
    // The peer may have confirmed its state longer ago than this node its own, and still hold more:
    // pushed changes do not confirm a replica. The position decides.
    const auto asOf = TimePoint{TimePoint::duration{reply.askedAt}} - reply.age;
    countConfirmation("peer-state", reply.position);
    onDirectoryChanged(
            m_replica.applyList(*items, reply.position, asOf, reply.renewalTimeLeft, now), "peer",
            now);
}

void Engine::countConfirmation(const char *by, const directory::SourcePosition &position)
{
    if (!m_replica.isComplete() || position >= m_replica.position()) {
        m_metrics.counter("directory_confirmed_total{by=\"" + std::string{by} + "\"}").add();
    }
}

void Engine::onDirectoryChanged(const std::vector<directory::ReplicaEvent> &beliefs,
                                const char *source, TimePoint now)
{
    for (const auto &belief : beliefs) {
        logEvent(LogLevel::Info, "directory", belief.event,
                 {{"subject", belief.subject},
                  {"detail", belief.detail},
                  {"source", source},
                  {"revision", m_replica.position().text()},
                  {"age_ms", std::to_string(m_replica.age(now).count())}});
    }
    if (m_replica.view() != m_gateView) {
        m_gateView = m_replica.view();
        m_gate.onDirectory(m_replica.view(), now);
    }
}

} // namespace celeryramp::engine
