#include "node/call_handler.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"
#include "gate/ledger_homes.h"
#include "http/head_check.h"
#include "node/tokens.h"
#include "observe/rejected_answer.h"
#include "transport/headers.h"

namespace celeryramp {

namespace internal {

constexpr std::uint32_t kMaxCallDepth = 18;
constexpr int kMaxAttempts = 5;
constexpr int kAttemptsBeforeQueueing = 3;
/*! Wait after a cancel for the gate to answer `not run`. */
constexpr Millis kCancelGracePeriod{30};
constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kMaxIdempotencyKey = 256;
constexpr std::size_t kMaxStoredAnswer = 16 * 1024;
constexpr std::size_t kDigestDigits = 32;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpGatewayTimeout = 504;
const std::string kBearer = "Bearer ";

/*! Counts a call while it is in flight. */
class InFlightCounter
{
public:
    explicit InFlightCounter(std::atomic<int> &count) : m_count{count} { ++m_count; }
    ~InFlightCounter() { --m_count; }
    InFlightCounter(const InFlightCounter &) = delete;
    InFlightCounter &operator=(const InFlightCounter &) = delete;

private:
    std::atomic<int> &m_count;
};

[[nodiscard]] CallFailure notRun(Reason reason)
{
    return {Outcome::NotRun, reason};
}

[[nodiscard]] std::optional<Millis> requestedTimeout(const HttpRequest &request)
{
    const auto text = request.header("X-Request-Timeout-Ms");
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool valid = !text.empty() && ec == std::errc{} && end == text.data() + text.size();
    return valid && n > 0 ? std::optional{Millis{n}} : std::nullopt;
}

[[nodiscard]] HeaderList forwardedHeaders(const HeaderList &headers)
{
    HeaderList kept;
    kept.reserve(headers.size());
    for (const auto &[name, value] : headers) {
        if (!isReservedHeader(name)) {
            kept.emplace_back(name, value);
        }
    }
    return kept;
}

[[nodiscard]] std::string requestDigest(const std::string &account, const HttpRequest &request)
{
    std::string text;
    for (const auto *part : {&account, &request.method, &request.target, &request.body}) {
        text.append(std::to_string(part->size())).append(":").append(*part);
    }
    return sha256Hex(text).substr(0, kDigestDigits);
}

[[nodiscard]] bool hasRetriedHeader(const AnswerMessage &answer)
{
    return std::any_of(answer.headers.begin(), answer.headers.end(),
                       [](const auto &header) { return sameHeader(header.first, kRetriedHeader); });
}

[[nodiscard]] AnswerMessage failedAnswer(const CallMessage &call, Outcome outcome, Reason reason)
{
    AnswerMessage answer;
    answer.id = call.id;
    answer.request = call.request;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.bodyHash = stableHash(std::string_view{});
    return answer;
}

/*! Combines the attempts of one call. An answer takes precedence, then an unknown outcome. */
class DeliveryResult
{
public:
    void note(AnswerMessage answer)
    {
        if (answer.outcome == Outcome::Answered) {
            m_answer = std::move(answer);
        } else {
            note(CallFailure{answer.outcome, answer.reason});
        }
    }

    void note(const CallFailure &ending)
    {
        const bool keepsUnknown
                = m_failure.outcome == Outcome::Unknown && ending.outcome == Outcome::NotRun;
        if (!keepsUnknown) {
            m_failure = ending;
        }
    }

