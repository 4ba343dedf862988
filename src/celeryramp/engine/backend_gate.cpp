#include "engine/backend_gate.h"

#include <algorithm>
#include <vector>

#include <boost/asio/post.hpp>

#include "core/boot_clock.h"
#include "engine/buffer_limits.h"
#include "engine/call_log.h"
#include "observe/log.h"
#include "observe/rejected_answer.h"
#include "proxy/answer_check.h"

namespace celeryramp::engine {

namespace internal {

/*! The server runs on the same host, so a slower connect means that its accept queue is full. */
constexpr Millis kConnectTimeout{500};
/*! Interval at which queued calls that can no longer be served are refused. */
constexpr Millis kExpiryInterval{25};
/*! Most bytes of one answer that are held: read whole, or read ahead and under way. */
constexpr std::size_t kMaxAnswerBytes
        = proxy::kWholeBodyBytes + AnswerBodies::kMaxUnsentBytes + proxy::kBodyWindowBytes;
/*! With less time left, the server would start a request that it cannot finish. */
constexpr Millis kMinServerTime{5};
constexpr int kServerError = 500;

/*! @return How the server dealt with a call that was sent to it, for metrics. */
[[nodiscard]] const char *arrivalOutcome(http::ExchangeEnd end, const proxy::AnswerMetadata &answer)
{
    if (end != http::ExchangeEnd::Answered) {
        return "unanswered";
    }
    if (answer.isOtherServer) {
        return "misdirected";
    }
    return answer.isNotRun ? "rejected" : "answered";
}

} // namespace internal

BackendGate::BackendGate(boost::asio::io_context &context, const EngineSettings &settings,
                         const proxy::HeaderAdapter &headerAdapter, proxy::CrashRegistry &crashes,
                         MetricsRegistry &metrics)
    : m_context{context}, m_startedAt{bootNow()},
      m_startedUnixMillis{static_cast<std::uint64_t>(
              std::chrono::duration_cast<Millis>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count())},
      m_expiryTimer{context}, m_probeTimer{context}, m_settings{settings},
      m_headerAdapter{headerAdapter}, m_crashes{crashes}, m_metrics{metrics},
      m_pool{context, settings.backend, http::PoolSettings{internal::kConnectTimeout}},
      m_maxAnswers{static_cast<int>(BufferLimits{settings.memoryBytes}.gate
                                    / internal::kMaxAnswerBytes)},
      m_bodies{context, settings.linkMegabits, [this](const AnswerBodies::Key &key, TimePoint now) {
                   cancel(std::string{key.first}, key.second, now);
               }}
{
    m_admission.link().setRate(settings.linkMegabits);
    m_admission.setConcurrencyLimit(admission::makeConcurrencyLimit(settings.concurrency));
}

proxy::Reason BackendGate::reasonToClose() const
{
    if (m_server.id.empty()) {
        return proxy::Reason::NoServer;
    }
    const bool isLeaving = m_server.isDraining || m_isServerLeaving;
    if (m_isShuttingDown || (isLeaving && m_settings.mechanisms.draining)) {
        return proxy::Reason::Draining;
    }
    if (m_settings.mechanisms.evacuation && m_view->evacuatedZones.count(m_server.zone) > 0) {
        return proxy::Reason::Evacuated;
    }
    return m_isMismatched ? proxy::Reason::WrongServer : proxy::Reason::None;
}

void BackendGate::onDirectory(const directory::DirectoryPtr &view, TimePoint now)
{
    m_view = view;
    const auto *server = view->findServerAt(m_settings.backend);
    if (server == nullptr) {
        m_server = {};
    } else {
        if (m_server.id.empty()) {
            // An earlier process may have sent requests to the server in its last second.
            // Their number is unknown, so the window counts as used up, unless the server started
            // too late for that: both come back together after a loss of power.
            if (proxy::ColdStartLimiter::mayBeUsed(server->startedMillis, m_startedUnixMillis)) {
                m_admission.cold().markUsed(m_startedAt);
            }
        }
        if (!m_server.isSameIncarnation(*server)) {
            m_isMismatched = false;
            m_isServerLeaving = false;
            m_admission.rate().reset();
            m_admission.onServerRestarted();
            assumeCold("new-incarnation");
            reportCrash(now);
        } else if (server->learnedAt != m_server.learnedAt && server->coldRemaining.count() > 0) {
            m_admission.cold().markCold(now + server->coldRemaining);
        }
        m_server = *server;
        if (view->routing) {
            if (const auto *service = view->routing->findService(server->service)) {
                m_service = *service;
            }
        }
        m_admission.setServer(std::min(m_server.slots, m_maxAnswers), m_service.coldPerSecond);
    }
    updateClosed(now);
    probeIfNeeded(now);
    dispatchWaiting(now);
}

void BackendGate::stopAdmitting(TimePoint now)
{
    m_isShuttingDown = true;
    updateClosed(now);
}

void BackendGate::updateClosed(TimePoint now)
{
    const auto before = m_admission.closedReason();
    const auto closed = reasonToClose();
    m_admission.setClosed(closed);
    if (before == proxy::Reason::Evacuated && closed == proxy::Reason::None) {
        assumeCold("zone-back");
    }
    if (closed != before) {
        logEvent(LogLevel::Info, "gate", "gate-state",
                 {{"server", m_server.id},
                  {"closed", std::string{proxy::reasonName(closed)}},
                  {"revision", std::to_string(m_view ? m_view->revision : 0)}});
    }
    for (const auto &refusal : m_admission.expire(now)) {
        refuse(refusal.ticket, refusal.reason, now);
    }
}

void BackendGate::submit(const std::string &origin, proxy::CallFrame call, Replies replies,
                         TimePoint now)
{
    const auto ticket = m_nextTicket++;
    auto &held = m_calls[ticket];
    held.origin = origin;
    held.replies = std::move(replies);
    held.arrivedAt = now;
    held.deadline = now + call.deadline;
    held.frame = std::move(call);
    held.linkBytes = linkBytes(held);
    const auto &frame = held.frame;
    m_ticketsByCallId[{origin, frame.id}] = ticket;
    auto reason = reasonToRefuse(frame);
    if (reason == proxy::Reason::None || m_isMismatched) {
        probeIfNeeded(now);
    }
    if (reason == proxy::Reason::None && frame.rateLimit) {
        m_admission.rate().onReport(*frame.rateLimit, now);
    }
    if (reason == proxy::Reason::None) {
        reason = m_admission.offer({ticket, frame.rank, frame.isNested, frame.mayQueue, now,
                                    now + frame.target, held.deadline, frame.route, held.linkBytes},
                                   now);
    }
    if (reason != proxy::Reason::None) {
        refuse(ticket, reason, now);
        return;
    }
    scheduleDispatch();
}

proxy::Reason BackendGate::reasonToRefuse(const proxy::CallFrame &call) const
{
    const auto reason = m_admission.closedReason();
    return reason == proxy::Reason::None && call.serverId != m_server.id
            ? proxy::Reason::WrongServer
            : reason;
}

void BackendGate::setAnswerLimit(std::size_t bytes)
{
    m_maxAnswers = std::max(1, static_cast<int>(bytes / internal::kMaxAnswerBytes));
}

std::size_t BackendGate::linkBytes(const Call &call)
{
    const bool isLong = call.frame.answerBytes > proxy::kInlineBodyBytes;
    return isLong && call.origin != kLocalOrigin ? call.frame.answerBytes : 0;
}

void BackendGate::settleLink(Call &call, std::size_t bytes, TimePoint now)
{
    if (call.isRunning && call.origin != kLocalOrigin) {
        const auto length = bytes > proxy::kInlineBodyBytes ? bytes : 0;
        m_admission.link().settle(std::exchange(call.linkBytes, length), length, now);
    }
}

void BackendGate::scheduleDispatch()
{
    if (std::exchange(m_isDispatchScheduled, true)) {
        return;
    }
    boost::asio::post(m_context, [this] {
        m_isDispatchScheduled = false;
        dispatchWaiting(bootNow());
    });
}

void BackendGate::dispatchWaiting(TimePoint now)
{
    while (hasRoomForAnswer()) {
        const auto ticket = m_admission.next(now);
        if (!ticket) {
            break;
        }
        sendToServer(*ticket, now);
    }
    if (m_admission.waiting() > 0) {
        armExpiryTimer();
    }
}

bool BackendGate::hasRoomForAnswer() const noexcept
{
    // A body can outlast its call, whose slot at the server is free again.
    return m_admission.running() + static_cast<int>(m_bodies.size()) < m_maxAnswers;
}

void BackendGate::armExpiryTimer()
{
    if (m_isExpiryTimerArmed) {
        return;
    }
    m_isExpiryTimerArmed = true;
    m_expiryTimer.expires_after(internal::kExpiryInterval);
    m_expiryTimer.async_wait([this](const boost::system::error_code &ec) {
        m_isExpiryTimerArmed = false;
        if (ec) {
            return;
        }
        const auto now = bootNow();
        for (const auto &refusal : m_admission.expire(now)) {
            refuse(refusal.ticket, refusal.reason, now);
        }
        dispatchWaiting(now);
    });
}

void BackendGate::reportHungCalls(TimePoint now)
{
    const auto overdueAge = m_hangs.overdueAge();
    const auto isSilentFor = [now](const Call &call, Millis age) {
        return call.isRunning && call.connection && !call.connection->hasReceived()
                && millisBetween(call.handedOverAt, now) > age;
    };
    const auto overdue = static_cast<int>(
            std::count_if(m_calls.begin(), m_calls.end(), [&](const auto &entry) {
                return isSilentFor(entry.second, overdueAge);
            }));
    const auto patience = m_hangs.patience(overdue, now);
    if (!patience) {
        return;
    }
    for (const auto &[ticket, call] : m_calls) {
        if (call.frame.isIdempotent && isSilentFor(call, *patience)) {
            call.replies.onHung({call.frame.id});
        }
    }
}

void BackendGate::sendToServer(std::uint64_t ticket, TimePoint now)
{
    auto &call = m_calls.at(ticket);
    const auto left = millisBetween(now, call.deadline);
    call.isRunning = true;
    call.handedOverAt = now;
    m_runningRequests.add(call.frame.requestId, {call.frame.rank, call.frame.isRepeat ? 1.0 : 0.0});
    if (left < internal::kMinServerTime) {
        finish(ticket, proxy::notRunReply(call.frame.id, proxy::Reason::DeadlinePassed),
               proxy::HandoverOutcome::NotSent, now);
        return;
    }
    http::Exchange exchange;
    const auto request = m_headerAdapter.toServer(call.frame, left);
    if (const auto &body = call.frame.longBody) {
        exchange.wire = http::serializeHead(request, body->bytes.size());
        exchange.body = std::shared_ptr<const std::string>{body, &body->bytes};
    } else {
        exchange.wire = http::serialize(request);
    }
    exchange.isHead = call.frame.request.method == "HEAD";
    exchange.match = [this, id = call.frame.requestId](const http::Answer &head, bool isReused) {
        return m_settings.mechanisms.attribution
                ? proxy::checkAnswer(head.status, m_headerAdapter.readAnswer(head), id, isReused)
                : http::AnswerMatch::Ours;
    };
    exchange.wholeBytes = proxy::kWholeBodyBytes;
    exchange.onHead = [this, ticket](http::Answer head, std::optional<std::uint64_t> length) {
        onAnswerHead(ticket, std::move(head), length);
    };
    exchange.onBytes = [this, ticket](const std::string &bytes) { onAnswerBytes(ticket, bytes); };
    exchange.done = [this, ticket](http::ExchangeEnd end, http::Answer answer) {
        onExchangeEnd(ticket, end, std::move(answer));
    };
    auto connection = m_pool.send(std::move(exchange),
                                  m_idleReuse.maxRest(call.frame.isIdempotent, now), now);
    if (const auto it = m_calls.find(ticket); it != m_calls.end()) {
        it->second.connection = std::move(connection);
    }
}

void BackendGate::onAnswerHead(std::uint64_t ticket, http::Answer head,
                               std::optional<std::uint64_t> length)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    const auto now = bootNow();
    auto &call = it->second;
    if (call.frame.serverId == m_server.id) {
        onServerState(m_headerAdapter.readAnswer(head), now);
    }
    call.isStreaming = true;
    settleLink(call, length.value_or(call.linkBytes), now);
    m_bodies.begin({call.origin, call.frame.id}, call.origin != kLocalOrigin, call.frame.requestId,
                   call.replies.onBody, call.connection, now);
    proxy::ReplyFrame reply;
    reply.id = call.frame.id;
    reply.kind = proxy::ReplyKind::Answer;
    reply.load = load(now);
    http::eraseHopByHop(head.headers);
    reply.answer = std::move(head);
    reply.hasMore = true;
    reply.length = length;
    call.replies.onReply(std::move(reply));
}

