#include "gate/gate.h"

#include <algorithm>

namespace celeryramp {

namespace internal {

constexpr int kNestedPart = 4; /*!< One in so many of the limit is kept for nested calls. */

} // namespace internal

Gate::Gate(std::string server, int slots, std::size_t queueCapacity, Mechanisms mechanisms)
    : m_server{std::move(server)},
      m_mechanisms{mechanisms}, m_slots{slots}, m_ramp{slots, mechanisms.ramp},
      m_nested{queueCapacity, mechanisms.fairness}, m_outside{queueCapacity, mechanisms.fairness}
{ }

std::vector<Refusal> Gate::offer(QueuedCall call, const GateSurroundings &around, TimePoint now)
{
    std::vector<Refusal> refusals;
    ++m_counters.offered;
    auto reason = m_draining ? Reason::Draining : obstacle(call, around, now);
    const auto active = m_running - around.waiting;
    const bool busy
            = !canMeetDeadline(call, now) || mustWait(call, active) || isStandstill(call, active);
    if (reason == Reason::None && busy) {
        reason = Reason::Busy;
    }
    if (reason != Reason::None) {
        refusals.push_back({std::move(call), reason});
    } else if (auto loser = (call.call.depth > 0 ? m_nested : m_outside).push(std::move(call))) {
        refusals.push_back({std::move(*loser), Reason::QueueFull});
    }
    m_counters.refused += refusals.size();
    return refusals;
}

std::optional<QueuedCall> Gate::next(const GateSurroundings &around, TimePoint now,
                                     std::vector<Refusal> &refusals)
{
    for (auto *queue : {&m_nested, &m_outside}) {
        for (auto &overdue : queue->takeOverdue(now)) {
            refusals.push_back({std::move(overdue), Reason::TooLate});
            ++m_counters.refused;
        }
    }
    const auto active = m_running - around.waiting;
    while (m_running < m_slots && active < m_ramp.limit()) {
        auto call = popNext(active);
        if (!call) {
            return std::nullopt;
        }
        const auto reason = obstacle(*call, around, now);
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

void Gate::serverLost(TimePoint now)
{
    m_ramp.reset(now);
}

GateLoad Gate::load() const noexcept
{
    return {static_cast<std::uint32_t>(m_running), static_cast<std::uint32_t>(waiting()),
            static_cast<std::uint32_t>(m_ramp.limit())};
}

Reason Gate::obstacle(const QueuedCall &call, const GateSurroundings &around, TimePoint now) const
{
    if (around.snapshot == nullptr) {
        return Reason::NotReady;
    }
    if (call.deadline <= now) {
        return Reason::TooLate;
    }
    if (around.leaving && m_mechanisms.leaving) {
        return Reason::Draining;
    }
    const auto *server = around.snapshot->findServer(m_server);
    if (server == nullptr || server->service != call.call.service) {
        return Reason::NoServer;
    }
    if (m_mechanisms.zones && !around.snapshot->isZoneInService(server->zone)) {
        return Reason::ZoneOutOfService;
    }
    if (m_mechanisms.keys && !call.call.keyId.empty()
        && !around.snapshot->isKeyGranted(call.call.keyId, call.call.account)) {
        return Reason::BadKey;
    }
    if (m_mechanisms.quarantine && around.quarantined != nullptr
        && around.quarantined->count(call.call.digest) > 0) {
        return Reason::Quarantined;
    }
    return Reason::None;
}

std::optional<QueuedCall> Gate::popNext(int active)
{
    if (auto call = m_nested.pop()) {
        return call;
    }
    return active < outsideLimit() ? m_outside.pop() : std::nullopt;
}

int Gate::outsideLimit() const noexcept
{
    return m_ramp.limit() - m_ramp.limit() / internal::kNestedPart;
}

bool Gate::mustWait(const QueuedCall &call, int active) const noexcept
{
    const auto room = call.call.depth > 0 ? m_ramp.limit() : outsideLimit();
    const auto queued = static_cast<int>(waiting());
    const bool full = active + queued >= room || m_running + queued >= m_slots;
    return !call.call.mayQueue && full;
}

bool Gate::isStandstill(const QueuedCall &call, int active) const noexcept
{
    return call.call.depth > 0 && active <= 0 && m_running >= m_slots;
}

bool Gate::canMeetDeadline(const QueuedCall &call, TimePoint now) const
{
    const auto ahead = static_cast<int>(waiting()) + m_running;
    const auto wait = m_ramp.baseline() * ahead / std::max(1, m_ramp.limit());
    return now + wait < call.deadline;
}

} // namespace celeryramp
