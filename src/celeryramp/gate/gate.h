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

/*! @brief A call that the gate refuses; it was not run and never will be. */
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

/*! @brief What the gate needs to know of its surroundings at each decision. */
struct GateSurroundings
{
    const Snapshot *snapshot = nullptr; /*!< Null before the first configuration. */
    bool leaving = false; /*!< The server is listed as leaving. */
    const std::set<std::string> *quarantined = nullptr; /*!< Digests not to be run. */
    int waiting = 0; /*!< Running calls whose server waits for calls of its own. */
};

/*!
 * @brief The only way into one backend server.
 *
 * All work passes here, so concurrency, ramp, drain, keys and zone status are local facts. Keys and
 * zone status are checked again when a call leaves the queue. Nested calls go before outside ones
 * and have a part of the concurrency to themselves, since each holds up a slot of its caller. A
 * running call whose server waits for a call of its own holds a slot but no part of the limit, and
 * when such calls hold all slots nested ones are refused at once, so that chains do not stand still
 * waiting for one another.
 * Decides only; the duties around it carry calls and answers.
 */
class Gate
{
public:
    /*!
     * @param server Name of the server behind this gate. @param slots Its slots.
     * @param queueCapacity Calls that may wait.
     * @param mechanisms What is switched on.
     */
    Gate(std::string server, int slots, std::size_t queueCapacity, Mechanisms mechanisms = {});

    /*! @brief A call arrived. @return Calls refused by this: the new one or one it displaced. */
    [[nodiscard]] std::vector<Refusal> offer(QueuedCall call, const GateSurroundings &around,
                                             TimePoint now);

    /*!
     * @brief Takes the next call to run, if one may run now.
     * @param refusals Gets the calls found not to be run on the way.
     */
    [[nodiscard]] std::optional<QueuedCall> next(const GateSurroundings &around, TimePoint now,
                                                 std::vector<Refusal> &refusals);

    /*! @brief A call that `next` gave out has ended. */
    void finished(Evidence evidence, Micros latency, int waiting, TimePoint now);

    /*! @return The call, when it was still waiting and will now never run. */
    [[nodiscard]] std::optional<QueuedCall> cancel(std::uint64_t id, ReplyPath replyPath);

    /*! @brief Refuses all new work from now on; calls that wait are still run. */
    void drain() noexcept { m_draining = true; }

    /*! @brief The server restarted or crashed: start small again. */
    void serverLost(TimePoint now);

    /*! @return True when nothing waits and nothing runs. */
    [[nodiscard]] bool isIdle() const noexcept { return waiting() == 0 && m_running == 0; }

    [[nodiscard]] GateLoad load() const noexcept;
    [[nodiscard]] const GateCounters &counters() const noexcept { return m_counters; }
    [[nodiscard]] const ConcurrencyRamp &ramp() const noexcept { return m_ramp; }

private:
    /*! @return Why the call may not run now, or `None`. */
    [[nodiscard]] Reason obstacle(const QueuedCall &call, const GateSurroundings &around,
                                  TimePoint now) const;
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return m_nested.size() + m_outside.size();
    }
    [[nodiscard]] std::optional<QueuedCall> popNext(int active);
    [[nodiscard]] int outsideLimit() const noexcept;
    /*! @return True when the call would wait here though it should rather try another gate. */
    [[nodiscard]] bool mustWait(const QueuedCall &call, int active) const noexcept;
    /*! @return True when only calls that wait for others could make room for a nested one. */
    [[nodiscard]] bool isStandstill(const QueuedCall &call, int active) const noexcept;
    [[nodiscard]] bool canMeetDeadline(const QueuedCall &call, TimePoint now) const;

    std::string m_server;
    Mechanisms m_mechanisms;
    int m_slots = 0;
    ConcurrencyRamp m_ramp;
    FairQueue m_nested; /*!< Calls of other backend servers, whose slots wait for them. */
    FairQueue m_outside;
    GateCounters m_counters;
    int m_running = 0;
    bool m_draining = false;
};

} // namespace celeryramp
