#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/snapshot.h"
#include "core/mechanisms.h"
#include "core/time.h"
#include "gate/concurrency_ramp.h"
#include "gate/fair_queue.h"
#include "gate/queued_call.h"
#include "wire/outcome.h"

namespace celeryramp {

/*! @brief A call that the gate refused without running it. */
struct Refusal
{
    QueuedCall call;
    Reason reason = Reason::None;
};

/*! @brief Counters of a gate. */
struct GateCounters
{
    std::uint64_t offered = 0;
    std::uint64_t started = 0;
    std::uint64_t refused = 0;
    std::uint64_t cancelled = 0;
};

/*! @brief State outside the gate that each of its decisions depends on. */
struct GateInputs
{
    const Snapshot *snapshot = nullptr; /*!< Null before the first configuration. */
    bool leaving = false; /*!< The platform lists the server as leaving. */
    const std::set<std::string> *quarantined
            = nullptr; /*!< Digests that must not run; may be null. */
    int waiting = 0; /*!< Running calls that wait for nested calls. */
};

/*!
 * @brief Admission control in front of one backend server.
 *
 * All calls to the server pass through its gate, so concurrency, ramp, draining, keys and zone
 * status are checked with local data. Keys and zone status are checked again when a call leaves the
 * queue.
 *
 * Nested calls have priority over outside calls and a reserved part of the limit, because each one
 * occupies a slot of its caller. A running call that waits for a nested call occupies a slot but
 * does not count towards the limit. If such calls occupy all slots, further nested calls are
 * refused immediately, so that chains of calls do not deadlock by waiting for one another.
 *
 * The gate only makes decisions; its users transfer the calls and answers.
 */
class Gate
{
public:
    /*!
     * @param server Name of the server behind this gate.
     * @param slots Number of calls that the server can run concurrently.
     * @param queueCapacity Maximum number of queued calls, for nested and outside calls each.
     * @param mechanisms Mechanisms that are enabled.
     */
    Gate(std::string server, int slots, std::size_t queueCapacity, Mechanisms mechanisms = {});

    /*!
     * @brief Queues a call that arrived, or refuses it.
     * @return Refused calls: the new one or one that it evicted from the queue.
     */
    [[nodiscard]] std::vector<Refusal> offer(QueuedCall call, const GateInputs &inputs,
                                             TimePoint now);

    /*!
     * @brief Removes the next call to run from the queue.
     * @param inputs Current state outside the gate.
     * @param now Current time.
     * @param refusals Receives the queued calls that are refused in the process.
     * @return The call to run; nothing if none may run now.
     */
    [[nodiscard]] std::optional<QueuedCall> next(const GateInputs &inputs, TimePoint now,
                                                 std::vector<Refusal> &refusals);

    /*!
     * @brief Records the end of a call that `next` returned.
     * @param evidence Result of the call.
     * @param latency Time that the call took at the server.
     * @param waiting Running calls that wait for nested calls.
     * @param now Current time.
     */
    void finished(Evidence evidence, Micros latency, int waiting, TimePoint now);

    /*! @brief Cancels a queued call. @return The call; nothing if it was not queued. */
    [[nodiscard]] std::optional<QueuedCall> cancel(std::uint64_t id, ReplyPath replyPath);

    /*! @brief Refuses all new calls from now on; queued calls still run. */
    void drain() noexcept { m_draining = true; }

    /*! @brief Resets the concurrency limit, since the server may have restarted or crashed. */
    void resetConcurrencyLimit(TimePoint now);

    /*! @return True if no call is queued or running. */
    [[nodiscard]] bool isIdle() const noexcept { return waiting() == 0 && m_running == 0; }

    [[nodiscard]] GateLoad load() const noexcept;
    [[nodiscard]] const GateCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] const ConcurrencyRamp &ramp() const noexcept { return m_ramp; }

private:
    /*! @return Reason why the call may not run now, or `None`. */
    [[nodiscard]] Reason refusalReason(const QueuedCall &call, const GateInputs &inputs,
                                       TimePoint now) const;
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return m_nested.size() + m_outside.size();
    }
    [[nodiscard]] std::optional<QueuedCall> popNext(int activeCalls);
    [[nodiscard]] int outsideLimit() const noexcept;
    /*! @return True if the call would have to wait here and its sender does not allow queueing. */
    [[nodiscard]] bool mustTryOtherGate(const QueuedCall &call, int activeCalls) const noexcept;
    /*! @return True if the call is nested and all slots are held by calls that wait for nested
     * ones. */
    [[nodiscard]] bool wouldDeadlock(const QueuedCall &call, int activeCalls) const noexcept;
    [[nodiscard]] bool canMeetDeadline(const QueuedCall &call, TimePoint now) const;

    std::string m_server;
    Mechanisms m_mechanisms;
    int m_slots = 0;
    ConcurrencyRamp m_ramp;
    FairQueue m_nested; /*!< Calls made by other backend servers while they run a call. */
    FairQueue m_outside;
    GateCounters m_counters;
    int m_running = 0;
    bool m_draining = false;
};

} // namespace celeryramp
