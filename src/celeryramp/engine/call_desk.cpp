#include "engine/call_desk.h"

#include <algorithm>
#include <cctype>

#include "core/boot_clock.h"
#include "engine/call_log.h"
#include "observe/log.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! A node that said it leaves is avoided for this long; it is restarted or gone by then. */
constexpr Millis kLeavingMemory{8000};
/*! When callers over their limit may come again, in ms. */
constexpr Millis kLimitPause{500};
/*! Deadline of a request whose caller names none; the longest that routes usually allow. */
constexpr Millis kUnnamedDeadline{30'000};
/*! Part of the mesh's repetitions that may be spent; the rest covers uneven entry. */
constexpr double kBudgetShare = 0.5;
/*! Repetitions for each service that a node may make beyond its share. */
constexpr double kNodeReserve = 1.0;
/*! Account before route. */
constexpr int kRanksPerAccountPriority = 16;
constexpr std::string_view kOwnNode = "own";

[[nodiscard]] std::string hostOf(std::string_view field)
{
    auto host = std::string{field.substr(0, field.rfind(':'))};
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return host;
}

} // namespace internal

CallDesk::CallDesk(boost::asio::io_context &context, CallSurroundings around, std::uint64_t seed)
    : m_context{context}, m_around{around}, m_splits{seed}, m_picker{seed},
      m_retries{around.settings.retryRatio * internal::kBudgetShare, internal::kNodeReserve,
                internal::kNodeReserve},
      m_random{seed ^ 0x5bd1e995U}, m_nextId{(seed << 20U) | 1U}
{ }

http::RequestBounds CallDesk::requestBounds() const
{
    if (const auto &routing = m_around.replica.view()->routing) {
        return {routing->limits().headerBytes, routing->limits().bodyBytes};
    }
    return {};
}

void CallDesk::accept(boost::asio::ip::tcp::socket socket, TimePoint now)
{
    auto connection = std::make_shared<http::CallerConnection>(std::move(socket), *this, now);
    m_connections.insert(connection);
    if (m_isLeaving) {
        connection->closeAfterResponse();
    }
    connection->start();
}

void CallDesk::refuseUnstarted(const http::CallerConnectionPtr &connection,
                               const std::string &requestId, int status, proxy::Reason reason,
                               std::optional<Millis> retryAfter, const std::string &account,
                               const std::string &detail)
{
    m_around.metrics
            .counter("requests_total{outcome=\"" + std::string{proxy::reasonName(reason)} + "\"}")
            .add();
    const auto &view = m_around.replica.view();
    logEvent(LogLevel::Info, "desk", "request-refused",
             {{"request", requestId},
              {"status", std::to_string(status)},
              {"reason", std::string{proxy::reasonName(reason)}},
              {"account", account},
              {"detail", detail},
              {"version", std::to_string(view->routing ? view->routing->version() : 0)},
              {"revision", std::to_string(m_around.replica.revision())},
              {"age_ms", std::to_string(m_around.replica.age(bootNow()).count())}});
    connection->answer(m_around.dialect.ownAnswer({status, reason, requestId, retryAfter}), false);
}

