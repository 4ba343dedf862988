#include "node/node.h"

#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>

#include "core/hash.h"
#include "node/tokens.h"
#include "observe/log.h"
#include "observe/process_usage.h"

namespace celeryramp {

namespace internal {

constexpr Millis kPeerAnswerWait{2000};
constexpr Millis kPlatformAnswerWait{12'000};
/*! Lets peers learn that the node leaves before its listeners close. */
constexpr Millis kLeaveAnnouncementDelay{500};
constexpr Millis kMaxIdleWait{30'000};
constexpr Millis kIdlePoll{20};
constexpr Millis kCallerKeepAlive{5000};

[[nodiscard]] std::uint64_t newIncarnation()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<Millis>(wall).count());
}

[[nodiscard]] HttpListenerSettings listenerOf(const Address &address, std::size_t threads,
                                              std::size_t maxBody)
{
    HttpListenerSettings settings;
    settings.address = address;
    settings.threads = threads;
    settings.maxBodyBytes = maxBody;
    settings.keepAlive = kCallerKeepAlive;
    return settings;
}

} // namespace internal

Node::Node(NodeSettings settings)
    : m_settings{std::move(settings)}, m_incarnation{internal::newIncarnation()},
      m_startedAt{Clock::now()}, m_fleet{std::make_shared<const FleetView>()},
      m_ringRefused{m_metrics.counter("ring_refused_total")}, m_mesh{{{m_settings.server,
                                                                       m_settings.zone,
                                                                       m_incarnation},
                                                                      m_settings.peers,
                                                                      m_settings.tls},
                                                                     *this,
                                                                     m_policy,
                                                                     m_metrics},
      m_router{m_settings.zone, stableHash(m_settings.server) ^ m_incarnation,
               m_settings.mechanisms},
      m_admission{m_settings.zone, *this}, m_ledger{m_settings, *this, m_metrics, m_startedAt},
      m_control{m_settings, m_incarnation, m_snapshot, m_fleet, *this, *this, m_metrics},
      m_platform{m_settings, m_control, m_policy, m_metrics,
                 stableHash(m_settings.server) + m_incarnation},
      m_gate{m_settings,
             m_snapshot,
             m_fleet,
             m_contexts,
             *this,
             m_metrics,
             [this](std::vector<Rumour> rumours) {
                 m_control.push(PublishEvent{std::move(rumours)});
             }},
      m_callHandler{m_settings, *this,       m_snapshot, m_fleet,  m_contexts,
                    m_router,   m_admission, *this,      m_metrics},
      m_callers{internal::listenerOf(m_settings.callers, m_settings.callerThreads,
                                     m_settings.maxBodyBytes),
                [this](const HttpRequest &request) {
                    return m_callHandler.serve(request, CallOrigin::External);
                }},
      m_inside{internal::listenerOf(m_settings.inside, m_settings.insideThreads,
                                    m_settings.maxBodyBytes),
               [this](const HttpRequest &request) {
                   return m_callHandler.serve(request, CallOrigin::LocalServer);
               }},
      m_operators{m_settings, *this, m_metrics, m_policy}
{
    m_metrics.gauge("process_cpu_seconds_total", [] { return processUsage().cpuSeconds; });
    m_metrics.gauge("process_resident_memory_bytes",
                    [] { return double(processUsage().residentBytes); });
    m_metrics.gauge("config_version", [this] { return double(m_control.stamp().version); });
    m_metrics.gauge("peer_links", [this] { return double(m_mesh.links()); });
    m_metrics.gauge("late_answers", [this] { return double(m_callHandler.lateAnswers()); });
}

Node::~Node()
{
    stopServices();
}

Result<bool, NodeError> Node::start()
{
    if (const auto mesh = m_mesh.start(); !mesh) {
        return NodeError{"peers.listen " + m_settings.peers.text() + ": " + mesh.error().reason};
    }
    m_ledger.start();
    m_control.start();
    m_platform.start();
    m_gate.start();
    for (auto *listener : {&m_inside, &m_callers}) {
        if (const auto started = listener->start(); !started) {
            return NodeError{started.error().reason};
        }
    }
    if (const auto started = m_operators.start(); !started) {
        return NodeError{started.error().reason};
    }
    logEvent(LogLevel::Info, "node", "started",
             {{"server", m_settings.server},
              {"zone", m_settings.zone},
              {"incarnation", std::to_string(m_incarnation)}});
    return true;
}

void Node::leave()
{
    m_leaving = true;
    m_control.push(LeaveEvent{});
    std::this_thread::sleep_for(internal::kLeaveAnnouncementDelay);
    m_gate.drain();
    waitUntilIdle();
    m_callers.stop();
    waitUntilIdle();
    stopServices();
}

void Node::waitUntilIdle()
{
    const auto until = Clock::now() + internal::kMaxIdleWait;
    while (Clock::now() < until && (!m_gate.isIdle() || m_callHandler.inFlight() > 0)) {
        std::this_thread::sleep_for(internal::kIdlePoll);
    }
}

void Node::stopServices()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    m_callers.stop();
    m_inside.stop();
    m_gate.stop();
    m_platform.stop();
    m_control.stop();
    m_ledger.stop();
    m_mesh.stop();
    m_operators.stop();
    logEvent(LogLevel::Info, "node", "stopped", {{"server", m_settings.server}});
}

