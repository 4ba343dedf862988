#include "engine/request_dispatcher.h"

#include <algorithm>
#include <vector>

#include <boost/asio/post.hpp>

#include "core/boot_clock.h"
#include "core/hash.h"
#include "engine/buffer_limits.h"
#include "engine/call_log.h"
#include "observe/log.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! Time after which callers may retry when the request is over its limit, or when the configuration
 *  or current keys are missing. */
constexpr Millis kRetryAfter{500};
/*! Deadline of a request that carries none; the longest timeout that routes usually have. */
constexpr Millis kDefaultDeadline{30'000};
/*! Share of the retry ratio that a node spends; the rest is a margin for requests that enter the
 *  mesh unevenly over the nodes. */
constexpr double kRetryBudgetShare = 0.5;
/*! Retries of each service that a node may make beyond its share. */
constexpr double kRetryReserve = 1.0;
/*! Scales the priority of the account, so that it outweighs the priority of the route. */
constexpr int kRanksPerAccountPriority = 16;

} // namespace internal

RequestDispatcher::RequestDispatcher(boost::asio::io_context &context,
                                     DispatcherDependencies dependencies, std::uint64_t seed)
    : m_context{context}, m_dependencies{dependencies}, m_splitChooser{seed}, m_serverPicker{seed},
      m_retryBudget{dependencies.settings.retryRatio * internal::kRetryBudgetShare,
                    internal::kRetryReserve, internal::kRetryReserve},
      m_random{seed ^ 0x5bd1e995U}, m_connections{dependencies.settings, dependencies.bodies,
                                                  dependencies.metrics},
      m_zones{dependencies.settings, dependencies.peers, dependencies.metrics, seed},
      m_nextId{(seed << 20U) | 1U}
{ }

http::RequestLimits RequestDispatcher::requestLimits() const
{
    if (const auto &routing = m_dependencies.replica.view()->routing) {
        return {routing->limits().headerBytes, routing->limits().bodyBytes};
    }
    return {};
}

void RequestDispatcher::accept(boost::asio::ip::tcp::socket socket, TimePoint now)
{
    if (!m_connections.makeRoom(now)) {
        return; // the socket is closed
    }
    auto connection = std::make_shared<http::CallerConnection>(std::move(socket), *this, now);
    m_connections.add(connection);
    if (m_shutdown) {
        connection->closeAfterResponse();
    }
    connection->start();
}

void RequestDispatcher::refuseRequest(const http::ResponseWriter &response,
                                      const std::string &requestId, int status,
                                      proxy::Reason reason, std::optional<Millis> retryAfter,
                                      const std::string &account, const std::string &detail)
{
    m_dependencies.metrics
            .counter("requests_total{outcome=\"" + std::string{proxy::reasonName(reason)} + "\"}")
            .add();
    const auto &view = m_dependencies.replica.view();
    logEvent(LogLevel::Info, "desk", "request-refused",
             {{"request", requestId},
              {"status", std::to_string(status)},
              {"reason", std::string{proxy::reasonName(reason)}},
              {"account", account},
              {"detail", detail},
              {"version", std::to_string(view->routing ? view->routing->version() : 0)},
              {"revision", m_dependencies.replica.position().text()},
              {"age_ms", std::to_string(m_dependencies.replica.age(bootNow()).count())}});
    response.answer(
            m_dependencies.headerAdapter.localAnswer({status, reason, requestId, retryAfter}));
}

std::optional<RequestDispatcher::Refusal>
RequestDispatcher::refusalOfKey(const directory::KeyCheck &check, TimePoint now) const
{
    if (check.isRequired && m_dependencies.settings.mechanisms.freshKeys
        && m_dependencies.replica.age(now) > m_dependencies.settings.keyFreshness) {
        return Refusal{503, proxy::Reason::StaleKeys, internal::kRetryAfter, {}};
    }
    if (check.verdict == directory::KeyVerdict::Undecided) {
        return Refusal{503, proxy::Reason::Unreadable, std::nullopt, {}};
    }
    if (check.verdict == directory::KeyVerdict::Rejected) {
        return Refusal{401, proxy::Reason::UnknownKey, std::nullopt, {}};
    }
    return std::nullopt;
}

