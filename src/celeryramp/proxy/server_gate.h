#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admission/concurrency_limit.h"
#include "admission/link_budget.h"
#include "admission/service_times.h"
#include "core/time.h"
#include "proxy/cold_start_limiter.h"
#include "proxy/gate_load.h"
#include "proxy/handover_outcome.h"
#include "proxy/reason.h"
#include "proxy/request_rate_limiter.h"

namespace celeryramp::proxy {

/*! @brief Properties of a call that determine its admission and its place in the queue. */
struct GateCall
{
    std::uint64_t ticket = 0;
    int rank = 0; /*!< Priority; 0 is the most urgent. */
    bool isNested = false; /*!< Its caller is a server that occupies a slot meanwhile. */
    bool mayBeLate
            = true; /*!< False: refuse it if it would miss its target; others can be asked. */
    TimePoint arrived;
    TimePoint target;
    TimePoint deadline;
    std::uint32_t route = 0; /*!< Calls of one route take similar times. */
    std::size_t linkBytes = 0; /*!< Expected bytes of the answer on the link; 0 for a caller on the
                                  own host. */
};

/*! @brief A refused call of which nothing reached the server. */
struct GateRefusal
{
    std::uint64_t ticket = 0;
    Reason reason = Reason::Busy;
};

/*!
 * @brief Admission control and priority queue for all calls to one backend server.
 *
 * All calls pass through this gate, so it can enforce the concurrency limit, the cold start rate,
 * the rate limit that the server names, draining and evacuation locally. Nested calls are served
 * first, because the work of the sending server is lost if they fail. Next are the calls that can
 * still meet their target, then the late ones, each ordered by rank and target. A call only gets
 * the capacity that those before it in this order leave, also those that are yet to arrive, and its
 * estimated wait takes this into account.
 *
 * The queue is short: a call is refused at once if it would wait for more than a part of the time
 * that it can spare before its target. A queue as long as the target would have each call wait
 * until it is nearly late, so that slower ones than usual miss the target and the time of their
 * slots is lost. While calls that could meet their target do not all fit, late ones are not
 * admitted.
 */
class ServerGate
{
public:
    /*! @brief Sets the limits of the server. @param coldPerSecond Requests per second while the
     * server is cold; 0 for no limit. */
    void setServer(int slots, double coldPerSecond);

    /*! @brief Limits the running calls to the concurrency that the server sustains. Nested calls
     * may take all slots, since running calls wait for them. */
    void setConcurrencyLimit(std::unique_ptr<admission::ConcurrencyLimit> limit)
    {
        m_concurrency = std::move(limit);
    }
    /*! @brief Forgets the concurrency that an earlier incarnation of the server sustained. */
    void onServerRestarted() { m_concurrency->reset(); }
    /*! @return Number of calls that the server gets at a time. */
    [[nodiscard]] int concurrency(TimePoint now) const
    {
        return m_concurrency->limit(m_slots, now);
    }

    /*! @brief Refuses all calls with this reason from now on; `None` reopens the gate. */
    void setClosed(Reason reason) noexcept { m_closedReason = reason; }
    [[nodiscard]] Reason closedReason() const noexcept { return m_closedReason; }

    [[nodiscard]] ColdStartLimiter &cold() noexcept { return m_cold; }
    [[nodiscard]] RequestRateLimiter &rate() noexcept { return m_rate; }
    [[nodiscard]] admission::LinkBudget &link() noexcept { return m_link; }

    /*! @brief Queues or refuses a new call. @return Reason for refusal, or `None` if it is queued.
     */
    [[nodiscard]] Reason offer(const GateCall &call, TimePoint now);

    /*! @brief Dequeues the next call if the server can take one now. @return Its ticket; the call
     * then counts as running. */
    [[nodiscard]] std::optional<std::uint64_t> next(TimePoint now);

    /*! @brief Removes the calls that can no longer be served in time. @return The removed calls. */
    [[nodiscard]] std::vector<GateRefusal> expire(TimePoint now);

