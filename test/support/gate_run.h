#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "proxy/server_gate.h"

namespace celeryramp::test {

/*! @brief Load on one gate, for decisions under load without a network. */
struct GateLoadShape
{
    int slots = 5;
    double serviceMillis = 60.0; /*!< Mean of times that are spread over 0.25 to 1.75 of it. */
    double load = 1.0; /*!< Share of the capacity of the server. */
    Millis target{300};
    Millis deadline{1200};
    Millis length{10'000};
    double slowdown = 1.0; /*!< Factor on the service time from `slowFrom` to `slowUntil`. */
    Millis slowFrom{0};
    Millis slowUntil{0};
    /*! Share of the slots from which each further call slows all that start; 1 for never. */
    double crowdedFrom = 1.0;
    double crowding = 0.0; /*!< Added to the factor on the service time at all slots. */
    std::string strategy = "published"; /*!< See `admission::makeConcurrencyLimit`. */
    int fixedLimit = 0; /*!< Slots that the gate is told of; 0 for those of the server. */
};

/*! @brief Result of a run; capacities are those of the server at its usual speed. */
struct GateRunResult
{
    int offered = 0;
    int inTarget = 0;
    int late = 0;
    int refused = 0;
    double capacity = 0.0; /*!< Calls that the server can end in the whole run. */
    std::vector<int> inTargetPerSecond;
    std::int64_t longestHeldMillis = 0; /*!< Longest time that a refused call had waited. */
};

/*! @brief Plays calls that arrive evenly with jitter at a gate, in steps of a millisecond. A call
 * that the gate refuses is offered once more for a late answer, as senders do. */
inline GateRunResult runGate(const GateLoadShape &shape)
{
    const TimePoint start{std::chrono::hours{1}};
    proxy::ServerGate gate;
    gate.setServer(shape.fixedLimit > 0 ? shape.fixedLimit : shape.slots, 0.0);
    gate.setConcurrencyLimit(admission::makeConcurrencyLimit(shape.strategy));
    gate.setClosed(proxy::Reason::None);
    RandomEngine random{7};
    GateRunResult result;
    const double perMilli = shape.load * shape.slots / shape.serviceMillis;
    result.capacity = shape.slots / shape.serviceMillis * static_cast<double>(shape.length.count());
    result.inTargetPerSecond.resize(static_cast<std::size_t>(shape.length.count() / 1000) + 1);
    std::map<std::uint64_t, proxy::GateCall> calls;
    std::multimap<TimePoint, std::pair<std::uint64_t, Micros>> ends;
    double due = 0.0;
    std::uint64_t ticket = 0;
    for (auto now = start; now < start + shape.length; now += Millis{1}) {
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [id, spent] = ends.begin()->second;
            ends.erase(ends.begin());
            gate.finished(proxy::HandoverOutcome::Served, spent, now, 1);
            const bool isInTarget = now <= calls.at(id).target;
            (isInTarget ? result.inTarget : result.late) += 1;
            result.inTargetPerSecond[static_cast<std::size_t>(secondsBetween(start, now))]
                    += isInTarget ? 1 : 0;
        }
        for (due += perMilli * 2.0 * random.unit(); due >= 1.0; due -= 1.0) {
            ++result.offered;
            proxy::GateCall call{
                    ++ticket, 0, false, false, now, now + shape.target, now + shape.deadline, 1};
            calls[ticket] = call;
            if (gate.offer(call, now) != proxy::Reason::None) {
                call.mayBeLate = true;
                result.refused += gate.offer(call, now) != proxy::Reason::None ? 1 : 0;
            }
        }
        if ((now - start) / Millis{1} % 25 == 0) {
            for (const auto &refusal : gate.expire(now)) {
                ++result.refused;
                result.longestHeldMillis
                        = std::max(result.longestHeldMillis,
                                   millisBetween(calls.at(refusal.ticket).arrived, now).count());
            }
        }
        while (const auto next = gate.next(now)) {
            const bool isSlow = now >= start + shape.slowFrom && now < start + shape.slowUntil;
            const double share = gate.running() / static_cast<double>(shape.slots);
            const double crowded = std::max(0.0, share - shape.crowdedFrom)
                    / std::max(1e-9, 1.0 - shape.crowdedFrom);
            const double millis = shape.serviceMillis * (0.25 + 1.5 * random.unit())
                    * (isSlow ? shape.slowdown : 1.0) * (1.0 + shape.crowding * crowded);
            const Micros spent{static_cast<std::int64_t>(millis * 1000.0)};
            ends.emplace(now + std::chrono::duration_cast<TimePoint::duration>(spent),
                         std::make_pair(*next, spent));
        }
    }
    return result;
}

} // namespace celeryramp::test