void CallDesk::onRequest(const http::CallerConnectionPtr &connection, http::Request request)
{
    const auto now = bootNow();
    const auto facts = m_around.dialect.readCaller(request.headers);
    const auto &view = m_around.replica.view();
    if (!view->routing) {
        refuseUnstarted(connection, facts.requestId, 503, proxy::Reason::NoConfiguration,
                        internal::kLimitPause);
        return;
    }
    const auto &routing = *view->routing;
    const std::string_view target = request.target;
    const auto *route
            = routing.findRoute(internal::hostOf(http::findHeader(request.headers, "Host")),
                                target.substr(0, target.find('?')));
    if (route == nullptr) {
        refuseUnstarted(connection, facts.requestId, 404, proxy::Reason::NoRoute, std::nullopt);
        return;
    }
    if (facts.requestId.empty()) {
        refuseUnstarted(connection, facts.requestId, 400, proxy::Reason::BadRequest, std::nullopt);
        return;
    }
    const directory::ClientAccount *account = nullptr;
    if (routing.needsKeys() && facts.key) {
        account = routing.findAccountByKey(*facts.key);
    }
    if (routing.needsKeys() && !route->isOpen) {
        if (m_around.replica.age(now) > m_around.settings.keyFreshness) {
            refuseUnstarted(connection, facts.requestId, 503, proxy::Reason::StaleKeys,
                            internal::kLimitPause);
            return;
        }
        if (account == nullptr) {
            refuseUnstarted(connection, facts.requestId, 401, proxy::Reason::UnknownKey,
                            std::nullopt);
            return;
        }
    }
    if (account != nullptr
        && !m_around.limiter.admit(*account, m_around.talk.nodeCount(), m_random.unit(), now)) {
        refuseUnstarted(connection, facts.requestId, 429, proxy::Reason::OverLimit,
                        internal::kLimitPause, account->name,
                        m_around.limiter.describe(*account, now));
        return;
    }
    if (!m_around.crashes.isEmpty()
        && m_around.crashes.isQuarantined(
                proxy::requestDigest(account != nullptr ? account->name : "", request), now)) {
        refuseUnstarted(connection, facts.requestId, 503, proxy::Reason::Quarantined, std::nullopt);
        return;
    }
    const auto id = m_nextId++;
    proxy::CallTerms terms;
    terms.service = m_splits.choose(*route);
    terms.isIdempotent = route->isIdempotent;
    terms.maxAttempts = route->maxAttempts;
    terms.target = now + (route->targetLatency.count() > 0 ? route->targetLatency : route->timeout);
    terms.deadline
            = now + std::min(facts.deadline.value_or(internal::kUnnamedDeadline), route->timeout);
    terms.maySpill = request.body.size() + m_answerSizes.expected(route->name)
            <= proxy::spillAllowance(route->priority);
    m_retries.onFirstAttempt(terms.service);
    auto &call = m_calls.emplace(id,
                                 Call{id,
                                      connection,
                                      view,
                                      route,
                                      {},
                                      proxy::CallCourse{std::move(terms)},
                                      now,
                                      {},
                                      nullptr})
                         .first->second;
    call.frame.id = id;
    call.frame.requestId = facts.requestId;
    call.frame.service = call.course.terms().service;
    call.frame.account = account != nullptr ? account->name : "";
    call.frame.callerService = m_around.settings.service;
    call.frame.isIdempotent = route->isIdempotent;
    call.frame.isNested = routing.needsKeys() && route->isOpen && account == nullptr;
    call.frame.rank
            = (account != nullptr ? account->priority : 0) * internal::kRanksPerAccountPriority
            + route->priority;
    if (call.frame.isNested) {
        // The work that waits for it at the own server is what is urgent or not.
        call.frame.rank = m_around.gate.runningRank().value_or(call.frame.rank);
    }
    call.frame.request = std::move(request);
    http::eraseHopByHop(call.frame.request.headers);
    m_around.dialect.stripCaller(call.frame.request.headers);
    m_byConnection[connection.get()] = id;
    call.timer = std::make_unique<boost::asio::steady_timer>(m_context);
    call.timer->expires_after(call.course.terms().deadline - now);
    call.timer->async_wait([this, id](const boost::system::error_code &ec) {
        if (!ec) {
            onTimeout(id);
        }
    });
    follow(call, call.course.begin(tools(), now), nullptr, now);
}

void CallDesk::onBadRequest(int status)
{
    m_around.metrics.counter("requests_total{outcome=\"bad-request\"}").add();
    logEvent(LogLevel::Info, "desk", "request-unreadable", {{"status", std::to_string(status)}});
}

std::vector<proxy::Candidate> CallDesk::candidates(const std::string &service,
                                                   const std::set<std::string> &asked,
                                                   TimePoint now) const
{
    const auto &view = *m_around.replica.view();
    std::vector<proxy::Candidate> sound;
    std::vector<proxy::Candidate> lastResort;
    const auto place = view.byService.find(service);
    if (place == view.byService.end()) {
        return sound;
    }
    for (const auto *server : place->second) {
        if (server->isDraining || view.evacuatedZones.count(server->zone) > 0) {
            continue;
        }
        const bool isHere = server->address.host == m_around.settings.links.host;
        if (!isHere
            && !m_around.peers.isReachable({server->address.host, m_around.settings.links.port},
                                           now)) {
            continue;
        }
        const proxy::Candidate candidate{server, server->zone == m_around.settings.zone,
                                         asked.count(server->id) > 0};
        const auto leaving = m_leaving.find(server->address.host);
        const bool isLeaving = leaving != m_leaving.end();
        (isLeaving ? lastResort : sound).push_back(candidate);
    }
    const bool areAllAsked = std::all_of(sound.begin(), sound.end(),
                                         [](const auto &candidate) { return candidate.isAsked; });
    if (areAllAsked) {
        sound.insert(sound.end(), lastResort.begin(), lastResort.end());
    }
    return sound;
}

