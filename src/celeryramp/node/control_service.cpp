#include "node/control_service.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "gate/crash_tracker.h"
#include "observe/log.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kControlRing = 8192;
constexpr Millis kTick{100};
constexpr Millis kPeerWaitAtStart{2000};
constexpr Millis kBootstrapPullInterval{250};
constexpr Millis kRumourLifetime{600'000};
constexpr std::size_t kObservers = 3;
/*! Every third heartbeat also goes to other zones. */
constexpr std::uint64_t kHeartbeatsPerCrossZone = 3;
constexpr std::size_t kPeersAskedAtStart = 3;
constexpr std::size_t kPeersKnownAtStart = 8;
constexpr std::size_t kLoggedDigestLength = 12;

[[nodiscard]] Rumour rumour(RumourKind kind, std::string subject, std::uint64_t sequence)
{
    return {kind, std::move(subject), sequence,
            static_cast<std::uint32_t>(kRumourLifetime.count())};
}

} // namespace internal

ControlService::ControlService(const NodeSettings &settings, std::uint64_t incarnation,
                               SharedValue<Snapshot> &snapshot, SharedValue<FleetView> &fleet,
                               MessageSender &sender, ControlHooks &hooks, MetricsRegistry &metrics)
    : m_settings{settings}, m_snapshot{snapshot}, m_fleet{fleet}, m_sender{sender}, m_hooks{hooks},
      m_ring{internal::kControlRing}, m_pauses{metrics.counter("pauses_total")},
      m_suspicions{metrics.counter("suspicions_total")}, m_distributor{settings.server,
                                                                       settings.zone, incarnation},
      m_rumours{settings.server, settings.zone}, m_view{m_rumours.store()},
      m_listedMembers{internal::kRumourLifetime}, m_incarnation{incarnation}
{
    metrics.gauge("control_ring_refused", [this] { return double(m_ring.refused()); });
}

ControlService::~ControlService()
{
    stop();
}

void ControlService::start()
{
    m_startedAt = Clock::now();
    m_lastTick = m_startedAt;
    m_thread = std::thread{[this] { loop(); }};
}

void ControlService::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool ControlService::push(ControlEvent event)
{
    return m_ring.push(std::move(event));
}

ConfigStamp ControlService::stamp() const
{
    const std::lock_guard lock{m_mutex};
    return m_distributor.acceptance().stamp();
}

bool ControlService::isWanted(const ConfigStamp &stamp) const
{
    const std::lock_guard lock{m_mutex};
    const auto &acceptance = m_distributor.acceptance();
    return acceptance.isNewer(stamp) && !acceptance.wasRejected(stamp);
}

void ControlService::onDocument(ConfigDocument document, TimePoint readAt)
{
    const auto version = document.manifest.version;
    if (!push(PlatformDocumentEvent{std::move(document), readAt})) {
        logEvent(LogLevel::Warn, "control", "document-dropped",
                 {{"version", std::to_string(version)}, {"reason", "ring full"}});
    }
}

ConfigDocument ControlService::document() const
{
    const std::lock_guard lock{m_mutex};
    return m_distributor.acceptance().document();
}

Millis ControlService::confirmedAgo(TimePoint now) const
{
    const std::lock_guard lock{m_mutex};
    return m_distributor.confirmedAgo(now);
}

bool ControlService::areKeysUntrusted(TimePoint now) const
{
    const std::lock_guard lock{m_mutex};
    return m_pauseGuard.areKeysUntrusted(now);
}

void ControlService::loop()
{
    while (!m_stopping) {
        const auto event = m_ring.pop(internal::kTick);
        const auto now = Clock::now();
        {
            const std::lock_guard lock{m_mutex};
            if (const auto pause = m_pauseGuard.onAlive(now)) {
                notePause(*pause, now);
            }
            if (event) {
                handle(*event, now);
                m_pauseGuard.onConfirmed(now - m_distributor.confirmedAgo(now));
            }
            if (now - m_lastTick >= internal::kTick) {
                tick(now);
            }
        }
        flush();
    }
}

void ControlService::handle(const ControlEvent &event, TimePoint now)
{
    std::visit([&](const auto &typed) { handle(typed, now); }, event);
    publishFleet();
}