std::optional<RequestDispatcher::Refusal>
RequestDispatcher::refusalOfLoad(const directory::ClientAccount *account,
                                 const http::Request &request, TimePoint deadline, TimePoint now)
{
    if (m_shutdown && !m_shutdown->mayTake(deadline, now)) {
        return Refusal{503, proxy::Reason::Draining, m_shutdown->timeLeft(now), {}};
    }
    if (account != nullptr && m_dependencies.settings.mechanisms.rateLimits
        && !m_dependencies.limiter.admit(*account, m_dependencies.coordinator.nodeCount(),
                                         m_random.unit(), now)) {
        return Refusal{429, proxy::Reason::OverLimit, internal::kRetryAfter,
                       m_dependencies.limiter.describe(*account, now)};
    }
    if (!m_dependencies.crashes.isEmpty()
        && m_dependencies.crashes.isQuarantined(
                proxy::requestDigest(account != nullptr ? account->name : "", request), now)) {
        return Refusal{503, proxy::Reason::Quarantined, std::nullopt, {}};
    }
    return std::nullopt;
}

void RequestDispatcher::onRequest(http::ResponseWriter response, http::Request request)
{
    const auto now = bootNow();
    pollZones(now);
    const auto metadata = m_dependencies.headerAdapter.readCaller(request.headers);
    const auto &view = m_dependencies.replica.view();
    if (!view->routing) {
        refuseRequest(response, metadata.requestId, 503, proxy::Reason::NoConfiguration,
                      internal::kRetryAfter);
        return;
    }
    const auto &routing = *view->routing;
    const auto *route = findRoute(routing, request);
    if (route == nullptr) {
        refuseRequest(response, metadata.requestId, 404, proxy::Reason::NoRoute, std::nullopt);
        return;
    }
    if (!route->isReadable) {
        refuseRequest(response, metadata.requestId, 503, proxy::Reason::Unreadable, std::nullopt,
                      {}, route->name);
        return;
    }
    if (metadata.requestId.empty()) {
        refuseRequest(response, metadata.requestId, 400, proxy::Reason::BadRequest, std::nullopt);
        return;
    }
    const auto check = routing.checkKey(*route, metadata.key);
    const auto *account = check.account;
    const auto callerDeadline = now + metadata.deadline.value_or(internal::kDefaultDeadline);
    const auto deadline = std::min(callerDeadline, now + route->timeout);
    auto refusal = refusalOfKey(check, now);
    if (!refusal) {
        refusal = refusalOfLoad(account, request, deadline, now);
    }
    if (refusal) {
        refuseRequest(response, metadata.requestId, refusal->status, refusal->reason,
                      refusal->retryAfter, account != nullptr ? account->name : "",
                      refusal->detail);
        return;
    }
    const auto id = m_nextId++;
    proxy::CallPolicy policy;
    policy.service = m_splitChooser.choose(*route);
    policy.mayRepeat = route->isIdempotent || !m_dependencies.settings.mechanisms.atMostOnce;
    policy.reportsUnknown = m_dependencies.settings.mechanisms.trueRefusals;
    policy.maxAttempts = route->maxAttempts;
    const auto digest = proxy::requestDigest(account != nullptr ? account->name : "", request);
    policy.target
            = now + (route->targetLatency.count() > 0 ? route->targetLatency : route->timeout);
    if (const auto first = m_refusedRequests.take(digest, callerDeadline, now)) {
        policy.target = std::min(policy.target, *first);
    }
    policy.deadline = deadline;
    policy.callerDeadline = callerDeadline;
    policy.answerBytes = m_answerSizes.expected(route->name);
    policy.jitter = m_random.unit();
    // Where accounts have keys, only servers call open routes; elsewhere the id tells.
    const auto parent = metadata.parentId.empty()
            ? std::nullopt
            : m_dependencies.gate.runningRequests().find(metadata.parentId);
    policy.isNested = routing.needsKeys() ? route->isOpen && !metadata.key : parent.has_value();
    policy.maySpill = proxy::maySpill(request.body.size(), policy.answerBytes, route->priority,
                                      m_dependencies.settings.linkMegabits > 0.0);
    auto &call = m_calls.emplace(id, Call{}).first->second;
    call.id = id;
    call.response = std::move(response);
    call.view = view;
    call.route = route;
    call.dispatcher = proxy::CallDispatcher{std::move(policy)};
    call.arrivedAt = now;
    call.callerDeadline = callerDeadline;
    call.digest = digest;
    call.parentId = parent ? metadata.parentId : std::string{};
    call.frame.id = id;
    call.frame.route = static_cast<std::uint32_t>(stableHash(route->name));
    call.frame.answerBytes = static_cast<std::uint32_t>(
            std::min<std::size_t>(call.dispatcher.policy().answerBytes, UINT32_MAX));
    call.frame.requestId = metadata.requestId;
    call.frame.service = call.dispatcher.policy().service;
    call.frame.account = account != nullptr ? account->name : "";
    call.frame.callerService = m_dependencies.settings.service;
    call.frame.isIdempotent = route->isIdempotent;
    call.frame.isNested = call.dispatcher.policy().isNested;
    call.frame.rank
            = (account != nullptr ? account->priority : 0) * internal::kRanksPerAccountPriority
            + route->priority;
    const auto running = parent || !call.frame.isNested
            ? parent
            : m_dependencies.gate.runningRequests().typical();
    if (call.frame.isNested) {
        m_dependencies.metrics.counter("nested_calls_total").add();
    }
    if (call.frame.isNested && running) {
        // The urgency is that of the request which waits for this one at the local server.
        call.frame.rank = running->rank;
    }
    m_retryBudget.onFirstAttempt(call.frame.service,
                                 call.frame.isNested && running ? running->repeatShare : 0.0);
    call.frame.request = std::move(request);
    if (call.frame.request.body.size() > proxy::kInlineBodyBytes) {
        call.frame.longBody = std::make_shared<const admission::HeldBody>(
                admission::HeldBody{std::exchange(call.frame.request.body, {}),
                                    m_connections.takeLease(*call.response.connection(), now)});
    }
    http::eraseHopByHop(call.frame.request.headers);
    m_dependencies.headerAdapter.stripCaller(call.frame.request.headers);
    m_callIdsByResponse[{call.response.connection(), call.response.id()}] = id;
    armTimer(call, call.dispatcher.policy().deadline, now);
    executeStep(call, call.dispatcher.begin(dispatchContext(), now), nullptr, now);
}

