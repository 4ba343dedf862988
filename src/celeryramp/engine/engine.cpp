#include "engine/engine.h"

#include "core/boot_clock.h"
#include "core/hash.h"
#include "engine/buffer_limits.h"
#include "observe/log.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! Time in which the last answers are sent before the node ends. */
constexpr Millis kFlushTime{50};

[[nodiscard]] std::uint64_t randomSeed(const std::string &name)
{
    return stableHash({name, randomHex(8)});
}

} // namespace internal

Engine::Engine(boost::asio::io_context &context, EngineSettings settings,
               DeploymentBindings bindings)
    : m_context{context}, m_settings{std::move(settings)},
      m_bindings{std::move(bindings)}, m_bodies{BufferLimits{m_settings.memoryBytes}.bodies},
      m_uploads{m_bodies}, m_replica{m_bindings.decoder, m_settings.lapseGrace},
      m_peers{context, m_settings.links, *this}, m_gate{context, m_settings,
                                                        m_bindings.headerAdapter, m_crashes,
                                                        m_metrics},
      m_coordinator{m_settings, m_peers,   m_replica,
                    m_limiter,  m_metrics, internal::randomSeed(m_settings.name)},
      m_dispatcher{context,
                   DispatcherDependencies{m_settings, m_bindings.headerAdapter, m_replica, m_peers,
                                          m_gate, m_coordinator, m_bodies, m_limiter, m_crashes,
                                          m_metrics},
                   internal::randomSeed(m_settings.name)},
      m_callerListener{context,
                       [this](boost::asio::ip::tcp::socket socket) {
                           m_dispatcher.accept(std::move(socket), bootNow());
                       }},
      m_readinessEndpoint{context,
                          [this](std::string_view path) { return respondReadiness(path); }},
      m_metricsEndpoint{context, [this](std::string_view path) { return respondMetrics(path); }},
      m_tickTimer{context}
{
    m_gate.setCrashHandler([this](const std::vector<proxy::SuspectFrame> &suspects) {
        const auto now = bootNow();
        for (const auto &suspect : suspects) {
            m_crashes.onSuspect(suspect, now);
            m_coordinator.broadcast(suspect, now);
        }
    });
}

Engine::~Engine() = default;

Result<void, EngineError> Engine::start()
{
    m_peers.setTotalLimit(BufferLimits{m_settings.memoryBytes}.links);
    if (const auto opened = m_peers.listen(m_settings.linksListen.value_or(m_settings.links));
        !opened) {
        return EngineError{opened.error().place, opened.error().reason};
    }
    if (const auto opened = m_callerListener.open(m_settings.callers); !opened) {
        return EngineError{opened.error().place, opened.error().reason};
    }
    if (const auto opened = m_readinessEndpoint.open(m_settings.readiness); !opened) {
        return EngineError{opened.error().place, opened.error().reason};
    }
    if (m_settings.metrics) {
        if (const auto opened = m_metricsEndpoint.open(*m_settings.metrics); !opened) {
            return EngineError{opened.error().place, opened.error().reason};
        }
    }
    logEvent(LogLevel::Info, "engine", "started",
             {{"node", m_settings.name},
              {"zone", m_settings.zone},
              {"service", m_settings.service},
              {"callers", m_settings.callers.text()},
              {"links", m_settings.links.text()},
              {"process", m_peers.incarnation()},
              {"backend", m_settings.backend.text()},
              {"key_freshness_ms", std::to_string(m_settings.keyFreshness.count())},
              {"build", CELERYRAMP_VERSION}});
    m_bindings.source.start(*this);
    tick();
    return boost::outcome_v2::success();
}