bool Node::isSuperseded() const
{
    return m_fleet.get()->superseded;
}

LinkId Node::post(const std::string &server, Message message, std::uint64_t token)
{
    if (server == m_settings.server) {
        dispatch(server, 0, std::move(message));
        return 1;
    }
    return m_mesh.send(server, message, token);
}

void Node::answer(LinkId link, Message message)
{
    if (link == 0) {
        dispatch(m_settings.server, 0, std::move(message));
        return;
    }
    m_mesh.reply(link, message);
}

void Node::onPeerMessage(const std::string &from, LinkId link, Message message)
{
    const auto *answer = std::get_if<AnswerMessage>(&message);
    if (answer != nullptr && answer->request.empty()) {
        return; // answers without a request ID are valid only within a node
    }
    dispatch(from, link, std::move(message));
}

void Node::dispatch(const std::string &from, LinkId link, Message message)
{
    if (auto *call = std::get_if<CallMessage>(&message)) {
        m_gate.offer(std::move(*call), link, Clock::now());
    } else if (auto *answered = std::get_if<AnswerMessage>(&message)) {
        m_callHandler.onAnswer(std::move(*answered));
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message)) {
        m_gate.cancel(cancel->id, link);
    } else if (const auto *grant = std::get_if<TokenGrantMessage>(&message)) {
        m_admission.onGrant(*grant, Clock::now());
    } else if (auto *vote = std::get_if<VoteMessage>(&message)) {
        m_callHandler.onVote(std::move(*vote));
    } else if (std::holds_alternative<TokenRequestMessage>(message)
               || std::holds_alternative<ReserveMessage>(message)
               || std::holds_alternative<CompleteMessage>(message)
               || std::holds_alternative<RecoverMessage>(message)
               || std::holds_alternative<RecordsMessage>(message)) {
        m_ringRefused.add(m_ledger.push(link, std::move(message)) ? 0 : 1);
    } else if (!std::holds_alternative<HelloMessage>(message)) {
        m_ringRefused.add(m_control.push(PeerMessageEvent{from, std::move(message)}) ? 0 : 1);
    }
}

void Node::onPeerUp(const std::string &name, LinkId /*link*/)
{
    m_control.push(PeerUpEvent{name});
}

void Node::onPeerLost(const std::string &name, LinkId link, bool refused)
{
    m_callHandler.onLinkLost(link);
    m_control.push(PeerLostEvent{name, refused});
}

void Node::onUnsent(const std::string &name, std::uint64_t token)
{
    switch (tokenKind(token)) {
    case TokenKind::Call:
        m_callHandler.onCallUnsent(tokenId(token));
        break;
    case TokenKind::TokenAsk:
        m_admission.onUnsent(tokenId(token), Clock::now());
        break;
    case TokenKind::Vote:
        m_callHandler.onVoteUnsent(tokenId(token), name);
        break;
    case TokenKind::None:
        break;
    }
}

PeerPlace Node::placeOf(const std::string &name)
{
    const auto snapshot = m_snapshot.get();
    const auto *server = snapshot ? snapshot->findServer(name) : nullptr;
    return server == nullptr ? PeerPlace{} : PeerPlace{server->node, server->zone};
}

void Node::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    m_router.onSnapshot(*snapshot, now);
    m_admission.onSnapshot(snapshot, now);
    m_ledger.onSnapshot(std::move(snapshot), now);
}

void Node::onReaderChanged(bool isReader)
{
    m_platform.setReader(isReader);
}

void Node::onPaused(Millis pause, TimePoint now)
{
    m_ledger.onPaused(pause, now);
}

void Node::onNoConfiguration()
{
    if (!m_settings.seeds.empty()) {
        m_mesh.connectTo(m_settings.seeds[m_nextSeed++ % m_settings.seeds.size()]);
    }
}

