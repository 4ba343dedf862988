#include "proxy/server_gate.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace celeryramp::proxy {

namespace internal {

/*! Weight of the newest sample in the average service time, which covers about 10 answers. */
constexpr double kServiceWeight = 0.1;
/*! Weight of the newest sample in the share of failures, which covers about 12 calls. */
constexpr double kFailureWeight = 0.08;
/*! Time constant of the decay of the share of failures, so that a failing server is retried. */
constexpr double kFailureDecaySeconds = 3.0;
/*! A call cancelled after this multiple of the average service time counts as failed. */
constexpr double kHungFactor = 3.0;
/*! Time constant of the rates at which calls start; a few service times long. */
constexpr double kStartRateSeconds = 1.0;
/*! Minimum share of the server's capacity that the last calls in the order are assumed to get. */
constexpr double kMinShare = 0.02;
/*! Factor on the estimated wait of a new call. Without it, half of the calls at the limit would be
 *  refused only after they have waited. */
constexpr double kAdmissionMargin = 1.3;
/*! Places in the order of service. */
constexpr int kNestedClass = 0;
constexpr int kTimelyClass = 1;
constexpr int kLateClass = 2;
/*! Shares of the calls of a route that end within the minimum and the likely service time. */
constexpr double kMinServiceShare = 0.2;
constexpr double kLikelyServiceShare = 0.75;
/*! Longest wait of a new call as a part of the time that it can spare before its target. */
constexpr double kSpareShare = 0.5;
/*! Time without a refusal of a call that could meet its target after which the overload is over. */
constexpr Millis kOverloadGap{250};
/*! Time for which such refusals go on before late calls are not admitted. A burst that ends sooner
 *  leaves room for late answers behind it. */
constexpr Millis kOverloadOnset{200};

} // namespace internal

void ServerGate::setServer(int slots, double coldPerSecond)
{
    m_slots = std::max(1, slots);
    m_coldPerSecond = coldPerSecond;
}

bool ServerGate::isLate(const GateCall &call, TimePoint now) const
{
    // A nested call counts as late only near its deadline, when the request that it serves is late.
    return now + minServiceTime(call) > (call.isNested ? call.deadline : call.target);
}

Millis ServerGate::minServiceTime(const GateCall &call) const
{
    return m_serviceTimes.quantile(call.route, internal::kMinServiceShare,
                                   Millis{std::lround(m_serviceMillis / 2.0)});
}

Millis ServerGate::likelyServiceTime(const GateCall &call) const
{
    return m_serviceTimes.quantile(call.route, internal::kLikelyServiceShare,
                                   Millis{std::lround(m_serviceMillis)});
}

TimePoint ServerGate::latestStart(const GateCall &call) const
{
    const bool mayBeLate = call.mayBeLate || call.isNested;
    return (mayBeLate ? call.deadline : call.target) - minServiceTime(call);
}

Millis ServerGate::longestWait(const GateCall &call, TimePoint now) const
{
    const auto linkWait = call.linkBytes > 0 ? m_link.wait(now) : Millis{0};
    const auto transfer = m_link.transfer(call.linkBytes);
    const auto spare = millisBetween(now, call.target) - likelyServiceTime(call) - transfer;
    const auto shortWait = std::chrono::duration_cast<Millis>(spare * internal::kSpareShare);
    const bool hasTarget = call.target < call.deadline;
    if (!call.isNested && hasTarget && linkWait > std::max(transfer, shortWait)) {
        // A link sends in order, so late answers on it would make those behind them late as well.
        return Millis{-1};
    }
    const bool isLateWork = !call.isNested && isLate(call, now);
    if (call.isNested || isLateWork || !hasTarget || (call.mayBeLate && !isOverloaded(now))) {
        return millisBetween(now, latestStart(call)) - linkWait - transfer;
    }
    return shortWait - linkWait;
}

bool ServerGate::isOverloaded(TimePoint now) const
{
    return millisBetween(m_timelyRefusedAt, now) <= internal::kOverloadGap
            && millisBetween(m_overloadSince, m_timelyRefusedAt) >= internal::kOverloadOnset;
}

void ServerGate::onTimelyRefused(TimePoint now)
{
    if (millisBetween(m_timelyRefusedAt, now) > internal::kOverloadGap) {
        m_overloadSince = now;
    }
    m_timelyRefusedAt = now;
}