void Engine::tick()
{
    const auto now = bootNow();
    onDirectoryChanged(m_replica.expire(now), "grace-over", now);
    m_coordinator.tick(now);
    if (m_coordinator.readPause(now)) {
        m_bindings.source.resume();
    }
    m_peers.sweep(now);
    m_gate.sweep(now);
    m_dispatcher.sweep(now);
    m_crashes.sweep(now);
    m_uploads.sweep(now);
    m_bodies.setOtherBytes(m_peers.heldBytes() + callerBytes() + m_gate.unsentBytes());
    const BufferLimits limits{m_settings.memoryBytes, m_bodies.heldBytes()};
    m_peers.setTotalLimit(limits.links);
    m_gate.setAnswerLimit(limits.gate);
    m_readinessEndpoint.sweep(now);
    m_metricsEndpoint.sweep(now);
    if (m_shutdown && continueShutdown(now)) {
        return;
    }
    m_tickTimer.expires_after(m_hasEndedCalls ? internal::kFlushTime
                                              : PeerCoordinator::kTickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec) {
            tick();
        }
    });
}

void Engine::beginShutdown(TimePoint now)
{
    if (m_shutdown) {
        return;
    }
    if (!m_settings.mechanisms.gracefulStop) {
        stop(now);
        return;
    }
    m_shutdown.emplace(now, m_settings.grace);
    logEvent(LogLevel::Info, "engine", "leaving",
             {{"connections", std::to_string(m_dispatcher.connections().size())}});
    m_dispatcher.beginShutdown(*m_shutdown);
    for (const auto &peer : m_peers.openPeers()) {
        sendShutdownState(peer, now);
    }
}

void Engine::sendShutdownState(const links::PeerProcess &peer, TimePoint now)
{
    if (!m_peers.send(peer.node, proxy::encodeFrame(m_stopNotice.frameFor(peer.text())), now)) {
        logEvent(LogLevel::Warn, "engine", "leaving-not-told", {{"peer", peer.node.text()}});
    }
}

bool Engine::continueShutdown(TimePoint now)
{
    if (!m_shutdown->isListening(now) && !m_hasStoppedListening) {
        m_hasStoppedListening = true;
        m_callerListener.acceptWaitingAndClose();
        m_gate.stopAdmitting(now);
    }
    if (m_hasStoppedListening) {
        m_dispatcher.closeIdleConnections(now);
    }
    const bool isIdle = m_hasStoppedListening && m_dispatcher.isIdle() && m_gate.isIdle()
            && m_dispatcher.connections().size() == 0;
    const bool isOverdue = m_shutdown->isOverdue(now);
    if (isIdle && !m_stopNotice.hasClosed() && !isOverdue) {
        // All replies precede this frame on the links. It lets peers send the calls elsewhere that
        // are under way to this node. The links stay open until the next tick at least.
        m_stopNotice.close();
        for (const auto &peer : m_peers.openPeers()) {
            sendShutdownState(peer, now);
        }
        return false;
    }
    const bool isDone = isIdle && m_stopNotice.hasClosed() && m_peers.unsentBytes() == 0;
    if (isOverdue && !isDone && !std::exchange(m_hasEndedCalls, true)) {
        m_dispatcher.endCalls(now);
        return false;
    }
    const bool ends = isDone || isOverdue;
    if (ends) {
        logEvent(LogLevel::Info, "engine", "stopped",
                 {{"spent_ms", std::to_string(m_shutdown->elapsed(now).count())},
                  {"cut", m_hasEndedCalls ? "1" : "0"}});
        stop(now);
    }
    return ends;
}

void Engine::stop(TimePoint now)
{
    m_tickTimer.cancel();
    m_bindings.source.stop();
    m_callerListener.close();
    m_readinessEndpoint.close();
    m_metricsEndpoint.close();
    m_dispatcher.abandon();
    m_gate.abandon(now);
    m_peers.close();
    m_context.stop();
}

