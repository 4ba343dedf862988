#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "proxy/cold_window.h"
#include "proxy/gate_load.h"
#include "proxy/handover_end.h"
#include "proxy/reason.h"

namespace celeryramp::proxy {

/*! @brief A call as far as its place at a gate depends on it. */
struct GateCall
{
    std::uint64_t ticket = 0;
    int rank = 0; /*!< 0 goes first. */
    bool isNested = false; /*!< Its caller holds a slot elsewhere while it waits. */
    bool mayBeLate = true; /*!< False: refuse when its target cannot be met, others can be asked. */
    TimePoint arrived;
    TimePoint target;
    TimePoint deadline;
};

/*! @brief A call that the gate refuses; nothing of it reached the server. */
struct GateRefusal
{
    std::uint64_t ticket = 0;
    Reason reason = Reason::Busy;
};

/*!
 * @brief The only way into one backend server: who is handed over, who waits, who is refused.
 *
 * Concurrency, the rate a cold server bears, draining and evacuation are local facts here. Calls of
 * servers go first: the work of their senders is lost with them. Then calls that can still meet
 * their target go before those that are late anyway, and then by rank. A call that cannot be served
 * before its deadline is refused as soon as that is foreseeable. Late calls are served in the gaps
 * that calls in time leave, and wait only as far as these gaps reach.
 */
class ServerGate
{
public:
    /*! @brief The server behind the gate is this one. @param coldPerSecond 0 for no limit. */
    void setServer(int slots, double coldPerSecond);

    /*! @brief Refuses everything from now on, for this reason; `None` reopens. */
    void setClosed(Reason reason) noexcept { m_closed = reason; }
    [[nodiscard]] Reason closed() const noexcept { return m_closed; }

    [[nodiscard]] ColdWindow &cold() noexcept { return m_cold; }

    /*! @brief A call arrived. @return Why it is refused, or `None` when it was taken in. */
    [[nodiscard]] Reason offer(const GateCall &call, TimePoint now);

    /*! @return The call to be handed over next, if one may be now; it then counts as running. */
    [[nodiscard]] std::optional<std::uint64_t> next(TimePoint now);

    /*! @return Calls that cannot be served any more, taken out. */
    [[nodiscard]] std::vector<GateRefusal> expire(TimePoint now);

    /*! @brief A running call ended. @param spent Time since it was handed over. */
    void finished(HandoverEnd end, Micros spent, TimePoint now);

    /*! @return True when the call was still waiting; it is then forgotten. */
    bool cancel(std::uint64_t ticket);

    [[nodiscard]] GateLoad load(TimePoint now);
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] int running() const noexcept { return m_running; }

    /*! @return Time until a call that arrives now would be handed over. @param ahead Calls that go
     * before it. */
    [[nodiscard]] Millis estimateWait(std::size_t ahead, bool isLateCall, TimePoint now);

private:
    [[nodiscard]] bool goesBefore(const GateCall &a, const GateCall &b, TimePoint now) const;
    [[nodiscard]] bool isLate(const GateCall &call, TimePoint now) const;
    /*! @return Time that a call needs at least. */
    [[nodiscard]] Millis quickMillis() const;
    /*! @return When a call must be handed over to be kept waiting until then. */
    [[nodiscard]] TimePoint latestStart(const GateCall &call) const;
    /*! @return Part of the server's time that calls in time took lately. */
    [[nodiscard]] double useInTime(TimePoint now) const;
    [[nodiscard]] double badShare(TimePoint now) const;
    /*! @return Milliseconds until a new call is handed over to a cold server; -1 when warm. */
    [[nodiscard]] int coldWait(TimePoint now);

    std::vector<GateCall> m_waiting;
    ColdWindow m_cold;
    int m_slots = 1;
    double m_coldPerSecond = 0.0;
    int m_running = 0;
    double m_serviceMillis; /*!< Smoothed time at the server. */
    double m_badShare = 0.0; /*!< Smoothed share of hand-overs that the server failed. */
    TimePoint m_badAt; /*!< When the share was changed last. */
    double m_useInTime = 0.0; /*!< Of the server by calls in time, when one was handed over last. */
    TimePoint m_usedAt;
    Reason m_closed = Reason::NoServer;

public:
    /*! Time at the server assumed before the first answer. */
    static constexpr double kInitialServiceMillis = 100.0;

    ServerGate() : m_serviceMillis{kInitialServiceMillis} { }
};

} // namespace celeryramp::proxy
