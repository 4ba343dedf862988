#include "engine/engine.h"

#include "core/boot_clock.h"
#include "core/hash.h"
#include "observe/log.h"
#include "observe/process_usage.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! Callers go on sending for up to two questions about readiness, a second apart. */
constexpr Millis kListenWhileLeaving{2600};
/*! Margin before the end of the grace by which the process is gone. */
constexpr Millis kGraceMargin{600};
/*! Entries that lapsed while the source was away are back this long after its return. */
constexpr Millis kSourceSettles{4000};
/*! Age of the own knowledge from which the source counts as having been away. */
constexpr Millis kAwayAge{2500};

[[nodiscard]] std::uint64_t seedOf(const std::string &name)
{
    return stableHash({name, randomHex(8)});
}

} // namespace internal

Engine::Engine(boost::asio::io_context &context, EngineSettings settings, EnginePorts ports)
    : m_context{context}, m_settings{std::move(settings)}, m_ports{std::move(ports)},
      m_replica{m_ports.decoder, m_settings.lapseGrace}, m_peers{context, m_settings.links, *this},
      m_gate{context, m_settings, m_ports.dialect, m_crashes, m_metrics},
      m_talk{m_settings, m_peers, m_replica, m_limiter, internal::seedOf(m_settings.name)},
      m_desk{context,
             CallSurroundings{m_settings, m_ports.dialect, m_replica, m_peers, m_gate, m_talk,
                              m_limiter, m_crashes, m_metrics},
             internal::seedOf(m_settings.name)},
      m_callers{context,
                [this](boost::asio::ip::tcp::socket socket) {
                    m_desk.accept(std::move(socket), bootNow());
                }},
      m_readiness{context, [this](std::string_view path) { return respondReadiness(path); }},
      m_metricsPort{context, [this](std::string_view path) { return respondMetrics(path); }},
      m_tick{context}
{
    m_gate.setCrashedHandler([this](const std::vector<proxy::SuspectFrame> &suspects) {
        const auto now = bootNow();
        for (const auto &suspect : suspects) {
            m_crashes.onSuspect(suspect, now);
            m_talk.tellAll(suspect, now);
        }
    });
}

Engine::~Engine() = default;

Result<void, EngineError> Engine::start()
{
    if (const auto opened = m_peers.listen(); !opened) {
        return EngineError{opened.error().place, opened.error().reason};
    }
    if (const auto opened = m_callers.open(m_settings.callers); !opened) {
        return EngineError{opened.error().place, opened.error().reason};
    }
    if (const auto opened = m_readiness.open(m_settings.readiness); !opened) {
        return EngineError{opened.error().place, opened.error().reason};
    }
    if (m_settings.metrics) {
        if (const auto opened = m_metricsPort.open(*m_settings.metrics); !opened) {
            return EngineError{opened.error().place, opened.error().reason};
        }
    }
    logEvent(LogLevel::Info, "engine", "started",
             {{"node", m_settings.name},
              {"zone", m_settings.zone},
              {"service", m_settings.service},
              {"callers", m_settings.callers.text()},
              {"links", m_settings.links.text()},
              {"backend", m_settings.backend.text()},
              {"key_freshness_ms", std::to_string(m_settings.keyFreshness.count())},
              {"build", CELERYRAMP_VERSION}});
    m_ports.source.start(*this);
    tick();
    return boost::outcome_v2::success();
}