void Engine::onFrame(const links::PeerProcess &peer, std::string_view bytes)
{
    auto decoded = proxy::decodeFrame(bytes);
    if (!decoded) {
        m_metrics.counter("frames_unreadable_total").add();
        logEvent(LogLevel::Warn, "engine", "frame-unreadable",
                 {{"peer", peer.node.text()}, {"reason", decoded.error().reason}});
        if (const auto &id = decoded.error().answeredCall) {
            m_dispatcher.onUnreadableAnswer(peer, *id, bootNow());
        }
        return;
    }
    const auto now = bootNow();
    auto &frame = decoded.value();
    if (auto *call = std::get_if<proxy::CallFrame>(&frame)) {
        onCallFrame(peer, std::move(*call), now);
    } else if (const auto *reply = std::get_if<proxy::ReplyFrame>(&frame)) {
        m_dispatcher.onReply(peer, *reply, now);
    } else if (const auto *cancel = std::get_if<proxy::CancelFrame>(&frame)) {
        m_uploads.cancel(peer.text(), cancel->id);
        m_gate.cancel(peer.text(), cancel->id, now);
    } else if (auto *body = std::get_if<proxy::BodyFrame>(&frame)) {
        m_dispatcher.onBody(peer, std::move(*body), now);
    } else if (const auto *hung = std::get_if<proxy::HungFrame>(&frame)) {
        m_dispatcher.onHung(peer, hung->id, now);
    } else if (const auto *part = std::get_if<proxy::UploadFrame>(&frame)) {
        onUploadFrame(peer, *part, now);
    } else if (const auto *uploadCredit = std::get_if<proxy::UploadCreditFrame>(&frame)) {
        m_dispatcher.onUploadCredit(peer, *uploadCredit, now);
    } else if (const auto *credit = std::get_if<proxy::CreditFrame>(&frame)) {
        m_gate.addCredit(peer.text(), *credit);
    } else if (std::holds_alternative<proxy::ClosedFrame>(frame)) {
        logEvent(LogLevel::Info, "engine", "peer-closed",
                 {{"peer", peer.node.text()}, {"process", peer.incarnation}});
        m_dispatcher.onPeerClosed(peer, now);
    } else if (std::holds_alternative<proxy::LeavingFrame>(frame)) {
        logEvent(LogLevel::Info, "engine", "peer-leaving",
                 {{"peer", peer.node.text()}, {"process", peer.incarnation}});
        m_dispatcher.onPeerLeaving(peer, now);
    } else if (const auto *usage = std::get_if<proxy::UsageFrame>(&frame)) {
        m_coordinator.onUsage(peer.node, *usage, now);
    } else if (const auto *levels = std::get_if<proxy::LevelsFrame>(&frame)) {
        m_coordinator.onLevels(peer.node, *levels, now);
    } else if (const auto *request = std::get_if<proxy::SyncRequestFrame>(&frame)) {
        m_coordinator.onSyncRequest(peer.node, *request, now);
    } else if (const auto *sync = std::get_if<proxy::SyncReplyFrame>(&frame)) {
        onSyncReply(peer.node, *sync, now);
    } else if (const auto *changesFrame = std::get_if<proxy::ChangesFrame>(&frame)) {
        onChangesFrame(peer.node, *changesFrame, now);
    } else if (const auto *readerStatus = std::get_if<proxy::ReaderStatusFrame>(&frame)) {
        if (const auto inUse = m_peers.processInUse(peer.node); inUse.isKnown() && inUse != peer) {
            return; // it says nothing of the process in use
        }
        logEvent(LogLevel::Info, "engine", readerStatus->canRead ? "reader-able" : "reader-unable",
                 {{"peer", peer.node.text()}});
        m_coordinator.onReaderStatus(peer.node, readerStatus->canRead, now);
        if (m_coordinator.readPause(now)) {
            m_bindings.source.resume();
        }
    } else if (const auto *suspect = std::get_if<proxy::SuspectFrame>(&frame)) {
        logEvent(LogLevel::Info, "engine", "request-suspected",
                 {{"digest", std::to_string(suspect->digest)}, {"server", suspect->serverId}});
        m_crashes.onSuspect(*suspect, now);
    }
}