bool Node::isReady(TimePoint now) const
{
    if (!m_snapshot.get() || isSuperseded()) {
        return false;
    }
    const auto age = now - m_startedAt;
    const bool platformAsked = m_platform.isFirstReadDone() || age >= internal::kPlatformAnswerWait;
    const bool peersAsked = m_control.hasPeerAnswered() || m_settings.seeds.empty()
            || age >= internal::kPeerAnswerWait;
    return platformAsked && peersAsked;
}

Millis Node::confirmedAgo(TimePoint now) const
{
    return m_control.confirmedAgo(now);
}

bool Node::areKeysUntrusted(TimePoint now) const
{
    return m_control.areKeysUntrusted(now);
}

nlohmann::json Node::status() const
{
    const auto now = Clock::now();
    const auto control = m_control.state(now);
    return {{"server", m_settings.server},
            {"zone", m_settings.zone},
            {"ready", isReady(now)},
            {"leaving", isLeaving()},
            {"reader", control["reader"]},
            {"version", control["config"]["version"]},
            {"digest", control["config"]["digest"]},
            {"confirmed_ago_ms", control["config"]["confirmed_ago_ms"]},
            {"in_force_since_unix_ms", control["config"]["in_force_since_unix_ms"]},
            {"rejections", control["config"]["rejections"]}};
}

nlohmann::json Node::servers() const
{
    auto list = nlohmann::json::array();
    if (const auto snapshot = m_snapshot.get()) {
        for (const auto &[name, server] : snapshot->model().servers) {
            list.push_back({{"server", name},
                            {"zone", server.zone},
                            {"operator", server.operatorPort.text()}});
        }
    }
    return list;
}

nlohmann::json Node::configuration() const
{
    const auto document = m_control.document();
    return {{"version", document.manifest.version}, {"parts", document.parts}};
}

nlohmann::json Node::state() const
{
    const auto now = Clock::now();
    const auto usage = processUsage();
    const auto fleet = m_fleet.get();
    const auto load = m_gate.load();
    const auto counters = m_gate.counters();
    auto state = m_control.state(now);
    state["server"] = m_settings.server;
    state["zone"] = m_settings.zone;
    state["version"] = CELERYRAMP_VERSION;
    state["ready"] = isReady(now);
    state["leaving"] = isLeaving();
    state["uptime_ms"] = millisBetween(m_startedAt, now).count();
    state["process"] = {{"cpu_seconds", usage.cpuSeconds},
                        {"resident_bytes", usage.residentBytes},
                        {"threads", usage.threads}};
    state["gate"] = {{"running", load.running},
                     {"queued", load.queued},
                     {"limit", load.limit},
                     {"slots", m_settings.slots},
                     {"offered", counters.offered},
                     {"started", counters.started},
                     {"refused", counters.refused},
                     {"cancelled", counters.cancelled},
                     {"ramp_falls", m_gate.rampFalls()}};
    state["ledger"] = m_ledger.state(now);
    state["fleet"] = {{"down", fleet->down},
                      {"leaving", fleet->leaving},
                      {"quarantined", fleet->quarantined},
                      {"suspect", fleet->suspect}};
    state["calls_under_way"] = m_callHandler.inFlight();
    state["contexts"] = m_contexts.size();
    state["links"] = m_mesh.links();
    state["metrics"] = m_metrics.json();
    return state;
}

nlohmann::json Node::explain(const std::string &path) const
{
    const auto snapshot = m_snapshot.get();
    const auto now = Clock::now();
    const auto *route = snapshot ? snapshot->findRoute(path) : nullptr;
    if (route == nullptr) {
        return {{"path", path}, {"route", nullptr}};
    }
    const auto fleet = m_fleet.get();
    auto servers = nlohmann::json::array();
    for (const auto &[name, pressure] : m_router.pressures(*snapshot, route->service, now)) {
        const auto &zone = snapshot->findServer(name)->zone;
        std::string verdict = zone == m_settings.zone ? "own zone" : "other zone";
        if (!snapshot->isZoneInService(zone)) {
            verdict = "zone out of service";
        } else if (fleet->down.count(name) > 0) {
            verdict = "down";
        } else if (fleet->leaving.count(name) > 0) {
            verdict = "leaving";
        }
        servers.push_back(
                {{"server", name}, {"zone", zone}, {"pressure", pressure}, {"verdict", verdict}});
    }
    return {{"path", path},
            {"route", route->path},
            {"service", route->service},
            {"class", route->workClass},
            {"servers", servers}};
}

} // namespace celeryramp