void BackendGate::onAnswerBytes(std::uint64_t ticket, std::string_view bytes)
{
    if (const auto it = m_calls.find(ticket); it != m_calls.end()) {
        m_bodies.append({it->second.origin, it->second.frame.id}, bytes, bootNow());
    }
}

void BackendGate::addCredit(const std::string &origin, const proxy::CreditFrame &credit)
{
    m_bodies.onCredit({origin, credit.id}, credit.bytes, bootNow());
}

void BackendGate::onExchangeEnd(std::uint64_t ticket, http::ExchangeEnd end, http::Answer answer)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    const auto now = bootNow();
    proxy::ReplyFrame reply;
    reply.id = it->second.frame.id;
    auto handover = proxy::HandoverOutcome::Failed;
    const auto metadata = m_headerAdapter.readAnswer(answer);
    if (end != http::ExchangeEnd::NotSent) {
        m_metrics
                .counter("server_arrivals_total{outcome=\""
                         + std::string{internal::arrivalOutcome(end, metadata)} + "\"}")
                .add();
    }
    if (end == http::ExchangeEnd::Answered && it->second.frame.serverId == m_server.id) {
        onServerState(metadata, now);
    }
    switch (end) {
    case http::ExchangeEnd::Answered: {
        m_hangs.onAnswered(std::chrono::duration_cast<Micros>(now - it->second.handedOverAt));
        if (metadata.isOtherServer) {
            reply.kind = proxy::ReplyKind::NotRun;
            reply.reason = proxy::Reason::WrongServer;
            reply.reachedServer = true;
            handover = proxy::HandoverOutcome::NotSent;
            if (it->second.frame.serverId == m_server.id) {
                onMismatch(it->second.frame.requestId, now);
            }
        } else if (metadata.isNotRun) {
            reply.kind = proxy::ReplyKind::NotRun;
            reply.reason = proxy::Reason::Shed;
            reply.reachedServer = true;
        } else {
            reply.kind = proxy::ReplyKind::Answer;
            if (answer.status < internal::kServerError) {
                handover = proxy::HandoverOutcome::Served;
            }
            http::eraseHopByHop(answer.headers);
            reply.answer = std::move(answer);
        }
        break;
    }
    case http::ExchangeEnd::NotSent:
        reply.kind = proxy::ReplyKind::NotRun;
        reply.reason = proxy::Reason::Unreachable;
        assumeCold("not-reached");
        reportCrash(now);
        break;
    case http::ExchangeEnd::Malformed:
        reply.kind = proxy::ReplyKind::Failed;
        reply.reason = proxy::Reason::Malformed;
        recordRejectedAnswer(m_metrics,
                             {"server", it->second.frame.requestId, m_server.id,
                              http::answerErrorName(it->second.connection->answerError())});
        break;
    case http::ExchangeEnd::Lost:
        if (const auto &connection = it->second.connection;
            connection && !connection->hasReceived()) {
            m_idleReuse.onLost(connection->restBefore(), now);
        }
        [[fallthrough]];
    case http::ExchangeEnd::Cancelled:
        reply.kind = proxy::ReplyKind::Failed;
        reply.reason = proxy::Reason::Lost;
        m_crashes.onLost(proxy::requestDigest(it->second.frame), now);
        if (m_pool.idle() == 0 && m_admission.running() <= 1) {
            assumeCold("all-connections-lost");
        }
        break;
    }
    finish(ticket, std::move(reply), handover, now);
    dispatchWaiting(now);
}

