#include "gate/gate.h"

#include <algorithm>

namespace celeryramp {

Gate::Gate(std::string server, int slots, std::size_t queueCapacity)
    : m_server{std::move(server)}, m_ramp{slots}, m_queue{queueCapacity}
{
}

std::vector<Refusal> Gate::offer(QueuedCall call, const GateSurroundings &around, TimePoint now)
{
    std::vector<Refusal> refusals;
    ++m_counters.offered;
    auto reason = m_draining ? Reason::Draining : obstacle(call, around, now);
    if (reason == Reason::None && !canMeetDeadline(call, now)) {
        reason = Reason::Busy;
    }
    if (reason != Reason::None) {
        refusals.push_back({std::move(call), reason});
    } else if (auto loser = m_queue.push(std::move(call))) {
        refusals.push_back({std::move(*loser), Reason::QueueFull});
    }
    m_counters.refused += refusals.size();
    return refusals;
}

std::optional<QueuedCall> Gate::next(const GateSurroundings &around, TimePoint now,
                                     std::vector<Refusal> &refusals)
{
    for (auto &overdue : m_queue.takeOverdue(now)) {
        refusals.push_back({std::move(overdue), Reason::TooLate});
        ++m_counters.refused;
    }
    while (m_running < m_ramp.limit()) {
        auto call = m_queue.pop();
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

void Gate::finished(const QueuedCall & /*call*/, Evidence evidence, Micros latency, TimePoint now)
{
    m_ramp.onFinished(evidence, latency, m_running, now);
    m_running = std::max(0, m_running - 1);
}

std::optional<QueuedCall> Gate::cancel(std::uint64_t id, ReplyPath replyPath)
{
    auto call = m_queue.remove(id, replyPath);
    m_counters.cancelled += call ? 1 : 0;
    return call;
}

void Gate::serverLost(TimePoint now)
{
    m_ramp.reset(now);
}

GateLoad Gate::load() const noexcept
{
    return {static_cast<std::uint32_t>(m_running), static_cast<std::uint32_t>(m_queue.size()),
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
    if (around.leaving) {
        return Reason::Draining;
    }
    const auto *server = around.snapshot->findServer(m_server);
    if (server == nullptr || server->service != call.call.service) {
        return Reason::NoServer;
    }
    if (!around.snapshot->isZoneInService(server->zone)) {
        return Reason::ZoneOutOfService;
    }
    if (!call.call.keyId.empty()
        && !around.snapshot->isKeyGranted(call.call.keyId, call.call.account)) {
        return Reason::BadKey;
    }
    if (around.quarantined != nullptr && around.quarantined->count(call.call.digest) > 0) {
        return Reason::Quarantined;
    }
    return Reason::None;
}

bool Gate::canMeetDeadline(const QueuedCall &call, TimePoint now) const
{
    const auto ahead = static_cast<int>(m_queue.size()) + m_running;
    const auto wait = m_ramp.baseline() * ahead / std::max(1, m_ramp.limit());
    return now + wait < call.deadline;
}

} // namespace celeryramp