ServerGate::Precedence ServerGate::precedence(const GateCall &call, TimePoint now) const
{
    const int place = isLate(call, now) ? internal::kLateClass : internal::kTimelyClass;
    return {call.isNested ? internal::kNestedClass : place, call.rank};
}

bool ServerGate::precedes(const GateCall &a, const GateCall &b, TimePoint now) const
{
    if (a.isNested && b.isNested) {
        return std::make_tuple(isLate(a, now), a.rank, a.target)
                < std::make_tuple(isLate(b, now), b.rank, b.target);
    }
    return std::make_tuple(precedence(a, now), a.target)
            < std::make_tuple(precedence(b, now), b.target);
}

Millis ServerGate::estimateWait(std::size_t ahead, const GateCall &call, TimePoint now)
{
    double millis = 0.0;
    const double preceding = precedingRate(call, now);
    const auto shareLeft = [preceding](double capacity) {
        return std::max(internal::kMinShare, 1.0 - preceding / capacity);
    };
    const int slots = call.isNested ? m_slots : concurrency(now);
    const int free = std::max(0, slots - m_running);
    if (ahead >= static_cast<std::size_t>(free)) {
        const double perSecond = slots * 1000.0 / std::max(1.0, m_serviceMillis);
        const auto excess = static_cast<double>(ahead - static_cast<std::size_t>(free) + 1);
        millis = excess * 1000.0 / perSecond / shareLeft(perSecond);
    }
    for (const auto &[available, perSecond] : allowances(now)) {
        if (available >= 0 && ahead >= static_cast<std::size_t>(available)) {
            const auto excess
                    = static_cast<double>(ahead - static_cast<std::size_t>(available) + 1);
            millis = std::max(millis, excess * 1000.0 / perSecond / shareLeft(perSecond));
        }
    }
    return Millis{std::lround(millis)};
}

Reason ServerGate::offer(const GateCall &call, TimePoint now)
{
    if (m_closedReason != Reason::None) {
        return m_closedReason;
    }
    if (now >= call.deadline) {
        return Reason::DeadlinePassed;
    }
    const bool isTimely = !call.isNested && !isLate(call, now);
    if (!call.isNested && !isTimely && isOverloaded(now)) {
        return Reason::Busy;
    }
    const auto ahead = static_cast<std::size_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(),
                          [&](const GateCall &other) { return !precedes(call, other, now); }));
    const auto wait = std::chrono::duration_cast<Millis>(estimateWait(ahead, call, now)
                                                         * internal::kAdmissionMargin);
    // A free slot is used for any call that may meet its target. What the server needs is learnt
    // from the calls that it gets, so refusing all of them would keep an outdated estimate.
    const bool isLinkIdle = call.linkBytes == 0 || m_link.wait(now).count() == 0;
    const bool startsAtOnce = isTimely && wait.count() == 0 && isLinkIdle;
    if (!startsAtOnce && wait > longestWait(call, now)) {
        if (isTimely) {
            onTimelyRefused(now);
        }
        return Reason::Busy;
    }
    m_waiting.push_back(call);
    return Reason::None;
}

std::optional<std::uint64_t> ServerGate::next(TimePoint now)
{
    if (m_closedReason != Reason::None || m_waiting.empty() || m_running >= m_slots
        || m_cold.available(m_coldPerSecond, now) == 0 || m_rate.available(now) == 0) {
        return std::nullopt;
    }
    const auto it = std::min_element(
            m_waiting.begin(), m_waiting.end(),
            [&](const GateCall &a, const GateCall &b) { return precedes(a, b, now); });
    if (!it->isNested && m_running >= concurrency(now)) {
        return std::nullopt;
    }
    const auto ticket = it->ticket;
    auto &rate = m_startRates[precedence(*it, now)];
    rate = {rateAt(rate, now) + 1.0 / internal::kStartRateSeconds, now};
    m_link.reserve(it->linkBytes, now);
    m_waiting.erase(it);
    ++m_running;
    m_cold.onHandedOver(m_coldPerSecond, now);
    m_rate.onHandedOver(now);
    return ticket;
}