void BackendGate::refuse(std::uint64_t ticket, proxy::Reason reason, TimePoint now)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    finish(ticket, proxy::notRunReply(it->second.frame.id, reason), proxy::HandoverOutcome::NotSent,
           now);
}

void BackendGate::finish(std::uint64_t ticket, proxy::ReplyFrame reply,
                         proxy::HandoverOutcome outcome, TimePoint now)
{
    const auto it = m_calls.find(ticket);
    if (it == m_calls.end()) {
        return;
    }
    auto call = std::move(it->second);
    m_calls.erase(it);
    m_ticketsByCallId.erase({call.origin, call.frame.id});
    if (!call.isStreaming) {
        settleLink(call, reply.answer.body.size(), now);
    }
    if (call.isRunning) {
        const auto onCalls = m_runningRequests.timeOnCalls(call.frame.requestId);
        m_runningRequests.remove(call.frame.requestId);
        m_admission.finished(outcome, std::chrono::duration_cast<Micros>(now - call.handedOverAt),
                             now, call.frame.route, onCalls);
    }
    reply.load = load(now);
    logGateEnd(call.frame, reply, m_server.id, call.origin, millisBetween(call.arrivedAt, now),
               call.isRunning ? millisBetween(call.handedOverAt, now) : Millis{0});
    m_metrics
            .counter("gate_calls_total{outcome=\"" + std::string{proxy::reasonName(reply.reason)}
                     + "\"}")
            .add();
    const AnswerBodies::Key key{call.origin, call.frame.id};
    if (call.isStreaming) {
        m_bodies.end(key,
                     reply.kind == proxy::ReplyKind::Answer ? proxy::BodyEnd::Complete
                                                            : proxy::BodyEnd::Broken,
                     now);
        return;
    }
    if (call.origin != kLocalOrigin && reply.answer.body.size() > proxy::kInlineBodyBytes) {
        auto body = std::exchange(reply.answer.body, {});
        reply.hasMore = true;
        reply.length = body.size();
        call.replies.onReply(std::move(reply));
        m_bodies.sendWhole(key, true, call.frame.requestId, call.replies.onBody, std::move(body),
                           now);
        return;
    }
    call.replies.onReply(std::move(reply));
}