void RequestDispatcher::armTimer(Call &call, TimePoint until, TimePoint now)
{
    call.timer = std::make_unique<boost::asio::steady_timer>(m_context);
    call.timer->expires_after(until - now);
    call.timer->async_wait([this, id = call.id](const boost::system::error_code &ec) {
        if (!ec) {
            onTimeout(id);
        }
    });
}

const directory::Route *RequestDispatcher::findRoute(const directory::RoutingTable &routing,
                                                     const http::Request &request)
{
    const std::string_view target = request.target;
    return routing.findRoute(http::normalizedHost(request.headers),
                             target.substr(0, target.find('?')));
}

bool RequestDispatcher::mayOverlap(const http::Request &request) const
{
    const auto &routing = m_dependencies.replica.view()->routing;
    if (!routing) {
        return true; // it is refused at once
    }
    const auto *route = findRoute(*routing, request);
    return route == nullptr || route->isIdempotent;
}

void RequestDispatcher::onBadRequest(int status)
{
    m_dependencies.metrics.counter("requests_total{outcome=\"bad-request\"}").add();
    logEvent(LogLevel::Info, "desk", "request-unreadable", {{"status", std::to_string(status)}});
}

void RequestDispatcher::executeStep(Call &call, const proxy::CallStep &step,
                                    const proxy::ReplyFrame *reply, TimePoint now)
{
    if (const auto *next = std::get_if<proxy::OfferStep>(&step)) {
        sendToGate(call, *next, now);
    } else if (const auto *end = std::get_if<proxy::GiveUpStep>(&step)) {
        giveUp(call, *end, now);
    } else {
        const auto bodySize = reply->hasMore ? reply->length.value_or(proxy::kWholeBodyBytes)
                                             : reply->answer.body.size();
        m_answerSizes.onAnswer(call.route->name, bodySize);
        if (reply->hasMore) {
            beginStream(call, *reply, now);
        } else {
            answer(call, reply->answer, proxy::Reason::None, now);
        }
    }
}