    /*!
     * @brief Records the end of a running call.
     * @param spent Time since it was handed over.
     * @param onCalls Part of it in which the server waited for calls that it made.
     */
    void finished(HandoverOutcome outcome, Micros spent, TimePoint now, std::uint32_t route = 0,
                  Micros onCalls = Micros{0});

    /*! @return True while calls that could meet their target do not all fit. */
    [[nodiscard]] bool isOverloaded(TimePoint now) const;

    /*! @brief Removes a queued call. @return False if it was not in the queue. */
    bool cancel(std::uint64_t ticket);

    [[nodiscard]] GateLoad load(TimePoint now);
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }
    [[nodiscard]] int running() const noexcept { return m_running; }

    /*! @return Estimated time until a call is handed over. @param ahead Number of queued calls that
     * precede it. */
    [[nodiscard]] Millis estimateWait(std::size_t ahead, const GateCall &call, TimePoint now);

private:
    [[nodiscard]] bool precedes(const GateCall &a, const GateCall &b, TimePoint now) const;
    [[nodiscard]] bool isLate(const GateCall &call, TimePoint now) const;
    /*! @return Service time that most calls of the route exceed; one that needs less is lucky. */
    [[nodiscard]] Millis minServiceTime(const GateCall &call) const;
    /*! @return Service time within which most calls of the route end. */
    [[nodiscard]] Millis likelyServiceTime(const GateCall &call) const;
    /*! @return Latest time of handover with which the call is worth queueing. */
    [[nodiscard]] TimePoint latestStart(const GateCall &call) const;
    /*! @return Longest wait with which a new call is admitted; negative if it is not. */
    [[nodiscard]] Millis longestWait(const GateCall &call, TimePoint now) const;
    /*! @brief Records the refusal of a call that could have met its target. */
    void onTimelyRefused(TimePoint now);
    /*! Order of service: nested, timely or late, then the rank. */
    using Precedence = std::pair<int, int>;
    /*! Calls per second, as a moving average. */
    struct StartRate
    {
        double perSecond = 0.0; /*!< At `at`. */
        TimePoint at;
    };

    [[nodiscard]] Precedence precedence(const GateCall &call, TimePoint now) const;
    /*! @return Recent calls per second that were handed over before any call like this one. */
    [[nodiscard]] double precedingRate(const GateCall &call, TimePoint now) const;
    [[nodiscard]] static double rateAt(const StartRate &rate, TimePoint now);
    [[nodiscard]] double failureShare(TimePoint now) const;
    /*! Requests that a rate lets through now, negative without one, and the rate. */
    using Allowance = std::pair<int, double>;
    /*! @return The allowances of the cold start and of the limit that the server names. */
    [[nodiscard]] std::array<Allowance, 2> allowances(TimePoint now);
    /*! @return Milliseconds until these rates let a new call through; -1 without any. */
    [[nodiscard]] int estimateRateWaitMillis(TimePoint now);

    std::vector<GateCall> m_waiting;
    ColdStartLimiter m_cold;
    RequestRateLimiter m_rate;
    admission::LinkBudget m_link;
    admission::ServiceTimes m_serviceTimes;
    std::unique_ptr<admission::ConcurrencyLimit> m_concurrency
            = std::make_unique<admission::PublishedConcurrency>();
    TimePoint m_overloadSince;
    TimePoint m_timelyRefusedAt; /*!< When a call that could meet its target was last refused. */
    int m_slots = 1;
    double m_coldPerSecond = 0.0;
    int m_running = 0;
    double m_serviceMillis; /*!< Moving average of the service time. */
    double m_failureShare = 0.0; /*!< Moving average, at `m_failureShareAt`. */
    TimePoint m_failureShareAt;
    std::map<Precedence, StartRate> m_startRates;
    Reason m_closedReason = Reason::NoServer;

public:
    /*! Service time assumed before the first answer. */
    static constexpr double kInitialServiceMillis = 100.0;

    ServerGate() : m_serviceMillis{kInitialServiceMillis} { }
};

} // namespace celeryramp::proxy
