#include "node/road.h"

#include <algorithm>
#include <charconv>

#include "core/hash.h"
#include "gate/ledger_homes.h"
#include "node/tokens.h"
#include "transport/headers.h"

namespace celeryramp {

namespace internal {

constexpr std::uint32_t kMaxDepth = 18;
constexpr int kMaxAttempts = 5;
constexpr int kAttemptsBeforeQueueing = 3;
constexpr Millis kLastWord{30}; /*!< Wait past the deadline for a gate to say `not run`. */
constexpr std::size_t kRequestIdBytes = 12;
constexpr std::size_t kMaxIdempotencyKey = 256;
constexpr std::size_t kMaxStoredAnswer = 16 * 1024;
constexpr std::size_t kDigestDigits = 32;
constexpr int kHttpBadGateway = 502;
constexpr int kHttpGatewayTimeout = 504;
const std::string kBearer = "Bearer ";

/*! Counts a call as long as it is on the road. */
class RoadCounter
{
public:
    explicit RoadCounter(std::atomic<int> &count) : m_count{count} { ++m_count; }
    ~RoadCounter() { --m_count; }
    RoadCounter(const RoadCounter &) = delete;
    RoadCounter &operator=(const RoadCounter &) = delete;

private:
    std::atomic<int> &m_count;
};

[[nodiscard]] Ending notRun(Reason reason)
{
    return {Outcome::NotRun, reason};
}

[[nodiscard]] std::optional<Millis> wantedDeadline(const HttpRequest &request)
{
    const auto text = request.header("X-Request-Timeout-Ms");
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    const bool valid = !text.empty() && ec == std::errc{} && end == text.data() + text.size();
    return valid && n > 0 ? std::optional{Millis{n}} : std::nullopt;
}

[[nodiscard]] HeaderList forwardable(const HeaderList &headers)
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

[[nodiscard]] std::string digestOf(const std::string &account, const HttpRequest &request)
{
    std::string text;
    for (const auto *part : {&account, &request.method, &request.target, &request.body}) {
        text.append(std::to_string(part->size())).append(":").append(*part);
    }
    return sha256Hex(text).substr(0, kDigestDigits);
}

[[nodiscard]] bool hasRetriedMark(const AnswerMessage &answer)
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

/*! Puts the attempts of one call together: an answer counts most, then that it may have run. */
class DeliveryResult
{
public:
    void note(AnswerMessage answer)
    {
        if (answer.outcome == Outcome::Answered) {
            m_answer = std::move(answer);
        } else {
            note(Ending{answer.outcome, answer.reason});
        }
    }

    void note(const Ending &ending)
    {
        const bool hides
                = m_ending.outcome == Outcome::Unknown && ending.outcome == Outcome::NotRun;
        if (!hides) {
            m_ending = ending;
        }
    }