void ControlService::handle(const PeerMessageEvent &event, TimePoint now)
{
    if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&event.message)) {
        onHeartbeat(*heartbeat, now);
    } else if (const auto *announce = std::get_if<AnnounceMessage>(&event.message)) {
        m_distributor.onAnnounce(event.from, *announce, usable(), now, m_out);
    } else if (const auto *pull = std::get_if<PullMessage>(&event.message)) {
        m_distributor.onPull(event.from, *pull, now, m_out);
    } else if (const auto *document = std::get_if<DocumentMessage>(&event.message)) {
        m_peerAnswered = true;
        if (m_distributor.onDocument(event.from, *document, usable(), now, m_out)) {
            adoptSnapshot(now);
        }
    } else if (const auto *message = std::get_if<RumourMessage>(&event.message)) {
        const auto fresh = m_rumours.onMessage(event.from, *message, m_distributor.topology(),
                                               usable(), now, m_out);
        if (!fresh.empty()) {
            refuteSuspicions(now);
        }
    }
}

void ControlService::handle(const PeerUpEvent &event, TimePoint now)
{
    if (!m_distributor.acceptance().inForce()
        && m_knownPeers.size() < internal::kPeersKnownAtStart) {
        m_knownPeers.push_back(event.name);
    }
    const bool early = m_peersAsked < internal::kPeersAskedAtStart;
    if (early || !m_distributor.acceptance().inForce()) {
        ++m_peersAsked;
        m_distributor.pullFrom(event.name, now, m_out);
    }
}

void ControlService::handle(const PeerLostEvent &event, TimePoint /*now*/)
{
    if (event.refused) {
        m_detector.recordConnectionRefused(event.name);
        return;
    }
    // Either side may have closed. An immediate heartbeat checks whether the peer still listens.
    const auto observers
            = m_distributor.topology().successors(event.name, internal::kObservers, usable());
    if (std::find(observers.begin(), observers.end(), m_settings.server) != observers.end()) {
        m_out.send(event.name,
                   HeartbeatMessage{m_settings.server, m_incarnation,
                                    m_distributor.acceptance().stamp().version,
                                    m_distributor.acceptance().stamp().digest,
                                    m_rumours.store().digest()});
    }
}

void ControlService::handle(const PlatformDocumentEvent &event, TimePoint now)
{
    if (mustWaitForPeers(now)) {
        // The platform may be stale, and peers may have a newer version.
        m_deferredDocument = event;
        return;
    }
    if (m_distributor.onPlatformDocument(event.document, event.readAt, usable(), now, m_out)) {
        adoptSnapshot(now);
    }
}

void ControlService::handle(const PlatformManifestEvent &event, TimePoint now)
{
    m_distributor.onPlatformManifest(event.stamp, event.readAt, now);
}

void ControlService::handle(const InstanceListEvent &event, TimePoint now)
{
    if (!m_distributor.acceptance().inForce()) {
        return;
    }
    std::vector<std::string> servers;
    for (const auto &[name, server] : m_distributor.acceptance().inForce()->model().servers) {
        servers.push_back(name);
    }
    const auto &[list, restored] = event;
    publishRumours(
            m_listedMembers.onList(list.index, list.leaving, restored, servers, m_rumours.store()),
            now);
}

void ControlService::handle(const PublishEvent &event, TimePoint now)
{
    publishRumours(event.rumours, now);
}

void ControlService::handle(const LeaveEvent & /*event*/, TimePoint now)
{
    m_leaving = true;
    publishRumours({internal::rumour(RumourKind::Leaving, m_settings.server, m_incarnation)}, now);
    logEvent(LogLevel::Info, "control", "leaving", {{"server", m_settings.server}});
}

void ControlService::onHeartbeat(const HeartbeatMessage &message, TimePoint now)
{
    if (const auto newest = m_detector.incarnationOf(message.server);
        message.incarnation < newest) {
        // A paused predecessor has resumed. Tells it that a newer incarnation has its slot.
        m_out.send(message.server,
                   RumourMessage{{internal::rumour(RumourKind::Alive, message.server, newest)},
                                 {},
                                 true});
        return;
    }
    m_detector.recordHeartbeat(message.server, message.incarnation, now);
    m_distributor.onHeartbeat(message, now, m_out);
    m_rumours.onHeartbeat(message, now, m_out);
}

bool ControlService::mustWaitForPeers(TimePoint now) const
{
    return !m_distributor.acceptance().inForce() && !m_peerAnswered && !m_settings.seeds.empty()
            && now - m_startedAt < internal::kPeerWaitAtStart;
}