    [[nodiscard]] Result<AnswerMessage, CallFailure> take()
    {
        return m_answer ? Result<AnswerMessage, CallFailure>{std::move(*m_answer)}
                        : Result<AnswerMessage, CallFailure>{m_failure};
    }

private:
    std::optional<AnswerMessage> m_answer;
    CallFailure m_failure{Outcome::NotRun, Reason::NoServer};
};

} // namespace internal

CallHandler::CallHandler(const NodeSettings &settings, const NodeStatus &nodeStatus,
                         const SharedValue<Snapshot> &snapshot, const SharedValue<FleetView> &fleet,
                         ContextTable &contexts, RequestRouter &router,
                         AdmissionController &admission, MessageSender &sender,
                         MetricsRegistry &metrics)
    : m_settings{settings}, m_nodeStatus{nodeStatus}, m_snapshot{snapshot}, m_fleet{fleet},
      m_contexts{contexts}, m_router{router}, m_admission{admission}, m_sender{sender},
      m_metrics{metrics}, m_answered{metrics.counter("calls_total{outcome=\"answered\"}")},
      m_retries{metrics.counter("call_repeats_total")},
      m_crossed{metrics.counter("crossed_answers_total")}, m_latency{
                                                                   metrics.latency("call_seconds")}
{ }

HttpResponse CallHandler::serve(const HttpRequest &request, CallOrigin origin)
{
    const internal::InFlightCounter counter{m_inFlight};
    CallState call;
    call.origin = origin;
    call.startedAt = Clock::now();
    const auto result = process(call, request);
    settle(call, result);
    auto response = makeResponse(call, result);
    const auto taken = std::chrono::duration_cast<Micros>(Clock::now() - call.startedAt);
    m_latency.record(taken);
    if (origin == CallOrigin::LocalServer) {
        m_contexts.endNested(call.contextToken, taken);
    }
    response.closeConnection = m_nodeStatus.isLeaving() && origin == CallOrigin::External;
    return response;
}

Result<AnswerMessage, CallFailure> CallHandler::process(CallState &call, const HttpRequest &request)
{
    if (const auto step = receive(call, request); !step) {
        return step.error();
    }
    if (const auto step = identify(call, request); !step) {
        return step.error();
    }
    if (const auto step = admit(call); !step) {
        return step.error();
    }
    auto earlier = reserve(call);
    if (!earlier) {
        return earlier.error();
    }
    if (earlier.value()) {
        return std::move(*earlier.value());
    }
    return deliver(call);
}

CallHandler::Step CallHandler::receive(CallState &call, const HttpRequest &request) const
{
    call.message.request = randomHex(internal::kRequestIdBytes);
    call.message.chain = call.message.request;
    if (!m_nodeStatus.isReady(call.startedAt)) {
        return internal::notRun(Reason::NotReady);
    }
    call.snapshot = m_snapshot.get();
    call.fleet = m_fleet.get();
    call.route = call.snapshot->findRoute(request.path);
    if (call.route == nullptr) {
        return internal::notRun(Reason::UnknownRoute);
    }
    call.workClass = call.snapshot->findClass(call.route->workClass);
    auto limit = call.workClass->deadline;
    if (const auto wanted = internal::requestedTimeout(request)) {
        limit = std::min(limit, *wanted);
    }
    call.deadline = call.startedAt + limit;
    call.idempotencyKey = request.header(kIdempotencyHeader);
    if (call.idempotencyKey.size() > internal::kMaxIdempotencyKey) {
        return internal::notRun(Reason::Malformed);
    }
    auto &message = call.message;
    message.service = call.route->service;
    message.workClass = call.workClass->name;
    message.method = request.method;
    message.target = request.target;
    message.headers = internal::forwardedHeaders(request.headers);
    message.body.data = request.body;
    message.latencyMs = static_cast<std::uint32_t>(call.workClass->latency.count());
    message.repeatSafe = call.workClass->repeat == RepeatSafety::Idempotent;
    return true;
}

CallHandler::Step CallHandler::identify(CallState &call, const HttpRequest &request) const
{
    const auto step = call.origin == CallOrigin::External ? identifyExternalCall(call, request)
                                                          : identifyLocalServerCall(call, request);
    if (!step) {
        return step.error();
    }
    call.message.digest = internal::requestDigest(call.message.account, request);
    const bool quarantined = m_settings.mechanisms.quarantine
            && call.fleet->quarantined.count(call.message.digest) > 0;
    return quarantined ? Step{internal::notRun(Reason::Quarantined)} : Step{true};
}

CallHandler::Step CallHandler::identifyExternalCall(CallState &call,
                                                    const HttpRequest &request) const
{
    if (call.route->access == RouteAccess::Internal) {
        return internal::notRun(Reason::Forbidden);
    }
    const auto presented = request.header(kKeyHeader);
    const bool hasKey = presented.rfind(internal::kBearer, 0) == 0;
    if (call.route->access == RouteAccess::Open) {
        return true;
    }
    if (!hasKey) {
        return internal::notRun(Reason::NoKey);
    }
    const auto key = presented.substr(internal::kBearer.size());
    call.account = call.snapshot->findAccountByKey(key);
    if (call.account == nullptr) {
        return internal::notRun(Reason::BadKey);
    }
    const auto limit = call.workClass->keyFreshness;
    const bool isStale = limit.count() > 0 && m_nodeStatus.confirmedAgo(call.startedAt) > limit;
    if (isStale || m_nodeStatus.areKeysUntrusted(call.startedAt)) {
        return internal::notRun(Reason::KeysStale);
    }
    call.message.account = call.account->name;
    call.message.keyId = key.substr(0, key.find('.'));
    return true;
}

CallHandler::Step CallHandler::identifyLocalServerCall(CallState &call,
                                                       const HttpRequest &request) const
{
    const auto token = request.header(kContextHeader);
    const auto context = m_contexts.find(token);
    if (!context) {
        return internal::notRun(token.empty() ? Reason::NoKey : Reason::BadKey);
    }
    if (context->depth + 1 >= internal::kMaxCallDepth) {
        return internal::notRun(Reason::TooDeep);
    }
    call.contextToken = token;
    m_contexts.beginNested(token);
    call.message.account = context->account;
    call.message.keyId = context->keyId;
    call.message.chain = context->chain;
    call.message.depth = context->depth + 1;
    call.deadline = std::min(call.deadline, context->deadline);
    call.account = call.snapshot->findAccount(context->account);
    const bool revoked = !context->keyId.empty()
            && !call.snapshot->isKeyGranted(context->keyId, context->account);
    return revoked ? Step{internal::notRun(Reason::BadKey)} : Step{true};
}

CallHandler::Step CallHandler::admit(CallState &call)
{
    if (call.deadline <= Clock::now()) {
        return internal::notRun(Reason::TooLate);
    }
    const bool charged = m_settings.mechanisms.rates && call.origin == CallOrigin::External
            && call.account != nullptr;
    if (charged && !m_admission.admit(*call.account, call.deadline)) {
        return internal::notRun(Reason::RateExceeded);
    }
    return true;
}

Result<std::optional<AnswerMessage>, CallFailure> CallHandler::reserve(CallState &call)
{
    if (!m_settings.mechanisms.ledger || call.message.repeatSafe || call.idempotencyKey.empty()) {
        return std::optional<AnswerMessage>{};
    }
    const auto key = call.message.account + "/" + call.idempotencyKey;
    Reservation reservation{ledgerHomes(*call.snapshot, key), Clock::now()};
    const auto state = collectVotes(call, reservation);
    if (state == ReservationState::Granted) {
        call.ledgerHomes = reservation.homes();
        return std::optional<AnswerMessage>{};
    }
    CompleteMessage release;
    release.record.key = key;
    release.record.attempt = call.message.request;
    release.release = true;
    for (const auto &home : reservation.homes()) {
        m_sender.post(home, release);
    }
    if (state == ReservationState::Mismatch) {
        return internal::notRun(Reason::KeyReused);
    }
    if (state != ReservationState::Held) {
        return internal::notRun(Reason::LedgerUnreachable);
    }
    const auto &holder = *reservation.holder();
    if (holder.state != RecordState::Done || holder.status == 0) {
        return CallFailure{Outcome::Unknown, Reason::InProgress};
    }
    AnswerMessage replay;
    replay.request = holder.attempt;
    replay.outcome = Outcome::Answered;
    replay.status = holder.status;
    replay.headers = holder.headers;
    replay.headers.emplace_back(kReplayedHeader, holder.attempt);
    replay.body = holder.body;
    if (isRejected(call.message.request, "ledger", replay)) {
        return CallFailure{Outcome::Unknown, Reason::BadAnswer};
    }
    return std::optional{std::move(replay)};
}

ReservationState CallHandler::collectVotes(const CallState &call, Reservation &reservation)
{
    auto ticket = m_votes.open();
    const auto key = call.message.account + "/" + call.idempotencyKey;
    for (const auto &home : reservation.homes()) {
        const ReserveMessage message{ticket.id(), key, call.message.digest, call.message.request};
        if (m_sender.post(home, message, tokenFor(TokenKind::Vote, ticket.id())) == 0) {
            reservation.onUnreachable(home);
        }
    }
    const auto until = std::min(call.deadline, Clock::now() + kReservationTimeout);
    while (reservation.state(Clock::now()) == ReservationState::Open) {
        const auto vote = ticket.wait(until);
        if (!vote) {
            break;
        }
        if (vote->id == 0) {
            reservation.onUnreachable(vote->home);
        } else {
            reservation.onVote(*vote);
        }
    }
    const auto state = reservation.state(Clock::now());
    if (state != ReservationState::Open) {
        return state;
    }
    return reservation.holder() ? ReservationState::Held : ReservationState::Failed;
}

Result<AnswerMessage, CallFailure> CallHandler::deliver(CallState &call)
{
    internal::DeliveryResult best;
    std::vector<std::string> tried;
    m_router.onFirstAttempt(call.message.service);
    for (int i = 0; i < internal::kMaxAttempts; ++i) {
        const auto now = Clock::now();
        if (now >= call.deadline) {
            best.note(internal::notRun(Reason::TooLate));
            break;
        }
        call.message.mayQueue = i >= internal::kAttemptsBeforeQueueing;
        if (call.message.mayQueue) {
            tried.clear(); // servers that were busy may queue the call now
        }
        auto server = m_router.pick(*call.snapshot, *call.fleet, call.message.service, tried, now);
        if (server.empty() && !tried.empty() && !call.message.mayQueue) {
            i = internal::kAttemptsBeforeQueueing - 1;
            continue;
        }
        if (server.empty()) {
            break;
        }
        call.message.retry = i > 0;
        auto answer = attempt(call, server);
        const bool again = shouldRetry(call, answer);
        best.note(std::move(answer));
        if (!again) {
            break;
        }
        tried.push_back(server);
        call.fleet = m_fleet.get();
    }
    return best.take();
}

AnswerMessage CallHandler::attempt(CallState &call, const std::string &server)
{
    auto ticket = m_calls.open();
    auto &message = call.message;
    message.id = ticket.id();
    const auto left = millisBetween(Clock::now(), call.deadline).count();
    message.remainingMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
    const auto link = m_sender.post(server, message, tokenFor(TokenKind::Call, message.id));
    if (link == 0) {
        m_router.onNoAnswer(server, Clock::now());
        return internal::failedAnswer(message, Outcome::NotRun, Reason::Unreachable);
    }
    ticket.tag(link);
    auto answer = ticket.wait(call.deadline);
    if (!answer) {
        m_sender.post(server, CancelMessage{message.id});
        answer = ticket.wait(Clock::now() + internal::kCancelGracePeriod);
    }
    const auto now = Clock::now();
    if (!answer) {
        m_router.onNoAnswer(server, now);
        return internal::failedAnswer(message, Outcome::Unknown, Reason::NoAnswer);
    }
    // Answers that this node creates have no request ID; answers from peers always have one.
    const bool isOwn = answer->request.empty();
    const bool whole = answer->request == message.request
            && answer->bodyHash == stableHash(answer->body.data);
    if (!isOwn && !whole) {
        m_crossed.add();
        m_router.onNoAnswer(server, now);
        return internal::failedAnswer(message, Outcome::Unknown, Reason::BadAnswer);
    }
    if (answer->outcome == Outcome::Answered && isRejected(message.request, server, *answer)) {
        m_router.onNoAnswer(server, now);
        return internal::failedAnswer(message, Outcome::Unknown, Reason::BadAnswer);
    }
    m_router.onAnswer(server, *answer, now);
    return std::move(*answer);
}

bool CallHandler::isRejected(const std::string &request, const std::string &sender,
                             const AnswerMessage &answer)
{
    const auto error = http::checkHead(answer.status, answer.headers);
    if (error == http::AnswerError::None) {
        return false;
    }
    recordRejectedAnswer(m_metrics, {"peer", request, sender, http::answerErrorName(error)});
    return true;
}

bool CallHandler::shouldRetry(CallState &call, const AnswerMessage &answer)
{
    if (answer.outcome == Outcome::NotRun) {
        return reasonInfo(answer.reason).retryable;
    }
    const bool failed = answer.outcome == Outcome::Unknown
            || (answer.status >= internal::kHttpBadGateway
                && answer.status <= internal::kHttpGatewayTimeout);
    if (!failed) {
        return false;
    }
    const bool retriedDownstream = internal::hasRetriedHeader(answer);
    if (!m_settings.mechanisms.retryBudget) {
        return call.message.repeatSafe && Clock::now() < call.deadline;
    }
    const bool alreadyFailed = std::exchange(call.retried, true);
    if (alreadyFailed || retriedDownstream || !call.message.repeatSafe
        || Clock::now() >= call.deadline) {
        return false;
    }
    const auto fleet = m_fleet.get();
    const bool isSuspect
            = answer.reason == Reason::ServerLost || fleet->suspect.count(call.message.digest) > 0;
    if (isSuspect || !m_router.tryConsumeRetry(call.message.service)) {
        return false;
    }
    m_retries.add();
    return true;
}

void CallHandler::settle(const CallState &call, const Result<AnswerMessage, CallFailure> &result)
{
    const bool failed = !result || result.value().status >= internal::kHttpBadGateway;
    if (call.origin == CallOrigin::LocalServer && failed) {
        m_contexts.recordNestedFailure(call.contextToken);
    }
    if (call.ledgerHomes.empty()) {
        return;
    }
    CompleteMessage complete;
    complete.record.key = call.message.account + "/" + call.idempotencyKey;
    complete.record.digest = call.message.digest;
    complete.record.attempt = call.message.request;
    if (result) {
        const auto &answer = result.value();
        complete.record.state = RecordState::Done;
        if (answer.body.data.size() <= internal::kMaxStoredAnswer) {
            complete.record.status = answer.status;
            complete.record.headers = answer.headers;
            complete.record.body = answer.body;
        }
    } else if (result.error().outcome == Outcome::NotRun) {
        complete.release = true;
    } else {
        return; // keeps the reservation, since the call may have run
    }
    for (const auto &home : call.ledgerHomes) {
        m_sender.post(home, complete);
    }
}

HttpResponse CallHandler::makeResponse(const CallState &call,
                                       const Result<AnswerMessage, CallFailure> &result)
{
    if (!result) {
        return failureResponse(call, result.error());
    }
    m_answered.add();
    const auto &answer = result.value();
    HttpResponse response{answer.status, {}, answer.body.data, "application/octet-stream", false};
    for (const auto &[name, value] : answer.headers) {
        if (!isReservedHeader(name) || sameHeader(name, kReplayedHeader)) {
            response.headers.emplace_back(name, value);
        }
    }
    response.headers.emplace_back(kRequestHeader, call.message.request);
    if (call.retried) {
        response.headers.emplace_back(kRetriedHeader, "1");
    }
    return response;
}

HttpResponse CallHandler::failureResponse(const CallState &call, const CallFailure &ending)
{
    const auto &info = reasonInfo(ending.reason);
    const std::string outcome{outcomeText(ending.outcome)};
    const std::string reason{info.text};
    m_metrics.counter("calls_total{outcome=\"" + outcome + "\",reason=\"" + reason + "\"}").add();
    HttpResponse response{info.status, {}, "", "text/plain", false};
    response.headers.emplace_back(
            kOutcomeHeader, outcome + "; reason=" + reason + "; request=" + call.message.request);
    if (call.retried || ending.outcome == Outcome::Unknown) {
        response.headers.emplace_back(kRetriedHeader, "1");
    }
    response.body = outcome + " " + reason + "\n";
    return response;
}

void CallHandler::onAnswer(AnswerMessage answer)
{
    const auto id = answer.id;
    m_calls.complete(id, std::move(answer));
}

void CallHandler::onVote(VoteMessage vote)
{
    const auto id = vote.id;
    m_votes.complete(id, std::move(vote));
}

void CallHandler::onCallUnsent(std::uint64_t id)
{
    m_calls.complete(id, internal::failedAnswer({}, Outcome::NotRun, Reason::Unreachable));
}

void CallHandler::onVoteUnsent(std::uint64_t id, const std::string &home)
{
    m_votes.complete(id, VoteMessage{0, home, Vote::Abstained, {}});
}

void CallHandler::onLinkLost(LinkId link)
{
    m_calls.completeTagged(link, internal::failedAnswer({}, Outcome::Unknown, Reason::PeerLost));
}

} // namespace celeryramp
