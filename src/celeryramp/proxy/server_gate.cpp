#include "proxy/server_gate.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::proxy {

namespace internal {

/*! Weight of the newest time at the server in the smoothed one; about the last 10 answers. */
constexpr double kServiceWeight = 0.1;
/*! Weight of the newest end in the share of failures; about the last 12. */
constexpr double kBadWeight = 0.08;
/*! Failures fade over this time, so that a server that was bad is tried again. */
constexpr double kBadMemorySeconds = 3.0;
/*! A call given up after this many times the smoothed time counts as failed by the server. */
constexpr double kHungFactor = 3.0;
/*! Time over which the use of the server by calls in time is measured; a few calls long. */
constexpr double kUseSeconds = 1.0;
/*! Least part of the server that late calls are expected to get. */
constexpr double kLeastGap = 0.02;
/*! Part of the smoothed time at the server that a call needs at least; half of the calls of a
 *  usual spread take less than 0.8 of the mean. */
constexpr double kQuickShare = 0.5;

} // namespace internal

void ServerGate::setServer(int slots, double coldPerSecond)
{
    m_slots = std::max(1, slots);
    m_coldPerSecond = coldPerSecond;
}

bool ServerGate::isLate(const GateCall &call, TimePoint now) const
{
    // The sender of a nested call is late only when its own deadline is near.
    return now + quickMillis() > (call.isNested ? call.deadline : call.target);
}

Millis ServerGate::quickMillis() const
{
    return Millis{std::lround(m_serviceMillis * internal::kQuickShare)};
}

TimePoint ServerGate::latestStart(const GateCall &call) const
{
    return (call.mayBeLate ? call.deadline : call.target) - quickMillis();
}

bool ServerGate::goesBefore(const GateCall &a, const GateCall &b, TimePoint now) const
{
    if (a.isNested != b.isNested) {
        return a.isNested;
    }
    if (const bool isLateA = isLate(a, now); isLateA != isLate(b, now)) {
        return !isLateA;
    }
    if (a.rank != b.rank) {
        return a.rank < b.rank;
    }
    return a.target < b.target;
}

Millis ServerGate::estimateWait(std::size_t ahead, bool isLateCall, TimePoint now)
{
    double millis = 0.0;
    const int free = std::max(0, m_slots - m_running);
    if (ahead >= static_cast<std::size_t>(free)) {
        millis = static_cast<double>(ahead - static_cast<std::size_t>(free) + 1) * m_serviceMillis
                / m_slots;
        if (isLateCall) {
            // Late calls only get what calls in time leave.
            millis /= std::max(internal::kLeastGap, 1.0 - useInTime(now));
        }
    }
    if (const int left = m_cold.left(m_coldPerSecond, now);
        left >= 0 && ahead >= static_cast<std::size_t>(left)) {
        const auto beyond = static_cast<double>(ahead - static_cast<std::size_t>(left) + 1);
        millis = std::max(millis, beyond * 1000.0 / m_coldPerSecond);
    }
    return Millis{std::lround(millis)};
}

Reason ServerGate::offer(const GateCall &call, TimePoint now)
{
    if (m_closed != Reason::None) {
        return m_closed;
    }
    const auto ahead = static_cast<std::size_t>(
            std::count_if(m_waiting.begin(), m_waiting.end(),
                          [&](const GateCall &other) { return !goesBefore(call, other, now); }));
    const auto wait = estimateWait(ahead, isLate(call, now), now);
    if (wait.count() > 0 && now + wait > latestStart(call)) {
        return Reason::Busy;
    }
    if (now >= call.deadline) {
        return Reason::DeadlinePassed;
    }
    m_waiting.push_back(call);
    return Reason::None;
}

std::optional<std::uint64_t> ServerGate::next(TimePoint now)
{
    if (m_closed != Reason::None || m_waiting.empty() || m_running >= m_slots
        || m_cold.left(m_coldPerSecond, now) == 0) {
        return std::nullopt;
    }
    const auto it = std::min_element(
            m_waiting.begin(), m_waiting.end(),
            [&](const GateCall &a, const GateCall &b) { return goesBefore(a, b, now); });
    const auto ticket = it->ticket;
    if (!isLate(*it, now)) {
        m_useInTime = useInTime(now) + m_serviceMillis / 1000.0 / m_slots / internal::kUseSeconds;
        m_usedAt = now;
    }
    m_waiting.erase(it);
    ++m_running;
    m_cold.onHandedOver(m_coldPerSecond, now);
    return ticket;
}

std::vector<GateRefusal> ServerGate::expire(TimePoint now)
{
    std::vector<GateRefusal> refusals;
    if (m_closed != Reason::None) {
        for (const auto &call : m_waiting) {
            refusals.push_back({call.ticket, m_closed});
        }
        m_waiting.clear();
        return refusals;
    }
    std::sort(m_waiting.begin(), m_waiting.end(),
              [&](const GateCall &a, const GateCall &b) { return goesBefore(a, b, now); });
    std::vector<GateCall> kept;
    for (const auto &call : m_waiting) {
        if (now + estimateWait(kept.size(), isLate(call, now), now) > latestStart(call)) {
            refusals.push_back({call.ticket, Reason::Busy});
        } else {
            kept.push_back(call);
        }
    }
    m_waiting = std::move(kept);
    return refusals;
}

double ServerGate::useInTime(TimePoint now) const
{
    return m_useInTime * std::exp(-secondsBetween(m_usedAt, now) / internal::kUseSeconds);
}

void ServerGate::finished(HandoverEnd end, Micros spent, TimePoint now)
{
    m_running = std::max(0, m_running - 1);
    const double millis = static_cast<double>(spent.count()) / 1000.0;
    const bool isHung
            = end == HandoverEnd::Cancelled && millis > m_serviceMillis * internal::kHungFactor;
    if (end == HandoverEnd::Served
        || (end == HandoverEnd::Cancelled && !isHung && millis > m_serviceMillis)) {
        m_serviceMillis += internal::kServiceWeight * (millis - m_serviceMillis);
    }
    if (end == HandoverEnd::NotSent || (end == HandoverEnd::Cancelled && !isHung)) {
        return;
    }
    const double bad = end == HandoverEnd::Failed || isHung ? 1.0 : 0.0;
    m_badShare = badShare(now) + internal::kBadWeight * (bad - badShare(now));
    m_badAt = now;
}

double ServerGate::badShare(TimePoint now) const
{
    return m_badShare * std::exp(-secondsBetween(m_badAt, now) / internal::kBadMemorySeconds);
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

int ServerGate::coldWait(TimePoint now)
{
    const int left = m_cold.left(m_coldPerSecond, now);
    if (left < 0) {
        return -1;
    }
    const int beyond = static_cast<int>(m_waiting.size()) + 1 - left;
    return beyond <= 0 ? 0 : static_cast<int>(std::lround(beyond * 1000.0 / m_coldPerSecond));
}

GateLoad ServerGate::load(TimePoint now)
{
    return {m_running,     static_cast<int>(m_waiting.size()),
            m_slots,       static_cast<int>(std::lround(m_serviceMillis)),
            coldWait(now), static_cast<int>(std::lround(badShare(now) * 100.0))};
}

} // namespace celeryramp::proxy