void ControlService::tick(TimePoint now)
{
    m_lastTick = now;
    if (m_deferredDocument && !mustWaitForPeers(now)) {
        handle(*std::exchange(m_deferredDocument, std::nullopt), now);
    }
    m_rumours.tick(now);
    const auto role = readerRole();
    if (role != m_role) {
        m_role = role;
        m_hooks.onReaderChanged(role != ReaderRole::None);
    }
    m_distributor.tick(role, usable(), now, m_out);
    if (!m_distributor.acceptance().inForce()) {
        if (now - m_lastBootstrapPull >= internal::kBootstrapPullInterval) {
            m_lastBootstrapPull = now;
            pullFromKnownPeer(now);
        }
        return;
    }
    if (now - m_lastHeartbeat >= kHeartbeatInterval) {
        m_lastHeartbeat = now;
        sendHeartbeats(now);
    }
    publishSuspicions(now);
    publishFleet();
    logRejections();
}

void ControlService::pullFromKnownPeer(TimePoint now)
{
    m_hooks.onNoConfiguration();
    if (!m_knownPeers.empty()) {
        m_distributor.pullFrom(m_knownPeers[m_bootstrapPulls++ % m_knownPeers.size()], now, m_out);
    }
}

void ControlService::sendHeartbeats(TimePoint /*now*/)
{
    const auto &stamp = m_distributor.acceptance().stamp();
    const HeartbeatMessage heartbeat{m_settings.server, m_incarnation, stamp.version, stamp.digest,
                                     m_rumours.store().digest()};
    const auto &topology = m_distributor.topology();
    for (const auto &next :
         topology.successors(m_settings.server, internal::kObservers, usable())) {
        m_out.send(next, heartbeat);
    }
    const bool sendsCrossZone = ++m_heartbeats % internal::kHeartbeatsPerCrossZone == 0;
    if (m_role != ReaderRole::First || !sendsCrossZone) {
        return;
    }
    for (const auto &zone : topology.zones()) {
        const auto readers = topology.readers(zone, usable());
        if (zone != m_settings.zone && !readers.empty()) {
            m_out.send(readers.front(), heartbeat);
        }
    }
}

void ControlService::publishSuspicions(TimePoint now)
{
    std::vector<Rumour> rumours;
    for (const auto &missing : m_detector.poll(now)) {
        const auto observers = m_distributor.topology().successors(missing.server,
                                                                   internal::kObservers, usable());
        if (std::find(observers.begin(), observers.end(), m_settings.server) == observers.end()) {
            m_detector.stopMonitoring(missing.server); // this node no longer observes it
            continue;
        }
        m_suspicions.add();
        logEvent(LogLevel::Info, "control", "suspected", {{"server", missing.server}});
        rumours.push_back(internal::rumour(RumourKind::Suspicion,
                                           missing.server + " " + m_settings.server,
                                           missing.incarnation));
    }
    publishRumours(rumours, now);
}

void ControlService::refuteSuspicions(TimePoint now)
{
    const auto known = m_view.incarnation(m_settings.server);
    if (known > m_incarnation) {
        if (!m_superseded) {
            m_superseded = true;
            logEvent(LogLevel::Error, "control", "superseded", {{"server", m_settings.server}});
        }
        return;
    }
    const auto suspicions
            = m_rumours.store().withPrefix(RumourKind::Suspicion, m_settings.server + " ");
    std::uint64_t highest
            = m_rumours.store().sequence(RumourKind::Leaving, m_settings.server).value_or(0);
    highest = m_leaving ? 0 : highest;
    for (const auto &[subject, sequence] : suspicions) {
        highest = std::max(highest, sequence);
    }
    if (highest == 0 || known > highest) {
        return; // no suspicion applies to this incarnation
    }
    m_incarnation = std::max(m_incarnation, highest + 1);
    publishRumours({internal::rumour(RumourKind::Alive, m_settings.server, m_incarnation)}, now);
}

void ControlService::publishRumours(const std::vector<Rumour> &rumours, TimePoint now)
{
    if (!rumours.empty()) {
        m_rumours.publish(rumours, m_distributor.topology(), usable(), now, m_out);
    }
}

void ControlService::adoptSnapshot(TimePoint now)
{
    const auto snapshot = m_distributor.acceptance().inForce();
    m_hooks.onSnapshot(snapshot, now);
    m_snapshot.set(snapshot);
    m_inForceSince = std::chrono::system_clock::now();
    logEvent(LogLevel::Info, "control", "config-in-force",
             {{"version", std::to_string(snapshot->stamp().version)},
              {"digest", snapshot->stamp().digest.substr(0, internal::kLoggedDigestLength)}});
}