    [[nodiscard]] Result<AnswerMessage, Ending> take()
    {
        return m_answer ? Result<AnswerMessage, Ending>{std::move(*m_answer)}
                        : Result<AnswerMessage, Ending>{m_ending};
    }

private:
    std::optional<AnswerMessage> m_answer;
    Ending m_ending{Outcome::NotRun, Reason::NoServer};
};

} // namespace internal

Road::Road(const NodeSettings &settings, const RoadSurroundings &around,
           const Cell<Snapshot> &snapshot, const Cell<FleetView> &fleet, ContextTable &contexts,
           RoutingDesk &routing, AccountsDesk &accounts, PostOffice &post, MetricsRegistry &metrics)
    : m_settings{settings}, m_around{around}, m_snapshot{snapshot}, m_fleet{fleet},
      m_contexts{contexts}, m_routing{routing}, m_accounts{accounts}, m_post{post},
      m_metrics{metrics}, m_answered{metrics.counter("calls_total{outcome=\"answered\"}")},
      m_retries{metrics.counter("call_repeats_total")},
      m_crossed{metrics.counter("crossed_answers_total")}, m_latency{
                                                                   metrics.latency("call_seconds")}
{ }

HttpResponse Road::serve(const HttpRequest &request, Door door)
{
    const internal::RoadCounter counter{m_underWay};
    RoadCall call;
    call.door = door;
    call.startedAt = Clock::now();
    const auto result = travel(call, request);
    settle(call, result);
    auto response = answer(call, result);
    const auto taken = std::chrono::duration_cast<Micros>(Clock::now() - call.startedAt);
    m_latency.record(taken);
    if (door == Door::Inside) {
        m_contexts.endNested(call.contextToken, taken);
    }
    response.closeConnection = m_around.isLeaving() && door == Door::Outside;
    return response;
}

Result<AnswerMessage, Ending> Road::travel(RoadCall &call, const HttpRequest &request)
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

Road::Step Road::receive(RoadCall &call, const HttpRequest &request) const
{
    call.message.request = randomHex(internal::kRequestIdBytes);
    call.message.chain = call.message.request;
    if (!m_around.isReady(call.startedAt)) {
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
    if (const auto wanted = internal::wantedDeadline(request)) {
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
    message.headers = internal::forwardable(request.headers);
    message.body.data = request.body;
    message.latencyMs = static_cast<std::uint32_t>(call.workClass->latency.count());
    message.repeatSafe = call.workClass->repeat == RepeatSafety::Idempotent;
    return true;
}

Road::Step Road::identify(RoadCall &call, const HttpRequest &request) const
{
    const auto step = call.door == Door::Outside ? identifyOutside(call, request)
                                                 : identifyInside(call, request);
    if (!step) {
        return step.error();
    }
    call.message.digest = internal::digestOf(call.message.account, request);
    const bool quarantined = m_settings.mechanisms.quarantine
            && call.fleet->quarantined.count(call.message.digest) > 0;
    return quarantined ? Step{internal::notRun(Reason::Quarantined)} : Step{true};
}

Road::Step Road::identifyOutside(RoadCall &call, const HttpRequest &request) const
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
    const bool isStale = limit.count() > 0 && m_around.confirmedAgo(call.startedAt) > limit;
    if (isStale || m_around.doubtsKeys(call.startedAt)) {
        return internal::notRun(Reason::KeysStale);
    }
    call.message.account = call.account->name;
    call.message.keyId = key.substr(0, key.find('.'));
    return true;
}

Road::Step Road::identifyInside(RoadCall &call, const HttpRequest &request) const
{
    const auto token = request.header(kContextHeader);
    const auto context = m_contexts.find(token);
    if (!context) {
        return internal::notRun(token.empty() ? Reason::NoKey : Reason::BadKey);
    }
    if (context->depth + 1 >= internal::kMaxDepth) {
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

Road::Step Road::admit(RoadCall &call)
{
    if (call.deadline <= Clock::now()) {
        return internal::notRun(Reason::TooLate);
    }
    const bool charged
            = m_settings.mechanisms.rates && call.door == Door::Outside && call.account != nullptr;
    if (charged && !m_accounts.admit(*call.account, call.deadline)) {
        return internal::notRun(Reason::RateExceeded);
    }
    return true;
}

Result<std::optional<AnswerMessage>, Ending> Road::reserve(RoadCall &call)
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
        m_post.post(home, release);
    }
    if (state == ReservationState::Mismatch) {
        return internal::notRun(Reason::KeyReused);
    }
    if (state != ReservationState::Held) {
        return internal::notRun(Reason::LedgerUnreachable);
    }
    const auto &holder = *reservation.holder();
    if (holder.state != RecordState::Done || holder.status == 0) {
        return Ending{Outcome::Unknown, Reason::InProgress};
    }
    AnswerMessage replay;
    replay.request = holder.attempt;
    replay.outcome = Outcome::Answered;
    replay.status = holder.status;
    replay.headers = holder.headers;
    replay.headers.emplace_back(kReplayedHeader, holder.attempt);
    replay.body = holder.body;
    return std::optional{std::move(replay)};
}

ReservationState Road::collectVotes(const RoadCall &call, Reservation &reservation)
{
    auto ticket = m_votes.open();
    const auto key = call.message.account + "/" + call.idempotencyKey;
    for (const auto &home : reservation.homes()) {
        const ReserveMessage message{ticket.id(), key, call.message.digest, call.message.request};
        if (m_post.post(home, message, tokenFor(TokenKind::Vote, ticket.id())) == 0) {
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

Result<AnswerMessage, Ending> Road::deliver(RoadCall &call)
{
    internal::DeliveryResult best;
    std::vector<std::string> tried;
    m_routing.onFirstAttempt(call.message.service);
    for (int i = 0; i < internal::kMaxAttempts; ++i) {
        const auto now = Clock::now();
        if (now >= call.deadline) {
            best.note(internal::notRun(Reason::TooLate));
            break;
        }
        call.message.mayQueue = i >= internal::kAttemptsBeforeQueueing;
        if (call.message.mayQueue) {
            tried.clear(); // those that were busy may keep it now
        }
        auto server = m_routing.pick(*call.snapshot, *call.fleet, call.message.service, tried, now);
        if (server.empty() && !tried.empty() && !call.message.mayQueue) {
            i = internal::kAttemptsBeforeQueueing - 1;
            continue;
        }
        if (server.empty()) {
            break;
        }
        call.message.retry = i > 0;
        auto answer = attempt(call, server);
        const bool again = mayTryAgain(call, answer);
        best.note(std::move(answer));
        if (!again) {
            break;
        }
        tried.push_back(server);
        call.fleet = m_fleet.get();
    }
    return best.take();
}

AnswerMessage Road::attempt(RoadCall &call, const std::string &server)
{
    auto ticket = m_calls.open();
    auto &message = call.message;
    message.id = ticket.id();
    const auto left = millisBetween(Clock::now(), call.deadline).count();
    message.remainingMs = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
    const auto link = m_post.post(server, message, tokenFor(TokenKind::Call, message.id));
    if (link == 0) {
        m_routing.onSilence(server, Clock::now());
        return internal::failedAnswer(message, Outcome::NotRun, Reason::Unreachable);
    }
    ticket.tag(link);
    auto answer = ticket.wait(call.deadline);
    if (!answer) {
        m_post.post(server, CancelMessage{message.id});
        answer = ticket.wait(Clock::now() + internal::kLastWord);
    }
    const auto now = Clock::now();
    if (!answer) {
        m_routing.onSilence(server, now);
        return internal::failedAnswer(message, Outcome::Unknown, Reason::NoAnswer);
    }
    const bool isOwn = answer->request.empty(); // made here; peers' answers always name a request
    const bool whole = answer->request == message.request
            && answer->bodyHash == stableHash(answer->body.data);
    if (!isOwn && !whole) {
        m_crossed.add();
        m_routing.onSilence(server, now);
        return internal::failedAnswer(message, Outcome::Unknown, Reason::BadAnswer);
    }
    m_routing.onAnswer(server, *answer, now);
    return std::move(*answer);
}

bool Road::mayTryAgain(RoadCall &call, const AnswerMessage &answer)
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
    const bool below = internal::hasRetriedMark(answer);
    if (!m_settings.mechanisms.retryBudget) {
        return call.message.repeatSafe && Clock::now() < call.deadline;
    }
    const bool dealtWith = std::exchange(call.retried, true);
    if (dealtWith || below || !call.message.repeatSafe || Clock::now() >= call.deadline) {
        return false;
    }
    const auto fleet = m_fleet.get();
    const bool isSuspect
            = answer.reason == Reason::ServerLost || fleet->suspect.count(call.message.digest) > 0;
    if (isSuspect || !m_routing.mayRepeat(call.message.service)) {
        return false;
    }
    m_retries.add();
    return true;
}

void Road::settle(const RoadCall &call, const Result<AnswerMessage, Ending> &result)
{
    const bool failed = !result || result.value().status >= internal::kHttpBadGateway;
    if (call.door == Door::Inside && failed) {
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
        return; // the reservation stays: the call may have run
    }
    for (const auto &home : call.ledgerHomes) {
        m_post.post(home, complete);
    }
}

HttpResponse Road::answer(const RoadCall &call, const Result<AnswerMessage, Ending> &result)
{
    if (!result) {
        return ownAnswer(call, result.error());
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

HttpResponse Road::ownAnswer(const RoadCall &call, const Ending &ending)
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

void Road::onAnswer(AnswerMessage answer)
{
    const auto id = answer.id;
    m_calls.complete(id, std::move(answer));
}

void Road::onVote(VoteMessage vote)
{
    const auto id = vote.id;
    m_votes.complete(id, std::move(vote));
}

void Road::onCallUnsent(std::uint64_t id)
{
    m_calls.complete(id, internal::failedAnswer({}, Outcome::NotRun, Reason::Unreachable));
}

void Road::onVoteUnsent(std::uint64_t id, const std::string &home)
{
    m_votes.complete(id, VoteMessage{0, home, Vote::Abstained, {}});
}

void Road::onLinkLost(LinkId link)
{
    m_calls.completeTagged(link, internal::failedAnswer({}, Outcome::Unknown, Reason::PeerLost));
}

} // namespace celeryramp