void Engine::tick()
{
    const auto now = bootNow();
    onBeliefs(m_replica.expire(now), "grace-over", now);
    m_talk.tick(now);
    if (m_talk.readPause(now)) {
        m_ports.source.resume();
    }
    m_peers.sweep(now);
    m_gate.sweep(now);
    m_desk.sweep(now);
    m_crashes.sweep(now);
    m_readiness.sweep(now);
    m_metricsPort.sweep(now);
    if (m_isLeaving) {
        finishLeaving(now);
    }
    m_tick.expires_after(FleetTalk::kTalkInterval);
    m_tick.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void Engine::leave(TimePoint now)
{
    if (m_isLeaving) {
        return;
    }
    m_isLeaving = true;
    m_leavingSince = now;
    logEvent(LogLevel::Info, "engine", "leaving",
             {{"connections", std::to_string(m_desk.connections())}});
    m_desk.leave();
    std::set<std::string> zones;
    for (const auto &[id, server] : m_replica.view()->servers) {
        zones.insert(server.zone);
    }
    const auto frame = proxy::encodeFrame(proxy::LeavingFrame{});
    for (const auto &zone : zones) {
        for (const auto &node : m_talk.nodesOf(zone)) {
            if (m_peers.isOpen(node) && !m_peers.send(node, frame, now)) {
                logEvent(LogLevel::Warn, "engine", "leaving-not-told", {{"peer", node.text()}});
            }
        }
    }
}

void Engine::finishLeaving(TimePoint now)
{
    const auto spent = millisBetween(m_leavingSince, now);
    if (spent >= internal::kListenWhileLeaving && !m_hasStoppedListening) {
        m_hasStoppedListening = true;
        m_callers.close();
        m_gate.leave(now);
    }
    if (m_hasStoppedListening) {
        m_desk.closeIdle();
    }
    const bool isDone = m_hasStoppedListening && m_desk.isIdle() && m_gate.isIdle()
            && m_desk.connections() == 0;
    if (isDone || spent >= m_settings.grace - internal::kGraceMargin) {
        logEvent(LogLevel::Info, "engine", "stopped",
                 {{"spent_ms", std::to_string(spent.count())}, {"cut", isDone ? "0" : "1"}});
        m_ports.source.stop();
        m_peers.close();
        m_readiness.close();
        m_metricsPort.close();
        m_context.stop();
    }
}

http::Answer Engine::respondReadiness(std::string_view path) const
{
    http::Answer answer;
    const bool isReady = !m_isLeaving && m_replica.view()->routing != nullptr;
    answer.status = path != m_ports.readinessPath ? 404 : isReady ? 200 : 503;
    return answer;
}

http::Answer Engine::respondMetrics(std::string_view path) const
{
    http::Answer answer;
    answer.status = path == m_ports.metricsPath ? 200 : 404;
    if (answer.status == 200) {
        const auto &view = *m_replica.view();
        answer.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        answer.body = m_metrics.exposition();
        const auto gauge = [&answer](const char *name, auto value) {
            answer.body += std::string{name} + " " + std::to_string(value) + "\n";
        };
        gauge("directory_version", view.routing ? view.routing->version() : 0);
        gauge("directory_revision", m_replica.revision());
        gauge("directory_age_ms", m_replica.age(bootNow()).count());
        gauge("directory_servers", view.servers.size());
        gauge("directory_evacuated_zones", view.evacuatedZones.size());
        gauge("caller_connections", m_desk.connections());
        gauge("link_frame_bytes_total", m_peers.frameBytes());
        const auto usage = processUsage();
        gauge("process_cpu_seconds_total", usage.cpuSeconds);
        gauge("process_resident_bytes", usage.residentBytes);
    }
    return answer;
}

void Engine::onFrame(const Address &peer, std::string_view bytes)
{
    auto decoded = proxy::decodeFrame(bytes);
    if (!decoded) {
        m_metrics.counter("frames_unreadable_total").add();
        logEvent(LogLevel::Warn, "engine", "frame-unreadable",
                 {{"peer", peer.text()}, {"reason", decoded.error().reason}});
        return;
    }
    const auto now = bootNow();
    auto &frame = decoded.value();
    if (auto *call = std::get_if<proxy::CallFrame>(&frame)) {
        m_gate.offer(
                peer.text(), std::move(*call),
                [this, peer](const proxy::ReplyFrame &reply) {
                    if (!m_peers.send(peer, proxy::encodeFrame(reply), bootNow())) {
                        logEvent(LogLevel::Warn, "engine", "reply-not-sent",
                                 {{"peer", peer.text()}, {"call", std::to_string(reply.id)}});
                    }
                },
                now);
    } else if (const auto *reply = std::get_if<proxy::ReplyFrame>(&frame)) {
        m_desk.onReply(peer, *reply, now);
    } else if (const auto *cancel = std::get_if<proxy::CancelFrame>(&frame)) {
        m_gate.cancel(peer.text(), cancel->id, now);
    } else if (std::holds_alternative<proxy::LeavingFrame>(frame)) {
        logEvent(LogLevel::Info, "engine", "peer-leaving", {{"peer", peer.text()}});
        m_desk.onLeaving(peer, now);
    } else if (const auto *usage = std::get_if<proxy::UsageFrame>(&frame)) {
        m_talk.onUsage(peer, *usage, now);
    } else if (const auto *levels = std::get_if<proxy::LevelsFrame>(&frame)) {
        m_talk.onLevels(peer, *levels, now);
    } else if (const auto *request = std::get_if<proxy::SyncRequestFrame>(&frame)) {
        m_talk.onSyncRequest(peer, *request, now);
    } else if (const auto *sync = std::get_if<proxy::SyncReplyFrame>(&frame)) {
        onSync(*sync, now);
    } else if (const auto *news = std::get_if<proxy::NewsFrame>(&frame)) {
        onNews(peer, *news, now);
    } else if (const auto *reader = std::get_if<proxy::ReaderFrame>(&frame)) {
        logEvent(LogLevel::Info, "engine", reader->canRead ? "reader-able" : "reader-unable",
                 {{"peer", peer.text()}});
        m_talk.onReader(peer, reader->canRead, now);
        if (m_talk.readPause(now)) {
            m_ports.source.resume();
        }
    } else if (const auto *suspect = std::get_if<proxy::SuspectFrame>(&frame)) {
        logEvent(LogLevel::Info, "engine", "request-suspected",
                 {{"digest", std::to_string(suspect->digest)}, {"server", suspect->serverId}});
        m_crashes.onSuspect(*suspect, now);
    }
}

void Engine::onLinkOpen(const Address &peer)
{
    logEvent(LogLevel::Info, "engine", "peer-regained", {{"peer", peer.text()}});
}

void Engine::onLinkLost(const Address &peer, bool wasOpen)
{
    const auto now = bootNow();
    logEvent(LogLevel::Info, "engine", "peer-lost",
             {{"peer", peer.text()}, {"was_open", wasOpen ? "1" : "0"}});
    m_gate.cancelAll(peer.text(), now);
    m_desk.onLinkLost(peer, wasOpen, now);
}

bool Engine::isAwaiting(const Address &peer) const
{
    return m_desk.isAwaiting(peer);
}

bool Engine::wasSourceAway(TimePoint now) const
{
    return m_replica.age(now) > internal::kAwayAge
            || (m_hasSourceFailed
                && millisBetween(m_sourceFailedAt, now) < internal::kSourceSettles);
}

void Engine::onSourceAnswered(TimePoint now)
{
    m_talk.setCanRead(true, now);
    if (std::exchange(m_isSourceDown, false)) {
        logEvent(LogLevel::Info, "engine", "source-regained",
                 {{"revision", std::to_string(m_replica.revision())},
                  {"age_ms", std::to_string(m_replica.age(now).count())}});
    }
}

void Engine::onList(const std::vector<directory::ItemChange> &items, std::int64_t revision,
                    TimePoint askedAt)
{
    const auto now = bootNow();
    const bool wasAway = m_replica.isComplete() && wasSourceAway(now);
    onSourceAnswered(now);
    onBeliefs(m_replica.applyList(items, revision, askedAt, wasAway, now), "list", now);
}

void Engine::onChanges(const std::vector<directory::ItemChange> &changes, std::int64_t revision,
                       TimePoint askedAt)
{
    const auto now = bootNow();
    const bool wasAway = wasSourceAway(now);
    proxy::NewsFrame news{m_replica.revision(), revision, {}, {}};
    for (const auto &change : changes) {
        auto [delta, base] = m_replica.asDelta(change);
        news.changes.push_back(std::move(delta));
        news.bases.push_back(base);
    }
    onSourceAnswered(now);
    if (!changes.empty()) {
        m_talk.passOn(news, now);
    }
    onBeliefs(m_replica.applyChanges(changes, revision, askedAt, wasAway, now), "watch", now);
}

void Engine::onSourceFailed(const std::string &reason)
{
    m_hasSourceFailed = true;
    m_sourceFailedAt = bootNow();
    m_talk.setCanRead(false, m_sourceFailedAt);
    if (!std::exchange(m_isSourceDown, true)) {
        logEvent(LogLevel::Warn, "engine", "source-lost",
                 {{"reason", reason},
                  {"revision", std::to_string(m_replica.revision())},
                  {"age_ms", std::to_string(m_replica.age(m_sourceFailedAt).count())}});
    }
}

std::int64_t Engine::heldRevision() const
{
    return m_replica.isComplete() ? m_replica.revision() : 0;
}

std::optional<Millis> Engine::readPause() const
{
    return m_talk.readPause(bootNow());
}

void Engine::onNews(const Address &peer, const proxy::NewsFrame &news, TimePoint now)
{
    if (!m_replica.isComplete() || news.revision <= m_replica.revision()) {
        return;
    }
    if (news.changes.empty()) {
        logEvent(LogLevel::Info, "engine", "large-news",
                 {{"peer", peer.text()}, {"revision", std::to_string(news.revision)}});
        m_talk.readUpTo(news.revision);
        m_ports.source.resume();
        return;
    }
    std::vector<directory::ItemChange> changes;
    for (std::size_t i = 0; i < news.changes.size() && i < news.bases.size(); ++i) {
        // A change that is held already needs no base any more.
        auto change = m_replica.fromDelta(news.changes[i], news.bases[i]);
        if (!change) {
            break;
        }
        changes.push_back(std::move(*change));
    }
    if (news.after > m_replica.revision() || changes.size() < news.changes.size()) {
        logEvent(LogLevel::Info, "engine", "news-not-applicable",
                 {{"peer", peer.text()},
                  {"after", std::to_string(news.after)},
                  {"held", std::to_string(m_replica.revision())}});
        return;
    }
    // News may have been held up on the way, so they do not tell how fresh the knowledge is.
    onBeliefs(m_replica.applyChanges(changes, news.revision, TimePoint{}, wasSourceAway(now), now),
              "reader", now);
}

void Engine::onSync(const proxy::SyncReplyFrame &reply, TimePoint now)
{
    const TimePoint askedAt{TimePoint::duration{reply.askedAt}};
    const auto asOf = askedAt - reply.age;
    if (asOf <= m_replica.freshAsOf() && m_replica.isComplete()) {
        return;
    }
    onBeliefs(m_replica.applyList(reply.items, reply.revision, asOf, wasSourceAway(now), now),
              "peer", now);
}

void Engine::onBeliefs(const std::vector<directory::ReplicaEvent> &beliefs, const char *source,
                       TimePoint now)
{
    for (const auto &belief : beliefs) {
        logEvent(LogLevel::Info, "directory", belief.event,
                 {{"subject", belief.subject},
                  {"detail", belief.detail},
                  {"source", source},
                  {"revision", std::to_string(m_replica.revision())},
                  {"age_ms", std::to_string(m_replica.age(now).count())}});
    }
    if (m_replica.view() != m_gateView) {
        m_gateView = m_replica.view();
        m_gate.onDirectory(m_replica.view(), now);
    }
}

} // namespace celeryramp::engine
