#include "engine/backend_gate.h"

#include <algorithm>
#include <vector>

#include "core/boot_clock.h"
#include "engine/call_log.h"
#include "observe/log.h"

namespace celeryramp::engine {

namespace internal {

/*! The server is on the same machine; a connection that takes longer meets a full queue. */
constexpr Millis kConnectTimeout{500};
/*! Idle time up to which a connection is trusted with a request that must not be repeated. */
constexpr Millis kTrustedIdle{1000};
/*! Time between looks at calls that wait, for those that cannot be served any more. */
constexpr Millis kExpiryInterval{25};
/*! Pause between two questions to a server that may be cold. */
constexpr Millis kProbePause{300};
/*! Time for which a server counts as cold when its service does not say how long it is. */
constexpr Millis kUnknownCold{3000};
/*! A server that is left less time would only start what it cannot end. */
constexpr Millis kLeastHandedOver{5};
constexpr int kServerError = 500;

} // namespace internal

BackendGate::BackendGate(boost::asio::io_context &context, const EngineSettings &settings,
                         const proxy::Dialect &dialect, proxy::CrashRegistry &crashes,
                         MetricsRegistry &metrics)
    : m_startedAt{bootNow()}, m_timer{context}, m_settings{settings}, m_dialect{dialect},
      m_crashes{crashes}, m_metrics{metrics}, m_pool{context, settings.backend,
                                                     http::PoolSettings{internal::kConnectTimeout}}
{ }

proxy::Reason BackendGate::closedReason() const
{
    if (m_server.id.empty()) {
        return proxy::Reason::NoServer;
    }
    if (m_isLeaving || m_server.isDraining) {
        return proxy::Reason::Draining;
    }
    if (m_view->evacuatedZones.count(m_server.zone) > 0) {
        return proxy::Reason::Evacuated;
    }
    return proxy::Reason::None;
}

void BackendGate::onDirectory(const directory::DirectoryPtr &view, TimePoint now)
{
    m_view = view;
    const auto *server = view->findServerAt(m_settings.backend);
    if (server == nullptr) {
        m_server = {};
    } else {
        if (m_server.id.empty()) {
            // What a predecessor of this process handed over in its last second is not known.
            m_gate.cold().markUsed(m_startedAt);
        }
        if (!m_server.isSameIncarnation(*server)) {
            doubtServer("new-incarnation");
            tellCrash(now);
        } else if (server->learnedAt != m_server.learnedAt && server->coldRemaining.count() > 0) {
            m_gate.cold().markCold(now + server->coldRemaining);
        }
        m_server = *server;
        if (view->routing) {
            if (const auto *service = view->routing->findService(server->service)) {
                m_service = *service;
            }
        }
        m_gate.setServer(m_server.slots, m_service.coldPerSecond);
    }
    updateClosed(now);
    probeIfDoubted(now);
    pump(now);
}

void BackendGate::leave(TimePoint now)
{
    m_isLeaving = true;
    updateClosed(now);
}

void BackendGate::updateClosed(TimePoint now)
{
    const auto before = m_gate.closed();
    const auto closed = closedReason();
    m_gate.setClosed(closed);
    if (before == proxy::Reason::Evacuated && closed == proxy::Reason::None) {
        doubtServer("zone-back");
    }
    if (closed != before) {
        logEvent(LogLevel::Info, "gate", "gate-state",
                 {{"server", m_server.id},
                  {"closed", std::string{proxy::reasonName(closed)}},
                  {"revision", std::to_string(m_view ? m_view->revision : 0)}});
    }
    for (const auto &refusal : m_gate.expire(now)) {
        refuse(refusal.ticket, refusal.reason, now);
    }
}

void BackendGate::offer(const std::string &origin, proxy::CallFrame call, Reply reply,
                        TimePoint now)
{
    const auto ticket = m_nextTicket++;
    auto &held = m_calls[ticket];
    held.origin = origin;
    held.reply = std::move(reply);
    held.arrived = now;
    held.deadline = now + call.deadline;
    held.frame = std::move(call);
    const auto &frame = held.frame;
    m_tickets[{origin, frame.id}] = ticket;
    auto reason = m_gate.closed();
    if (reason == proxy::Reason::None && frame.serverId != m_server.id) {
        reason = proxy::Reason::WrongServer;
    }
    if (reason == proxy::Reason::None) {
        probeIfDoubted(now);
        reason = m_gate.offer({ticket, frame.rank, frame.isNested, frame.mayQueue, now,
                               now + frame.target, held.deadline},
                              now);
    }
    if (reason != proxy::Reason::None) {
        refuse(ticket, reason, now);
        return;
    }
    pump(now);
}

void BackendGate::pump(TimePoint now)
{
    while (const auto ticket = m_gate.next(now)) {
        handOver(*ticket, now);
    }
    if (m_gate.waiting() > 0) {
        armTimer();
    }
}

void BackendGate::armTimer()
{
    if (m_isTimerArmed) {
        return;
    }
    m_isTimerArmed = true;
    m_timer.expires_after(internal::kExpiryInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        m_isTimerArmed = false;
        if (ec) {
            return;
        }
        const auto now = bootNow();
        for (const auto &refusal : m_gate.expire(now)) {
            refuse(refusal.ticket, refusal.reason, now);
        }
        pump(now);
    });
}

