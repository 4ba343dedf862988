#include "gate/gate.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

constexpr int kNestedLimitDivisor = 4; // This fraction of the limit is reserved for nested calls.

} // namespace internal

Gate::Gate(std::string server, int slots, std::size_t queueCapacity, Mechanisms mechanisms)
    : m_server{std::move(server)},
      m_mechanisms{mechanisms}, m_slots{slots}, m_ramp{slots, mechanisms.ramp},
      m_nested{queueCapacity, mechanisms.fairness}, m_outside{queueCapacity, mechanisms.fairness}
{ }

std::vector<Refusal> Gate::offer(QueuedCall call, const GateInputs &inputs, TimePoint now)
{
    std::vector<Refusal> refusals;
    ++m_counters.offered;
    auto reason = m_draining ? Reason::Draining : refusalReason(call, inputs, now);
    const auto activeCalls = m_running - inputs.waiting;
    const bool isBusy = !canMeetDeadline(call, now) || mustTryOtherGate(call, activeCalls)
            || wouldDeadlock(call, activeCalls);
    if (reason == Reason::None && isBusy) {
        reason = Reason::Busy;
    }
    if (reason != Reason::None) {
        refusals.push_back({std::move(call), reason});
    } else if (auto evicted = (call.call.depth > 0 ? m_nested : m_outside).push(std::move(call))) {
        refusals.push_back({std::move(*evicted), Reason::QueueFull});
    }
    m_counters.refused += refusals.size();
    return refusals;
}

std::optional<QueuedCall> Gate::next(const GateInputs &inputs, TimePoint now,
                                     std::vector<Refusal> &refusals)
{
    for (auto *queue : {&m_nested, &m_outside}) {
        for (auto &overdue : queue->removeOverdue(now)) {
            refusals.push_back({std::move(overdue), Reason::TooLate});
            ++m_counters.refused;
        }
    }
    const auto activeCalls = m_running - inputs.waiting;
    while (m_running < m_slots && activeCalls < m_ramp.limit()) {
        auto call = popNext(activeCalls);
        if (!call) {
            return std::nullopt;
        }
        const auto reason = refusalReason(*call, inputs, now);
        if (reason == Reason::None) {
            ++m_running;
            ++m_counters.started;
            return call;
        }
        refusals.push_back({std::move(*call), reason});
        ++m_counters.refused;
    }
    return std::nullopt;
}

void Gate::finished(Evidence evidence, Micros latency, int waiting, TimePoint now)
{
    m_ramp.onFinished(evidence, latency, m_running - waiting, now);
    m_running = std::max(0, m_running - 1);
}

std::optional<QueuedCall> Gate::cancel(std::uint64_t id, ReplyPath replyPath)
{
    auto call = m_nested.remove(id, replyPath);
    if (!call) {
        call = m_outside.remove(id, replyPath);
    }
    m_counters.cancelled += call ? 1 : 0;
    return call;
}

void Gate::resetConcurrencyLimit(TimePoint now)
{
    m_ramp.reset(now);
}

GateLoad Gate::load() const noexcept
{
    return {static_cast<std::uint32_t>(m_running), static_cast<std::uint32_t>(waiting()),
            static_cast<std::uint32_t>(m_ramp.limit())};
}

Reason Gate::refusalReason(const QueuedCall &call, const GateInputs &inputs, TimePoint now) const
{
    if (inputs.snapshot == nullptr) {
        return Reason::NotReady;
    }
    if (call.deadline <= now) {
        return Reason::TooLate;
    }
    if (inputs.leaving && m_mechanisms.leaving) {
        return Reason::Draining;
    }
    const auto *server = inputs.snapshot->findServer(m_server);
    if (server == nullptr || server->service != call.call.service) {
        return Reason::NoServer;
    }
    if (m_mechanisms.zones && !inputs.snapshot->isZoneInService(server->zone)) {
        return Reason::ZoneOutOfService;
    }
    if (m_mechanisms.keys && !call.call.keyId.empty()
        && !inputs.snapshot->isKeyGranted(call.call.keyId, call.call.account)) {
        return Reason::BadKey;
    }
    if (m_mechanisms.quarantine && inputs.quarantined != nullptr
        && inputs.quarantined->count(call.call.digest) > 0) {
        return Reason::Quarantined;
    }
    return Reason::None;
}

std::optional<QueuedCall> Gate::popNext(int activeCalls)
{
    if (auto call = m_nested.pop()) {
        return call;
    }
    return activeCalls < outsideLimit() ? m_outside.pop() : std::nullopt;
}

int Gate::outsideLimit() const noexcept
{
    return m_ramp.limit() - m_ramp.limit() / internal::kNestedLimitDivisor;
}

bool Gate::mustTryOtherGate(const QueuedCall &call, int activeCalls) const noexcept
{
    const auto limit = call.call.depth > 0 ? m_ramp.limit() : outsideLimit();
    const auto queued = static_cast<int>(waiting());
    const bool isFull = activeCalls + queued >= limit || m_running + queued >= m_slots;
    return !call.call.mayQueue && isFull;
}

bool Gate::wouldDeadlock(const QueuedCall &call, int activeCalls) const noexcept
{
    return call.call.depth > 0 && activeCalls <= 0 && m_running >= m_slots;
}

bool Gate::canMeetDeadline(const QueuedCall &call, TimePoint now) const
{
    const auto callsAhead = static_cast<int>(waiting()) + m_running;
    const auto wait = m_ramp.baseline() * callsAhead / std::max(1, m_ramp.limit());
    return now + wait < call.deadline;
}

} // namespace celeryramp