void RequestDispatcher::sendToGate(Call &call, const proxy::OfferStep &step, TimePoint now)
{
    const auto &server = *step.server;
    call.frame.serverId = server.id;
    call.serverStartedMillis = server.startedMillis;
    call.frame.deadline = millisBetween(now, call.dispatcher.policy().deadline);
    call.frame.target = millisBetween(now, call.dispatcher.policy().target);
    call.frame.mayQueue = step.mayBeLate;
    call.frame.isRepeat = call.dispatcher.attempts() > 0;
    call.frame.rateLimit = m_serverPicker.rateLimit(server.id);
    const auto id = call.id;
    if (server.address.host == m_dependencies.settings.links.host) {
        call.peer = {};
        m_dependencies.gate.submit(
                std::string{BackendGate::kLocalOrigin}, call.frame,
                {[this, id](proxy::ReplyFrame reply) {
                     // Posted, since a refusal that is handled inside submit() would recurse.
                     boost::asio::post(m_context, [this, id, held = std::move(reply)] {
                         onGateReply(id, held, bootNow());
                     });
                 },
                 [this](proxy::BodyFrame part) {
                     boost::asio::post(m_context, [this, held = std::move(part)]() mutable {
                         onBody({}, std::move(held), bootNow());
                     });
                     return true;
                 },
                 [this](proxy::HungFrame hung) {
                     boost::asio::post(m_context, [this, hung] { onHung({}, hung.id, bootNow()); });
                 }},
                now);
        return;
    }
    const Address node{server.address.host, m_dependencies.settings.links.port};
    call.isOnSilentLink = false;
    call.frame.sentAt
            = std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch()).count();
    call.frame.uploadBytes = call.frame.longBody ? call.frame.longBody->bytes.size() : 0;
    call.upload = {};
    if (m_dependencies.peers.send(node, proxy::encodeFrame(call.frame), now)) {
        call.peer = m_dependencies.peers.processInUse(node);
        m_zones.onSent(node, now);
        sendUpload(call, now);
    } else {
        call.peer = {}; // no process was given the call
        boost::asio::post(m_context, [this, id] {
            onGateReply(id, proxy::notRunReply(id, proxy::Reason::Unreachable), bootNow());
        });
    }
}

void RequestDispatcher::removeCall(const Call &call)
{
    if (!call.parentId.empty()) {
        m_dependencies.gate.onNestedCallEnded(call.parentId, call.arrivedAt, bootNow());
    }
    m_callIdsByResponse.erase({call.response.connection(), call.response.id()});
    m_calls.erase(call.id);
}

void RequestDispatcher::giveUp(Call &call, const proxy::GiveUpStep &step, TimePoint now)
{
    if (step.retryAfter) {
        m_refusedRequests.onRefused(call.digest, call.dispatcher.policy().target,
                                    call.callerDeadline, now);
    }
    answer(call,
           m_dependencies.headerAdapter.localAnswer(
                   {step.status, step.reason, call.frame.requestId, step.retryAfter}),
           step.reason, now);
}

void RequestDispatcher::answer(Call &call, const http::Answer &answer, proxy::Reason reason,
                               TimePoint now)
{
    recordEnd(call, answer.status, reason, now);
    const auto response = call.response;
    removeCall(call);
    response.answer(answer);
}

void RequestDispatcher::recordEnd(const Call &call, int status, proxy::Reason reason, TimePoint now)
{
    const auto elapsed = now - call.arrivedAt;
    const bool isGood = reason == proxy::Reason::None && status < 500;
    if (isGood && !m_dependencies.crashes.isEmpty()) {
        m_dependencies.crashes.onServed(call.digest);
    }
    m_dependencies.metrics
            .counter("requests_total{outcome=\""
                     + std::string{reason == proxy::Reason::None
                                           ? (isGood ? "served" : "server-error")
                                           : proxy::reasonName(reason)}
                     + "\"}")
            .add();
    if (isGood) {
        m_dependencies.metrics.latency("request_seconds{route=\"" + call.route->name + "\"}")
                .record(std::chrono::duration_cast<Micros>(elapsed));
    }
    if (!isGood || isSampled(call.frame.requestId)) {
        logEvent(LogLevel::Info, "desk", "request-end",
                 {{"request", call.frame.requestId},
                  {"status", std::to_string(status)},
                  {"reason", std::string{proxy::reasonName(reason)}},
                  {"route", call.route->name},
                  {"service", call.frame.service},
                  {"account", call.frame.account},
                  {"version", std::to_string(call.view->routing->version())},
                  {"server", call.frame.serverId},
                  {"peer", call.peer.node.host.empty() ? "" : call.peer.node.text()},
                  {"process", call.peer.incarnation},
                  {"asks", std::to_string(call.dispatcher.offers())},
                  {"arrivals", std::to_string(call.dispatcher.attempts())},
                  {"expected_ms", std::to_string(call.dispatcher.likelyLatency().count())},
                  {"took_late", call.dispatcher.allowsLate() ? "1" : "0"},
                  {"may_spill", call.dispatcher.policy().maySpill ? "1" : "0"},
                  {"spent_ms", std::to_string(millisBetween(call.arrivedAt, now).count())},
                  {"retry_ms", std::to_string(call.dispatcher.retryAfter().count())}});
    }
}