void BackendGate::handOver(std::uint64_t ticket, TimePoint now)
{
    auto &call = m_calls.at(ticket);
    const auto left = millisBetween(now, call.deadline);
    call.isRunning = true;
    call.handedOver = now;
    if (left < internal::kLeastHandedOver) {
        finish(ticket, proxy::notRunReply(call.frame.id, proxy::Reason::DeadlinePassed),
               proxy::HandoverEnd::NotSent, now);
        return;
    }
    http::Exchange exchange;
    exchange.wire = http::serialize(m_dialect.toServer(call.frame, left));
    exchange.isHead = call.frame.request.method == "HEAD";
    exchange.isOurs = [this, id = call.frame.requestId](const http::Answer &answer) {
        const auto facts = m_dialect.readAnswer(answer);
        return facts.requestId.empty() ? !facts.isSigned : facts.requestId == id;
    };
    exchange.done = [this, ticket](http::ExchangeEnd end, http::Answer answer) {
        onEnded(ticket, end, std::move(answer));
    };
    const auto maxIdle = call.frame.isIdempotent ? Millis::max() : internal::kTrustedIdle;
    auto connection = m_pool.send(std::move(exchange), maxIdle, now);
    if (const auto it = m_calls.find(ticket); it != m_calls.end()) {
        it->second.connection = std::move(connection);
    }
}

void BackendGate::onEnded(std::uint64_t ticket, http::ExchangeEnd end, http::Answer answer)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    const auto now = bootNow();
    proxy::ReplyFrame reply;
    reply.id = it->second.frame.id;
    auto handover = proxy::HandoverEnd::Failed;
    switch (end) {
    case http::ExchangeEnd::Answered: {
        const auto facts = m_dialect.readAnswer(answer);
        if (facts.isOtherServer) {
            reply.kind = proxy::ReplyKind::NotRun;
            reply.reason = proxy::Reason::WrongServer;
            handover = proxy::HandoverEnd::NotSent;
        } else if (facts.isNotRun) {
            reply.kind = proxy::ReplyKind::NotRun;
            reply.reason = proxy::Reason::Shed;
            reply.reachedServer = true;
        } else if (answer.status < 300 && !facts.isSigned) {
            reply.kind = proxy::ReplyKind::Failed;
            reply.reason = proxy::Reason::Malformed;
        } else {
            reply.kind = proxy::ReplyKind::Answer;
            if (answer.status < internal::kServerError) {
                handover = proxy::HandoverEnd::Served;
            }
            http::eraseHopByHop(answer.headers);
            reply.answer = std::move(answer);
        }
        break;
    }
    case http::ExchangeEnd::NotSent:
        reply.kind = proxy::ReplyKind::NotRun;
        reply.reason = proxy::Reason::Unreachable;
        doubtServer("not-reached");
        tellCrash(now);
        break;
    case http::ExchangeEnd::Malformed:
        reply.kind = proxy::ReplyKind::Failed;
        reply.reason = proxy::Reason::Malformed;
        break;
    case http::ExchangeEnd::Lost:
    case http::ExchangeEnd::Cancelled:
        reply.kind = proxy::ReplyKind::Failed;
        reply.reason = proxy::Reason::Lost;
        m_crashes.onLost(proxy::requestDigest(it->second.frame.account, it->second.frame.request),
                         now);
        if (m_pool.idle() == 0 && m_gate.running() <= 1) {
            doubtServer("all-connections-lost");
        }
        break;
    }
    finish(ticket, std::move(reply), handover, now);
    pump(now);
}

void BackendGate::refuse(std::uint64_t ticket, proxy::Reason reason, TimePoint now)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    finish(ticket, proxy::notRunReply(it->second.frame.id, reason), proxy::HandoverEnd::NotSent,
           now);
}