void ControlService::publishFleet()
{
    const auto &store = m_rumours.store();
    if (store.digest() == m_fleetDigest && m_fleet.get()->superseded == m_superseded) {
        return;
    }
    m_fleetDigest = store.digest();
    auto fleet = std::make_shared<FleetView>();
    for (const auto &[subject, sequence] : store.withPrefix(RumourKind::Suspicion, "")) {
        const auto server = subject.substr(0, subject.find(' '));
        if (m_view.isDown(server)) {
            fleet->down.insert(server);
        }
    }
    for (const auto kind : {RumourKind::Leaving, RumourKind::ListedLeaving}) {
        for (const auto &[server, sequence] : store.withPrefix(kind, "")) {
            if (m_view.isLeaving(server)) {
                fleet->leaving.insert(server);
            }
        }
    }
    fleet->quarantined = quarantinedDigests(store);
    fleet->suspect = suspectDigests(store);
    fleet->selfLeaving = fleet->leaving.count(m_settings.server) > 0;
    fleet->superseded = m_superseded;
    m_fleet.set(std::move(fleet));
}

void ControlService::notePause(Millis pause, TimePoint now)
{
    m_pauses.add();
    m_detector.restartTimeouts(now);
    m_hooks.onPaused(pause, now);
    logEvent(LogLevel::Warn, "control", "paused", {{"ms", std::to_string(pause.count())}});
    m_lastTick = now;
}

void ControlService::flush()
{
    for (auto &[server, message] : m_out.takeAll()) {
        m_sender.post(server, std::move(message));
    }
}

void ControlService::logRejections()
{
    const auto &rejections = m_distributor.acceptance().rejections();
    const auto total = m_distributor.counters().rejected;
    if (total == m_loggedRejections || rejections.empty()) {
        return;
    }
    m_loggedRejections = total;
    const auto &last = rejections.back();
    logEvent(LogLevel::Warn, "control", "config-rejected",
             {{"version", std::to_string(last.stamp.version)}, {"reason", last.error.text()}});
}

IsUsable ControlService::usable() const
{
    return [this](const std::string &server) { return !m_view.isDown(server); };
}

ReaderRole ControlService::readerRole() const
{
    if (m_settings.distribution == DistributionMode::Watch) {
        return m_distributor.acceptance().inForce() ? ReaderRole::Reader : ReaderRole::None;
    }
    const auto readers = m_distributor.topology().readers(m_settings.zone, usable());
    const auto it = std::find(readers.begin(), readers.end(), m_settings.server);
    if (it == readers.end()) {
        return ReaderRole::None;
    }
    return it == readers.begin() ? ReaderRole::First : ReaderRole::Reader;
}

nlohmann::json ControlService::state(TimePoint now) const
{
    const std::lock_guard lock{m_mutex};
    const auto &acceptance = m_distributor.acceptance();
    auto rejections = nlohmann::json::array();
    for (const auto &rejection : acceptance.rejections()) {
        rejections.push_back({{"version", rejection.stamp.version},
                              {"ago_ms", millisBetween(rejection.at, now).count()},
                              {"reason", rejection.error.text()}});
    }
    auto members = nlohmann::json::object();
    if (acceptance.inForce()) {
        for (const auto &[name, server] : acceptance.inForce()->model().servers) {
            if (const auto memberState = m_view.state(name); memberState != MemberState::Alive) {
                members[name] = memberStateText(memberState);
            }
        }
    }
    const auto &counters = m_distributor.counters();
    const auto confirmed = m_distributor.isConfirmed()
            ? nlohmann::json(m_distributor.confirmedAgo(now).count())
            : nlohmann::json(nullptr);
    return {{"incarnation", m_incarnation},
            {"superseded", m_superseded},
            {"reader", m_role != ReaderRole::None},
            {"config",
             {{"version", acceptance.stamp().version},
              {"digest", acceptance.stamp().digest},
              {"confirmed_ago_ms", confirmed},
              {"in_force_since_unix_ms",
               std::chrono::duration_cast<Millis>(m_inForceSince.time_since_epoch()).count()},
              {"in_force_ms",
               acceptance.inForce() ? millisBetween(acceptance.acceptedAt(), now).count() : 0},
              {"rejections", rejections}}},
            {"members_not_alive", members},
            {"rumours", m_rumours.store().size()},
            {"distribution",
             {{"accepted", counters.accepted},
              {"rejected", counters.rejected},
              {"deltas_sent", counters.deltasSent},
              {"wholes_sent", counters.fullDocumentsSent},
              {"deltas_applied", counters.deltasApplied},
              {"deltas_unusable", counters.deltasUnusable},
              {"pulls", counters.pulls},
              {"pull_timeouts", counters.pullTimeouts},
              {"announcements", counters.announcements}}}};
}

} // namespace celeryramp