void Engine::onCallFrame(const links::PeerProcess &peer, proxy::CallFrame call, TimePoint now)
{
    const auto delay = m_transitDelay.onCall(peer.text(), call.sentAt, now);
    m_metrics.latency("call_transit_delay_seconds").record(delay);
    call.deadline -= delay;
    call.target -= delay;
    if (call.uploadBytes == 0) {
        submitCall(peer, std::move(call), now);
        return;
    }
    const auto id = call.id;
    auto reason = m_gate.reasonToRefuse(call);
    if (reason == proxy::Reason::None && !m_uploads.begin(peer.text(), std::move(call), now)) {
        m_metrics.counter("uploads_refused_total").add();
        logEvent(
                LogLevel::Warn, "engine", "upload-refused",
                {{"peer", peer.node.text()}, {"held_bytes", std::to_string(m_bodies.heldBytes())}});
        reason = proxy::Reason::Busy;
    }
    if (reason != proxy::Reason::None) {
        auto reply = proxy::notRunReply(id, reason);
        reply.load = m_gate.load(now);
        static_cast<void>(m_peers.sendFollowUp(peer, proxy::encodeFrame(reply), now));
    }
}

void Engine::onUploadFrame(const links::PeerProcess &peer, const proxy::UploadFrame &part,
                           TimePoint now)
{
    auto progress = m_uploads.add(peer.text(), part, now);
    if (!progress) {
        return;
    }
    if (progress->call) {
        submitCall(peer, std::move(*progress->call), now);
        return;
    }
    const proxy::Frame reply = progress->isBroken
            ? proxy::Frame{proxy::notRunReply(part.id, proxy::Reason::Unreachable)}
            : proxy::Frame{proxy::UploadCreditFrame{part.id, part.bytes.size()}};
    static_cast<void>(m_peers.sendFollowUp(peer, proxy::encodeFrame(reply), now));
}

void Engine::submitCall(const links::PeerProcess &peer, proxy::CallFrame call, TimePoint now)
{
    const auto send = [this, peer](const proxy::Frame &frame) {
        return m_peers.sendFollowUp(peer, proxy::encodeFrame(frame), bootNow());
    };
    m_gate.submit(peer.text(), std::move(call),
                  {[this, send, peer](const proxy::ReplyFrame &reply) {
                       if (!send(reply)) {
                           m_stopNotice.onReplyNotSent(peer.text());
                           logEvent(LogLevel::Warn, "engine", "reply-not-sent",
                                    {{"peer", peer.node.text()},
                                     {"process", peer.incarnation},
                                     {"call", std::to_string(reply.id)}});
                       }
                   },
                   [send](const proxy::BodyFrame &part) { return send(part); },
                   [send](const proxy::HungFrame &hung) { static_cast<void>(send(hung)); }},
                  now);
}

void Engine::onPeerHeard(const Address &peer)
{
    m_dispatcher.onPeerHeard(peer, bootNow());
}

void Engine::onLinkOpen(const links::PeerProcess &peer)
{
    m_dispatcher.onPeerHeard(peer.node, bootNow());
    logEvent(LogLevel::Info, "engine", "peer-regained",
             {{"peer", peer.node.text()}, {"process", peer.incarnation}});
    m_dispatcher.onLinkOpen(peer);
    if (!m_replica.isComplete()) {
        // After a restart while the platform cannot be read, peers are the only source.
        m_coordinator.requestSync(peer.node, bootNow());
    }
    if (m_shutdown) {
        sendShutdownState(peer, bootNow());
    }
}

void Engine::onLinkLost(const links::PeerProcess &peer, links::LinkLoss loss)
{
    const auto now = bootNow();
    const bool wasOpen = loss != links::LinkLoss::NotOpened;
    logEvent(LogLevel::Info, "engine", "peer-lost",
             {{"peer", peer.node.text()},
              {"process", peer.incarnation},
              {"was_open", wasOpen ? "1" : "0"}});
    if (wasOpen) {
        m_transitDelay.forget(peer.text());
        m_uploads.cancelAll(peer.text());
        m_gate.cancelAll(peer.text(), now);
    }
    m_coordinator.onLinkLost(peer.node);
    m_dispatcher.onLinkLost(peer, loss, now);
}

void Engine::onLinkSilent(const links::PeerProcess &peer)
{
    m_dispatcher.onLinkSilent(peer, bootNow());
}

void Engine::onLinkReplaced(const links::PeerProcess &peer)
{
    m_dispatcher.onLinkReplaced(peer);
}

bool Engine::isAwaiting(const links::PeerProcess &peer) const
{
    return m_dispatcher.isAwaiting(peer);
}

} // namespace celeryramp::engine