void RequestDispatcher::cancelAtGate(Call &call, TimePoint now)
{
    if (call.isStreaming || !call.dispatcher.pendingServer().empty()) {
        cancelOffer(call, now);
    }
}

void RequestDispatcher::cancelOffer(const Call &call, TimePoint now)
{
    if (call.peer.node.host.empty()) {
        m_dependencies.gate.cancel(std::string{BackendGate::kLocalOrigin}, call.id, now);
    } else if (!m_dependencies.peers.sendFollowUp(
                       call.peer, proxy::encodeFrame(proxy::CancelFrame{call.id}), now)) {
        logEvent(LogLevel::Warn, "desk", "cancel-not-sent",
                 {{"request", call.frame.requestId}, {"peer", call.peer.node.text()}});
    }
}

void RequestDispatcher::onTimeout(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    const auto now = bootNow();
    auto &call = it->second;
    cancelAtGate(call, now);
    if (call.isStreaming) {
        abortStream(call, proxy::Reason::TimedOut, now);
        return;
    }
    giveUp(call, call.dispatcher.onTimeout(dispatchContext(), now), now);
}

void RequestDispatcher::onClosed(const http::CallerConnectionPtr &connection)
{
    m_connections.remove(connection);
    if (!m_dependencies.settings.mechanisms.cancellation) {
        return;
    }
    const auto now = bootNow();
    auto entry = m_callIdsByResponse.lower_bound({connection.get(), 0});
    while (entry != m_callIdsByResponse.end() && entry->first.first == connection.get()) {
        const auto it = m_calls.find(entry->second);
        entry = m_callIdsByResponse.erase(entry);
        if (it == m_calls.end()) {
            continue;
        }
        auto &call = it->second;
        m_dependencies.metrics.counter("requests_total{outcome=\"cancelled\"}").add();
        logEvent(LogLevel::Info, "desk", "request-cancelled",
                 {{"request", call.frame.requestId},
                  {"server", call.dispatcher.pendingServer()},
                  {"spent_ms", std::to_string(millisBetween(call.arrivedAt, now).count())}});
        cancelAtGate(call, now);
        call.dispatcher.onCallerLeft(dispatchContext());
        m_calls.erase(it);
    }
}

void RequestDispatcher::sweep(TimePoint now)
{
    pollZones(now);
    m_serverPicker.sweep(now);
    m_refusedRequests.sweep(now);
    m_leavingPeers.sweep(now);
    const auto &routing = m_dependencies.replica.view()->routing;
    const auto limits = routing ? routing->limits() : directory::InputLimits{};
    const BufferLimits buffers{m_dependencies.settings.memoryBytes,
                               m_dependencies.bodies.heldBytes()};
    m_connections.sweep(limits, buffers.callers, now);
    for (auto &[id, call] : m_calls) {
        if (!call.dispatcher.pendingServer().empty()) {
            sendUpload(call, now);
        }
    }
}

void RequestDispatcher::beginShutdown(const proxy::ShutdownSchedule &shutdown)
{
    m_shutdown = shutdown;
    m_connections.closeAfterResponses();
}

void RequestDispatcher::endCalls(TimePoint now)
{
    while (!m_calls.empty()) {
        auto &call = m_calls.begin()->second;
        cancelAtGate(call, now);
        if (call.isStreaming) {
            abortStream(call, proxy::Reason::Draining, now);
        } else {
            giveUp(call, call.dispatcher.onShutdown(dispatchContext(), now), now);
        }
    }
}

} // namespace celeryramp::engine