void CallDesk::follow(Call &call, const proxy::CallStep &step, const proxy::ReplyFrame *reply,
                      TimePoint now)
{
    if (const auto *next = std::get_if<proxy::AskStep>(&step)) {
        ask(call, *next, now);
    } else if (const auto *end = std::get_if<proxy::GiveUpStep>(&step)) {
        giveUp(call, *end, now);
    } else {
        m_answerSizes.onAnswer(call.route->name, reply->answer.body.size());
        answer(call, reply->answer, proxy::Reason::None, now);
    }
}

void CallDesk::ask(Call &call, const proxy::AskStep &step, TimePoint now)
{
    const auto &server = *step.server;
    call.frame.serverId = server.id;
    call.frame.deadline = millisBetween(now, call.course.terms().deadline);
    call.frame.target = millisBetween(now, call.course.terms().target);
    call.frame.mayQueue = step.mayBeLate;
    const auto id = call.id;
    if (server.address.host == m_around.settings.links.host) {
        call.peer = {};
        m_around.gate.offer(
                std::string{internal::kOwnNode}, call.frame,
                [this, id](proxy::ReplyFrame reply) {
                    // A turn of the loop keeps a gate's refusals from recursing.
                    boost::asio::post(m_context, [this, id, held = std::move(reply)] {
                        onGateReply(id, held, bootNow());
                    });
                },
                now);
        return;
    }
    call.peer = {server.address.host, m_around.settings.links.port};
    if (!m_around.peers.send(call.peer, proxy::encodeFrame(call.frame), now)) {
        boost::asio::post(m_context, [this, id] {
            onGateReply(id, proxy::notRunReply(id, proxy::Reason::Unreachable), bootNow());
        });
    }
}

void CallDesk::onReply(const Address &peer, const proxy::ReplyFrame &reply, TimePoint now)
{
    const auto it = m_calls.find(reply.id);
    if (it != m_calls.end() && it->second.peer == peer) {
        onGateReply(reply.id, reply, now);
    }
}

void CallDesk::onGateReply(std::uint64_t id, const proxy::ReplyFrame &reply, TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.course.askedServer().empty()) {
        return;
    }
    auto &call = it->second;
    follow(call, call.course.onReply(reply, tools(), now), &reply, now);
}

void CallDesk::giveUp(Call &call, const proxy::GiveUpStep &step, TimePoint now)
{
    answer(call,
           m_around.dialect.ownAnswer(
                   {step.status, step.reason, call.frame.requestId, step.retryAfter}),
           step.reason, now);
}

void CallDesk::answer(Call &call, const http::Answer &answer, proxy::Reason reason, TimePoint now)
{
    const auto spent = now - call.arrived;
    const bool isGood = reason == proxy::Reason::None && answer.status < 500;
    if (isGood && !m_around.crashes.isEmpty()) {
        m_around.crashes.onServed(proxy::requestDigest(call.frame.account, call.frame.request));
    }
    m_around.metrics
            .counter("requests_total{outcome=\""
                     + std::string{reason == proxy::Reason::None
                                           ? (isGood ? "served" : "server-error")
                                           : proxy::reasonName(reason)}
                     + "\"}")
            .add();
    if (isGood) {
        m_around.metrics.latency("request_seconds{route=\"" + call.route->name + "\"}")
                .record(std::chrono::duration_cast<Micros>(spent));
    }
    if (!isGood || isSampled(call.frame.requestId)) {
        logEvent(LogLevel::Info, "desk", "request-end",
                 {{"request", call.frame.requestId},
                  {"status", std::to_string(answer.status)},
                  {"reason", std::string{proxy::reasonName(reason)}},
                  {"route", call.route->name},
                  {"service", call.frame.service},
                  {"account", call.frame.account},
                  {"version", std::to_string(call.view->routing->version())},
                  {"server", call.frame.serverId},
                  {"asks", std::to_string(call.course.asks())},
                  {"arrivals", std::to_string(call.course.arrivals())},
                  {"expected_ms", std::to_string(call.course.expected().count())},
                  {"took_late", call.course.takesLate() ? "1" : "0"},
                  {"may_spill", call.course.terms().maySpill ? "1" : "0"},
                  {"spent_ms", std::to_string(millisBetween(call.arrived, now).count())},
                  {"retry_ms", std::to_string(call.course.retryAfter().count())}});
    }
    const auto connection = call.connection;
    m_byConnection.erase(connection.get());
    m_calls.erase(call.id);
    connection->answer(answer, false);
}

