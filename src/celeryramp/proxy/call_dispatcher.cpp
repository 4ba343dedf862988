#include "proxy/call_dispatcher.h"

#include <algorithm>

#include "admission/return_delay.h"

namespace celeryramp::proxy {

namespace internal {

/*! Gates that a call is offered to for an answer within its target. A refused offer costs a round
 *  trip but no execution. */
constexpr int kMaxOffers = 6;
/*! Offers after which a candidate is skipped if its last reported load rules out the target. */
constexpr int kOffersBeforeTrustingLoad = 2;
/*! Gates that a call is offered to for an answer after its target. */
constexpr int kMaxLateOffers = 4;
/*! Minimum time before the deadline at which another server is tried. */
constexpr Millis kMinTimeLeft{30};
/*! Minimum time before the deadline at which a server that hangs is left for another one. */
constexpr Millis kMinTimeToLeave{150};
/*! Bounds of the retry delay that refused callers are told. */
constexpr Millis kMinRetryAfter{50};
constexpr Millis kMaxRetryAfter{1000};
/*! Retry delay while a server has restarted and is not published yet. */
constexpr Millis kUnpublishedRetryAfter{500};
constexpr int kServerErrorStatus = 500;
constexpr int kBadGatewayStatus = 502;
constexpr int kUnavailableStatus = 503;
constexpr int kGatewayTimeoutStatus = 504;

/*! @return Time until the server may take another call, within the bounds: it works off the calls
 * beyond its slots, or is cold and takes few. */
[[nodiscard]] Millis retryDelay(Reason reason, const GateLoad &load)
{
    if (reason == Reason::WrongServer) {
        return kUnpublishedRetryAfter;
    }
    const int excess = load.running + load.waiting - load.slots;
    const int queue = excess > 0 && load.slots > 0 ? excess * load.serviceMillis / load.slots : 0;
    return std::clamp(Millis{std::max(queue, load.rateWaitMillis)}, kMinRetryAfter, kMaxRetryAfter);
}

} // namespace internal

CallStep CallDispatcher::begin(const DispatchContext &context, TimePoint now)
{
    return advance(context, now);
}

Choice CallDispatcher::choose(const DispatchContext &context, TimePoint now)
{
    const auto pool = context.servers.candidates(m_policy.service, m_triedServers, now);
    const auto left = millisBetween(now, m_allowsLate ? m_policy.deadline : m_policy.target);
    return context.picker.pick(pool,
                               {std::max(left, Millis{0}), m_policy.maySpill, m_policy.answerBytes,
                                m_sawBusy && !m_policy.isNested},
                               now);
}

CallStep CallDispatcher::advance(const DispatchContext &context, TimePoint now)
{
    Choice choice;
    if (!m_allowsLate && m_offers < internal::kMaxOffers) {
        choice = choose(context, now);
        const bool missesTarget = now + choice.likelyLatency > m_policy.target;
        if (m_sawBusy && m_offers >= internal::kOffersBeforeTrustingLoad && missesTarget) {
            choice = {};
        }
    }
    if (choice.server == nullptr && m_attempts == 0 && m_sawBusy
        && m_lateOffers < internal::kMaxLateOffers) {
        // No gate can meet the target. A late answer is still useful to the caller, so the gates
        // are offered the call again without the target.
        if (!m_allowsLate) {
            m_allowsLate = true;
            m_triedServers.clear();
        }
        ++m_lateOffers;
        choice = choose(context, now);
    }
    if (choice.server == nullptr) {
        if (m_lastReason == Reason::None) {
            m_lastReason = Reason::NoServer;
        }
        return giveUp(now);
    }
    ++m_offers;
    m_triedServers.insert(choice.server->id);
    m_pendingServer = choice.server->id;
    m_likelyLatency = choice.likelyLatency;
    context.picker.onSent(m_pendingServer);
    return OfferStep{choice.server, m_allowsLate};
}

CallStep CallDispatcher::onReply(const ReplyFrame &reply, const DispatchContext &context,
                                 TimePoint now)
{
    const bool isSuccess = reply.kind == ReplyKind::Answer
            ? reply.answer.status < internal::kServerErrorStatus
            : reply.kind == ReplyKind::NotRun && !reply.reachedServer
                    && reply.reason != Reason::Unreachable && reply.reason != Reason::WrongServer;
    context.picker.onReply(m_pendingServer, reply.load, isSuccess, now);
    m_pendingServer.clear();
    m_lastReason = reply.reason;
    m_sawBusy = m_sawBusy || reply.reason == Reason::Busy;
    if (reply.kind == ReplyKind::NotRun) {
        return onNotRun(reply, context, now);
    }
    ++m_attempts;
    m_mayHaveRun = true;
    if (!isSuccess && mayRepeat(context, now)) {
        return advance(context, now);
    }
    if (reply.kind == ReplyKind::Answer) {
        return AnswerStep{};
    }
    return giveUp(now);
}

CallStep CallDispatcher::onNotRun(const ReplyFrame &reply, const DispatchContext &context,
                                  TimePoint now)
{
    noteRefusal(reply);
    if (reply.reachedServer) {
        ++m_attempts;
        if (m_attempts >= m_policy.maxAttempts || !context.retries.trySpend(m_policy.service)) {
            return giveUp(now);
        }
    }
    if (millisBetween(now, m_policy.deadline) < internal::kMinTimeLeft) {
        return giveUp(now);
    }
    return advance(context, now);
}

bool CallDispatcher::mayRepeat(const DispatchContext &context, TimePoint now) const
{
    return m_policy.mayRepeat && m_attempts < m_policy.maxAttempts
            && millisBetween(now, m_policy.deadline) >= internal::kMinTimeLeft
            && context.retries.trySpend(m_policy.service);
}

bool CallDispatcher::canLeaveServer(const DispatchContext &context, TimePoint now) const
{
    const auto pool = context.servers.candidates(m_policy.service, m_triedServers, now);
    const bool hasOther = std::any_of(pool.begin(), pool.end(), [](const Candidate &candidate) {
        return !candidate.isExcluded;
    });
    return hasOther && m_policy.mayRepeat && m_attempts + 1 < m_policy.maxAttempts
            && m_offers < internal::kMaxOffers && !m_allowsLate
            && millisBetween(now, m_policy.deadline) >= internal::kMinTimeToLeave
            && context.retries.canSpend(m_policy.service);
}

GiveUpStep CallDispatcher::onTimeout(const DispatchContext &context, TimePoint now)
{
    m_mayHaveRun = m_mayHaveRun || !m_pendingServer.empty();
    if (!m_pendingServer.empty()) {
        context.picker.onNoReply(m_pendingServer, now);
        m_pendingServer.clear();
    }
    m_lastReason = Reason::TimedOut;
    return giveUp(now);
}

GiveUpStep CallDispatcher::onShutdown(const DispatchContext &context, TimePoint now)
{
    m_mayHaveRun = m_mayHaveRun || !m_pendingServer.empty();
    onCallerLeft(context);
    m_lastReason = Reason::Draining;
    return giveUp(now);
}

void CallDispatcher::onCallerLeft(const DispatchContext &context)
{
    if (!m_pendingServer.empty()) {
        context.picker.onAbandoned(m_pendingServer);
        m_pendingServer.clear();
    }
}

void CallDispatcher::noteRefusal(const ReplyFrame &reply)
{
    const auto delay = internal::retryDelay(reply.reason, reply.load);
    m_retryAfter = m_retryAfter.count() == 0 ? delay : std::min(m_retryAfter, delay);
    if (reply.reason != Reason::Busy || reply.load.coldMillis == 0) {
        m_areAllCold = false;
        return;
    }
    const Millis warmIn{reply.load.coldMillis};
    m_warmIn = m_warmIn.count() == 0 ? warmIn : std::min(m_warmIn, warmIn);
}

GiveUpStep CallDispatcher::giveUp(TimePoint now) const
{
    if (m_lastReason == Reason::TimedOut) {
        return {internal::kGatewayTimeoutStatus, m_lastReason, std::nullopt};
    }
    if (m_mayHaveRun && m_policy.reportsUnknown) {
        return {internal::kBadGatewayStatus, m_lastReason, std::nullopt};
    }
    admission::RefusalState refusal;
    refusal.callerTimeLeft
            = millisBetween(now, m_policy.callerDeadline.value_or(m_policy.deadline));
    refusal.queueDelay = m_retryAfter;
    refusal.isQueueFull = m_lastReason == Reason::Busy;
    refusal.isUnreachable = m_offers == 0;
    if (m_areAllCold && m_warmIn.count() > 0) {
        refusal.warmIn = m_warmIn;
    }
    refusal.jitter = m_policy.jitter;
    return {internal::kUnavailableStatus, m_lastReason, admission::returnDelay(refusal)};
}

} // namespace celeryramp::proxy