void BackendGate::finish(std::uint64_t ticket, proxy::ReplyFrame reply, proxy::HandoverEnd end,
                         TimePoint now)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    auto call = std::move(it->second);
    m_calls.erase(it);
    m_tickets.erase({call.origin, call.frame.id});
    if (call.isRunning) {
        m_gate.finished(end, std::chrono::duration_cast<Micros>(now - call.handedOver), now);
    }
    reply.load = m_gate.load(now);
    logGateEnd(call.frame, reply, m_server.id, millisBetween(call.arrived, now),
               call.isRunning ? millisBetween(call.handedOver, now) : Millis{0});
    m_metrics
            .counter("gate_calls_total{outcome=\"" + std::string{proxy::reasonName(reply.reason)}
                     + "\"}")
            .add();
    call.reply(std::move(reply));
}

void BackendGate::cancel(const std::string &origin, std::uint64_t id, TimePoint now)
{
    const auto place = m_tickets.find({origin, id});
    if (place == m_tickets.end()) {
        return;
    }
    const auto ticket = place->second;
    const auto it = m_calls.find(ticket);
    auto call = std::move(it->second);
    m_calls.erase(it);
    m_tickets.erase(place);
    if (!call.isRunning) {
        m_gate.cancel(ticket);
    } else {
        m_gate.finished(proxy::HandoverEnd::Cancelled,
                        std::chrono::duration_cast<Micros>(now - call.handedOver), now);
        if (call.connection) {
            call.connection->cancel();
        }
    }
    pump(now);
}

void BackendGate::cancelAll(const std::string &origin, TimePoint now)
{
    std::vector<std::uint64_t> ids;
    for (auto it = m_tickets.lower_bound({origin, 0});
         it != m_tickets.end() && it->first.first == origin; ++it) {
        ids.push_back(it->first.second);
    }
    for (const auto id : ids) {
        cancel(origin, id, now);
    }
}

std::optional<int> BackendGate::runningRank() const
{
    std::vector<int> ranks;
    for (const auto &[ticket, call] : m_calls) {
        if (call.isRunning) {
            ranks.push_back(call.frame.rank);
        }
    }
    if (ranks.empty()) {
        return std::nullopt;
    }
    const auto middle = ranks.begin() + static_cast<std::ptrdiff_t>(ranks.size() / 2);
    std::nth_element(ranks.begin(), middle, ranks.end());
    return *middle;
}

void BackendGate::doubtServer(const char *why)
{
    const auto cold
            = m_service.coldStart.count() > 0 ? m_service.coldStart : internal::kUnknownCold;
    m_gate.cold().markCold(bootNow() + cold);
    if (!m_isDoubted) {
        logEvent(LogLevel::Info, "gate", "server-doubted", {{"server", m_server.id}, {"why", why}});
    }
    m_isDoubted = true;
}

void BackendGate::tellCrash(TimePoint now)
{
    const auto suspects = m_crashes.onServerDown(m_server.id, now);
    if (!suspects.empty() && m_crashed) {
        logEvent(LogLevel::Warn, "gate", "server-down",
                 {{"server", m_server.id}, {"suspects", std::to_string(suspects.size())}});
        m_crashed(suspects);
    }
}

void BackendGate::probeIfDoubted(TimePoint now)
{
    if (!m_isDoubted || m_isProbing || m_server.id.empty() || m_service.healthPath.empty()
        || millisBetween(m_probedAt, now) < internal::kProbePause) {
        return;
    }
    m_isProbing = true;
    m_probedAt = now;
    http::Exchange exchange;
    exchange.wire = http::serialize(m_dialect.healthProbe(m_service));
    exchange.done = [this](http::ExchangeEnd end, const http::Answer &answer) {
        m_isProbing = false;
        if (end != http::ExchangeEnd::Answered) {
            return;
        }
        const auto facts = m_dialect.readAnswer(answer);
        if (answer.status != 200 || facts.serverId != m_server.id) {
            return;
        }
        const auto then = bootNow();
        m_isDoubted = false;
        const auto cold = facts.coldFor.value_or(Millis{0});
        if (cold.count() > 0) {
            m_gate.cold().markCold(then + cold);
        } else {
            m_gate.cold().markWarm(then);
        }
        logEvent(LogLevel::Info, "gate", "server-probed",
                 {{"server", m_server.id}, {"cold_ms", std::to_string(cold.count())}});
        pump(then);
    };
    m_pool.send(std::move(exchange), Millis::max(), now);
}

void BackendGate::sweep(TimePoint now)
{
    m_pool.sweep(now);
    if (m_gate.waiting() > 0) {
        probeIfDoubted(now);
    }
}

} // namespace celeryramp::engine