void CallDesk::cancelAtGate(Call &call, TimePoint now)
{
    if (call.course.askedServer().empty()) {
        return;
    }
    if (call.peer.host.empty()) {
        m_around.gate.cancel(std::string{internal::kOwnNode}, call.id, now);
    } else if (!m_around.peers.send(call.peer, proxy::encodeFrame(proxy::CancelFrame{call.id}),
                                    now)) {
        logEvent(LogLevel::Warn, "desk", "cancel-not-sent",
                 {{"request", call.frame.requestId}, {"peer", call.peer.text()}});
    }
}

void CallDesk::onTimeout(std::uint64_t id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end()) {
        return;
    }
    const auto now = bootNow();
    auto &call = it->second;
    cancelAtGate(call, now);
    giveUp(call, call.course.onTimeout(tools(), now), now);
}

void CallDesk::onClosed(const http::CallerConnectionPtr &connection)
{
    m_connections.erase(connection);
    const auto place = m_byConnection.find(connection.get());
    if (place == m_byConnection.end()) {
        return;
    }
    const auto it = m_calls.find(place->second);
    m_byConnection.erase(place);
    if (it == m_calls.end()) {
        return;
    }
    const auto now = bootNow();
    auto &call = it->second;
    m_around.metrics.counter("requests_total{outcome=\"cancelled\"}").add();
    logEvent(LogLevel::Info, "desk", "request-cancelled",
             {{"request", call.frame.requestId},
              {"server", call.course.askedServer()},
              {"spent_ms", std::to_string(millisBetween(call.arrived, now).count())}});
    cancelAtGate(call, now);
    call.course.onCallerLeft(tools());
    m_calls.erase(it);
}

void CallDesk::onLinkLost(const Address &peer, bool wasOpen, TimePoint now)
{
    m_leaving.erase(peer.host);
    std::vector<std::uint64_t> ids;
    for (const auto &[id, call] : m_calls) {
        if (!call.course.askedServer().empty() && call.peer == peer) {
            ids.push_back(id);
        }
    }
    for (const auto id : ids) {
        proxy::ReplyFrame reply;
        reply.id = id;
        reply.kind = wasOpen ? proxy::ReplyKind::Failed : proxy::ReplyKind::NotRun;
        reply.reason = wasOpen ? proxy::Reason::Lost : proxy::Reason::Unreachable;
        onGateReply(id, reply, now);
    }
}

void CallDesk::onLeaving(const Address &peer, TimePoint now)
{
    m_leaving[peer.host] = now;
}

bool CallDesk::isAwaiting(const Address &peer) const
{
    return std::any_of(m_calls.begin(), m_calls.end(), [&peer](const auto &entry) {
        return !entry.second.course.askedServer().empty() && entry.second.peer == peer;
    });
}

void CallDesk::sweep(TimePoint now)
{
    m_picker.sweep(now);
    for (auto it = m_leaving.begin(); it != m_leaving.end();) {
        it = millisBetween(it->second, now) > internal::kLeavingMemory ? m_leaving.erase(it)
                                                                       : std::next(it);
    }
    const auto &routing = m_around.replica.view()->routing;
    const auto limits = routing ? routing->limits() : directory::InputLimits{};
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        connection->sweep(limits.headerTimeout, limits.idleTimeout, now);
    }
}

void CallDesk::leave()
{
    m_isLeaving = true;
    for (const auto &connection : m_connections) {
        connection->closeAfterResponse();
    }
}

void CallDesk::closeIdle()
{
    const auto connections = m_connections;
    for (const auto &connection : connections) {
        if (connection->isIdle()) {
            connection->close();
        }
    }
}

} // namespace celeryramp::engine
