#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

#include "support/gate_run.h"

using namespace celeryramp;
using namespace celeryramp::proxy;
using namespace celeryramp::test;

TEST_CASE("Pattern: load beyond the capacity - what is answered in target stays near the capacity")
{
    for (const double load : {1.0, 1.1, 1.5, 2.0, 3.0}) {
        CAPTURE(load);
        const auto result = runGate({5, 60.0, load});
        REQUIRE(result.inTarget >= 0.9 * result.capacity);
    }
}

TEST_CASE("Pattern: load below the capacity - nearly all is answered in target")
{
    const auto result = runGate({5, 60.0, 0.7});
    REQUIRE(result.inTarget >= 0.97 * result.offered);
}

TEST_CASE("Pattern: load beyond the capacity - what is refused has not waited for its target")
{
    const auto result = runGate({5, 60.0, 1.5});
    REQUIRE(result.refused > 0.2 * result.offered);
    REQUIRE(result.longestHeldMillis <= 150);
}

TEST_CASE("Pattern: a slow server that recovers - calls in target return within two seconds")
{
    GateLoadShape shape{5, 60.0, 0.9};
    shape.slowdown = 5.0;
    shape.slowFrom = Millis{3000};
    shape.slowUntil = Millis{5000};
    const auto result = runGate(shape);
    const double perSecond = 0.9 * result.capacity / 10.0;
    REQUIRE(result.inTargetPerSecond[7] >= 0.9 * perSecond);
    REQUIRE(result.inTargetPerSecond[9] >= 0.9 * perSecond);
}

TEST_CASE("Pattern: a full link with free slots - only answers that arrive in target are started")
{
    const TimePoint start{std::chrono::hours{1}};
    ServerGate gate;
    gate.setServer(50, 0.0);
    gate.setClosed(Reason::None);
    gate.link().setRate(14.0);
    int taken = 0;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        const GateCall call{
                i, 2, false, false, start, start + Millis{500}, start + Millis{2000}, 1, 90'000};
        taken += gate.offer(call, start) == Reason::None ? 1 : 0;
        static_cast<void>(gate.next(start));
    }
    // 14 Mbit/s carry 9 answers of 90 kB within the target.
    REQUIRE(taken >= 3);
    REQUIRE(taken <= 9);
    const GateCall late{200, 2, false, true, start, start, start + Millis{2000}, 1, 90'000};
    REQUIRE(gate.offer(late, start) == Reason::Busy);
    REQUIRE(gate.offer({201, 2, true, false, start, start + Millis{80}, start + Millis{200}, 2, 0},
                       start)
            == Reason::None);
}

TEST_CASE("Pattern: a link beyond its capacity - answers that would be late do not take its time")
{
    // Long answers at 1.3 times the rate of the link, each offered again for a late answer.
    constexpr std::size_t kBytes = 90'000;
    constexpr Millis kTarget{500};
    const TimePoint start{std::chrono::hours{1}};
    ServerGate gate;
    gate.setServer(5, 0.0);
    gate.setClosed(Reason::None);
    gate.link().setRate(14.0);
    const auto transfer = gate.link().transfer(kBytes);
    const auto interval = std::chrono::duration_cast<Micros>(transfer) * 10 / 13;
    const Micros service{60'000};
    std::multimap<TimePoint, std::uint64_t> ends;
    auto linkFreeAt = start;
    int inTarget = 0;
    int answered = 0;
    std::uint64_t ticket = 0;
    auto nextAt = start;
    for (auto now = start; now < start + Millis{20'000}; now += Millis{1}) {
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto arrived = ends.begin()->first - service;
            ends.erase(ends.begin());
            gate.finished(HandoverOutcome::Served, service, now, 1);
            linkFreeAt = std::max(linkFreeAt, now) + transfer;
            ++answered;
            inTarget += linkFreeAt <= arrived + kTarget ? 1 : 0;
        }
        for (; nextAt <= now; nextAt += interval) {
            GateCall call{++ticket,           2, false, false, now, now + kTarget,
                          now + Millis{2000}, 1, kBytes};
            if (gate.offer(call, now) != Reason::None) {
                call.mayBeLate = true;
                static_cast<void>(gate.offer(call, now));
            }
        }
        static_cast<void>(gate.expire(now));
        while (gate.next(now)) {
            ends.emplace(now + service, ticket);
        }
    }
    const auto capacity = Millis{20'000} / transfer;
    REQUIRE(inTarget >= 0.9 * static_cast<double>(capacity));
    REQUIRE(answered - inTarget <= 0.05 * answered);
}

TEST_CASE("Pattern: a server that was slow for a while - calls start again and renew its estimate")
{
    const TimePoint start{std::chrono::hours{1}};
    for (const std::size_t linkBytes : {std::size_t{0}, std::size_t{90'000}}) {
        CAPTURE(linkBytes);
        ServerGate gate;
        gate.setServer(5, 0.0);
        gate.setClosed(Reason::None);
        gate.link().setRate(14.0);
        for (int i = 0; i < 100; ++i) {
            // Three of ten calls were quick, so a call may still meet its target.
            gate.finished(HandoverOutcome::Served, Micros{i % 10 < 3 ? 50'000 : 900'000}, start, 1);
        }
        const GateCall call{
                1, 2, false, false, start, start + Millis{500}, start + Millis{2000}, 1, linkBytes};
        REQUIRE(gate.offer(call, start) == Reason::None);
        REQUIRE(gate.next(start) == 1U);
    }
}

TEST_CASE("Pattern: a route without a target - calls wait for as long as their deadline allows")
{
    const TimePoint start{std::chrono::hours{1}};
    ServerGate gate;
    gate.setServer(1, 0.0);
    gate.setClosed(Reason::None);
    int taken = 0;
    for (std::uint64_t i = 1; i <= 40; ++i) {
        const GateCall call{i, 0, false, false, start, start + Millis{2000}, start + Millis{2000},
                            1};
        taken += gate.offer(call, start) == Reason::None ? 1 : 0;
    }
    // A slot ends 19 calls of 100 ms each before the last one would be late.
    REQUIRE(taken >= 13);
    REQUIRE(taken <= 19);
}