std::vector<GateRefusal> ServerGate::expire(TimePoint now)
{
    std::vector<GateRefusal> refusals;
    if (m_closedReason != Reason::None) {
        for (const auto &call : m_waiting) {
            refusals.push_back({call.ticket, m_closedReason});
        }
        m_waiting.clear();
        return refusals;
    }
    std::sort(m_waiting.begin(), m_waiting.end(),
              [&](const GateCall &a, const GateCall &b) { return precedes(a, b, now); });
    std::vector<GateCall> remaining;
    for (const auto &call : m_waiting) {
        const bool isUnwanted = !call.isNested && isOverloaded(now) && isLate(call, now);
        if (isUnwanted || now + estimateWait(remaining.size(), call, now) > latestStart(call)) {
            refusals.push_back({call.ticket, Reason::Busy});
        } else {
            remaining.push_back(call);
        }
    }
    m_waiting = std::move(remaining);
    return refusals;
}

double ServerGate::rateAt(const StartRate &rate, TimePoint now)
{
    return rate.perSecond * std::exp(-secondsBetween(rate.at, now) / internal::kStartRateSeconds);
}

double ServerGate::precedingRate(const GateCall &call, TimePoint now) const
{
    double sum = 0.0;
    const auto last = m_startRates.lower_bound(precedence(call, now));
    for (auto it = m_startRates.begin(); it != last; ++it) {
        sum += rateAt(it->second, now);
    }
    return sum;
}

void ServerGate::finished(HandoverOutcome outcome, Micros spent, TimePoint now, std::uint32_t route,
                          Micros onCalls)
{
    if (outcome == HandoverOutcome::Served) {
        m_concurrency->onAnswer({route, m_running, std::max(Micros{0}, spent - onCalls)}, now);
    }
    m_running = std::max(0, m_running - 1);
    const double millis = static_cast<double>(spent.count()) / 1000.0;
    const bool isHung = outcome == HandoverOutcome::Cancelled
            && millis > m_serviceMillis * internal::kHungFactor;
    if (outcome == HandoverOutcome::Served
        || (outcome == HandoverOutcome::Cancelled && !isHung && millis > m_serviceMillis)) {
        m_serviceMillis += internal::kServiceWeight * (millis - m_serviceMillis);
        m_serviceTimes.record(route, spent);
    }
    if (outcome == HandoverOutcome::NotSent || (outcome == HandoverOutcome::Cancelled && !isHung)) {
        return;
    }
    const double failure = outcome == HandoverOutcome::Failed || isHung ? 1.0 : 0.0;
    m_failureShare = failureShare(now) + internal::kFailureWeight * (failure - failureShare(now));
    m_failureShareAt = now;
}

double ServerGate::failureShare(TimePoint now) const
{
    return m_failureShare
            * std::exp(-secondsBetween(m_failureShareAt, now) / internal::kFailureDecaySeconds);
}

bool ServerGate::cancel(std::uint64_t ticket)
{
    const auto it = std::find_if(m_waiting.begin(), m_waiting.end(),
                                 [ticket](const GateCall &call) { return call.ticket == ticket; });
    if (it == m_waiting.end()) {
        return false;
    }
    m_waiting.erase(it);
    return true;
}

std::array<ServerGate::Allowance, 2> ServerGate::allowances(TimePoint now)
{
    return {Allowance{m_cold.available(m_coldPerSecond, now), m_coldPerSecond},
            Allowance{m_rate.available(now), m_rate.enforcedRate()}};
}

int ServerGate::estimateRateWaitMillis(TimePoint now)
{
    int millis = -1;
    for (const auto &[available, perSecond] : allowances(now)) {
        if (available >= 0) {
            const int excess = std::max(0, static_cast<int>(m_waiting.size()) + 1 - available);
            millis = std::max(millis, static_cast<int>(std::lround(excess * 1000.0 / perSecond)));
        }
    }
    return millis;
}

GateLoad ServerGate::load(TimePoint now)
{
    return {m_running,
            static_cast<int>(m_waiting.size()),
            m_slots,
            static_cast<int>(std::lround(m_serviceMillis)),
            estimateRateWaitMillis(now),
            static_cast<int>(std::lround(failureShare(now) * 100.0)),
            m_rate.perSecond(),
            false,
            static_cast<int>(m_link.wait(now).count()),
            isOverloaded(now),
            m_coldPerSecond > 0.0 ? static_cast<int>(m_cold.remaining(now).count()) : 0};
}

} // namespace celeryramp::proxy