void BackendGate::cancel(const std::string &origin, std::uint64_t id, TimePoint now)
{
    m_bodies.remove({origin, id});
    const auto entry = m_ticketsByCallId.find({origin, id});
    if (entry == m_ticketsByCallId.end()) {
        return;
    }
    const auto ticket = entry->second;
    const auto it = m_calls.find(ticket);
    auto call = std::move(it->second);
    m_calls.erase(it);
    m_ticketsByCallId.erase(entry);
    if (!call.isRunning) {
        m_admission.cancel(ticket);
    } else {
        const auto spent = std::chrono::duration_cast<Micros>(now - call.handedOverAt);
        if (!call.isStreaming) {
            settleLink(call, 0, now);
        }
        m_runningRequests.remove(call.frame.requestId);
        m_admission.finished(proxy::HandoverOutcome::Cancelled, spent, now, call.frame.route);
        if (call.connection && !call.connection->hasReceived()) {
            m_hangs.onUnanswered(spent, now);
        }
        if (call.connection) {
            m_metrics.counter("server_arrivals_total{outcome=\"cancelled\"}").add();
            call.connection->cancel();
        }
    }
    dispatchWaiting(now);
}

void BackendGate::cancelAll(const std::string &origin, TimePoint now)
{
    std::vector<std::uint64_t> ids;
    for (auto it = m_ticketsByCallId.lower_bound({origin, 0});
         it != m_ticketsByCallId.end() && it->first.first == origin; ++it) {
        ids.push_back(it->first.second);
    }
    for (const auto id : ids) {
        cancel(origin, id, now);
    }
    m_bodies.removeAll(origin);
}

void BackendGate::abandon(TimePoint now)
{
    stopAdmitting(now);
    while (!m_calls.empty()) {
        const auto &call = m_calls.begin()->second;
        cancel(std::string{call.origin}, call.frame.id, now);
    }
    for (const auto &key : m_bodies.keys()) {
        m_bodies.remove(key);
    }
    m_expiryTimer.cancel();
    m_probeTimer.cancel();
    m_bodies.stop();
    m_pool.closeIdle();
}

proxy::GateLoad BackendGate::load(TimePoint now)
{
    auto load = m_admission.load(now);
    load.isLeaving = m_isServerLeaving;
    return load;
}

void BackendGate::sweep(TimePoint now)
{
    m_pool.sweep(now);
    reportHungCalls(now);
    m_bodies.sweep(now);
    if (m_admission.waiting() > 0) {
        probeIfNeeded(now);
    }
}

} // namespace celeryramp::engine
