#include "proxy/server_gate.h"

#include <deque>
#include <map>

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

GateCall call(std::uint64_t ticket, int rank = 0, Millis target = Millis{500},
              Millis deadline = Millis{1500}, bool isNested = false, TimePoint now = kStart)
{
    return {ticket, rank, isNested, true, now, now + target, now + deadline};
}

ServerGate openGate(int slots, double coldPerSecond = 0.0)
{
    ServerGate gate;
    gate.setServer(slots, coldPerSecond);
    gate.setClosed(Reason::None);
    return gate;
}

} // namespace

TEST_CASE("No more calls run than the server has slots")
{
    auto gate = openGate(3);
    for (std::uint64_t i = 1; i <= 5; ++i) {
        REQUIRE(gate.offer(call(i), kStart) == Reason::None);
    }
    int started = 0;
    while (gate.next(kStart)) {
        ++started;
    }
    REQUIRE(started == 3);
    gate.finished(HandoverOutcome::Served, Micros{90'000}, kStart);
    REQUIRE(gate.next(kStart));
    REQUIRE_FALSE(gate.next(kStart));
}

TEST_CASE("Nested calls are served first and then calls by rank and target")
{
    auto gate = openGate(1);
    static_cast<void>(gate.offer(call(1, 2), kStart));
    static_cast<void>(gate.offer(call(2, 0, Millis{600}), kStart));
    static_cast<void>(gate.offer(call(3, 0, Millis{400}), kStart));
    static_cast<void>(gate.offer(call(4, 5, Millis{500}, Millis{1500}, true), kStart));
    static_cast<void>(gate.offer(call(5, 3, Millis{500}, Millis{1500}, true), kStart));
    std::vector<std::uint64_t> order;
    while (const auto ticket = gate.next(kStart)) {
        order.push_back(*ticket);
        gate.finished(HandoverOutcome::NotSent, Micros{0}, kStart);
    }
    REQUIRE(order == std::vector<std::uint64_t>{5, 4, 3, 2, 1});
}

TEST_CASE("Pattern: overload with many late calls - timely calls are served first")
{
    auto gate = openGate(1);
    static_cast<void>(gate.offer(call(1, 0, Millis{10}), kStart));
    static_cast<void>(gate.offer(call(2, 3, Millis{900}), kStart));
    REQUIRE(*gate.next(kStart) == 2);
}

TEST_CASE("Pattern: a burst beyond the capacity of the server is refused at once")
{
    auto gate = openGate(2);
    int taken = 0;
    int refused = 0;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        (gate.offer(call(i), kStart) == Reason::None ? taken : refused) += 1;
        static_cast<void>(gate.next(kStart));
    }
    // 2 slots with 100 ms per call serve 20 calls per second; the deadline is in 1.5 s.
    REQUIRE(taken >= 20);
    REQUIRE(taken <= 33);
    REQUIRE(refused == 200 - taken);
}

TEST_CASE("Pattern: urgent calls displace another - it is refused while it can still be retried")
{
    auto gate = openGate(1);
    static_cast<void>(gate.offer(call(1), kStart));
    REQUIRE(*gate.next(kStart) == 1);
    REQUIRE(gate.offer(call(2, 9, Millis{500}, Millis{600}), kStart) == Reason::None);
    for (std::uint64_t i = 10; i < 16; ++i) {
        REQUIRE(gate.offer(call(i, 0, Millis{900}), kStart) == Reason::None);
    }
    const auto refusals = gate.expire(kStart);
    REQUIRE(refusals.size() == 1);
    REQUIRE(refusals.front().ticket == 2);
}

TEST_CASE("A cold server gets no more calls in any second than its cold start rate")
{
    auto gate = openGate(50, 10.0);
    gate.cold().markCold(kStart + Millis{3000});
    std::vector<TimePoint> handed;
    std::uint64_t ticket = 1;
    for (int ms = 0; ms < 3000; ms += 10) {
        const auto now = kStart + Millis{ms};
        static_cast<void>(
                gate.offer(call(ticket++, 0, Millis{500}, Millis{1500}, false, now), now));
        while (gate.next(now)) {
            handed.push_back(now);
            gate.finished(HandoverOutcome::Served, Micros{5000}, now);
        }
    }
    REQUIRE(handed.size() >= 25);
    for (std::size_t i = 10; i < handed.size(); ++i) {
        REQUIRE(handed[i] - handed[i - 10] >= Millis{1000});
    }
}

TEST_CASE("A closed gate refuses new and queued calls with its reason")
{
    auto gate = openGate(1);
    static_cast<void>(gate.offer(call(1), kStart));
    static_cast<void>(gate.next(kStart));
    static_cast<void>(gate.offer(call(2), kStart));
    gate.setClosed(Reason::Draining);
    REQUIRE(gate.offer(call(3), kStart) == Reason::Draining);
    const auto refusals = gate.expire(kStart);
    REQUIRE(refusals.size() == 1);
    REQUIRE(refusals.front().reason == Reason::Draining);
    REQUIRE(gate.running() == 1);
}

TEST_CASE("Only queued calls are removed by a cancellation")
{
    auto gate = openGate(1);
    static_cast<void>(gate.offer(call(1), kStart));
    static_cast<void>(gate.next(kStart));
    static_cast<void>(gate.offer(call(2), kStart));
    REQUIRE(gate.cancel(2));
    REQUIRE_FALSE(gate.cancel(1));
    REQUIRE(gate.waiting() == 0);
    REQUIRE(gate.running() == 1);
}

TEST_CASE("Pattern: a node restarts beside a cold server - calls wait for one second")
{
    auto gate = openGate(50, 10.0);
    gate.cold().markCold(kStart + Millis{3000});
    gate.cold().markUsed(kStart);
    static_cast<void>(gate.offer(call(1), kStart));
    REQUIRE_FALSE(gate.next(kStart + Millis{999}));
    REQUIRE(gate.next(kStart + Millis{1000}));
    SECTION("a server that has proved to be warm is not limited")
    {
        gate.cold().markUsed(kStart + Millis{1000});
        gate.cold().markWarm(kStart + Millis{1001});
        static_cast<void>(gate.offer(call(2), kStart + Millis{1001}));
        REQUIRE(gate.next(kStart + Millis{1001}));
    }
}

TEST_CASE("Pattern: overload by urgent calls - nested calls are still served")
{
    auto gate = openGate(1);
    REQUIRE(gate.offer(call(1), kStart) == Reason::None);
    REQUIRE(gate.next(kStart));
    for (std::uint64_t i = 10; i < 13; ++i) {
        REQUIRE(gate.offer(call(i, 0), kStart) == Reason::None);
    }
    REQUIRE(gate.offer(call(20, 2, Millis{150}, Millis{500}, true), kStart) == Reason::None);
    gate.finished(HandoverOutcome::Served, Micros{100'000}, kStart);
    REQUIRE(*gate.next(kStart) == 20);
}

TEST_CASE("Pattern: lasting overload - late calls are refused at once instead of queued")
{
    auto gate = openGate(4);
    auto now = kStart;
    std::uint64_t ticket = 1;
    int lateTaken = 0;
    std::deque<TimePoint> ends;
    // 4 slots with 100 ms per call serve 40 calls per second. 50 timely and 10 late ones arrive.
    for (int ms = 0; ms < 4000; ms += 20) {
        now = kStart + Millis{ms};
        while (!ends.empty() && ends.front() <= now) {
            ends.pop_front();
            gate.finished(HandoverOutcome::Served, Micros{100'000}, now);
        }
        static_cast<void>(gate.offer(
                {ticket++, 0, false, false, now, now + Millis{400}, now + Millis{1500}}, now));
        if (ms >= 2000 && ms % 100 == 0) {
            const GateCall late{ticket++, 0, false, true, now, now - Millis{1}, now + Millis{1500}};
            lateTaken += gate.offer(late, now) == Reason::None ? 1 : 0;
        }
        while (gate.next(now)) {
            ends.push_back(now + Millis{100});
        }
        static_cast<void>(gate.expire(now));
    }
    REQUIRE(lateTaken <= 2);
}

TEST_CASE("Pattern: a server turns slow - the gate detects it from cancelled calls")
{
    auto gate = openGate(16);
    auto now = kStart;
    for (std::uint64_t i = 1; i <= 16; ++i) {
        REQUIRE(gate.offer(call(i, 0, Millis{500}, Millis{1500}, false, now), now) == Reason::None);
        REQUIRE(gate.next(now));
    }
    now += Millis{1500};
    for (int i = 0; i < 16; ++i) {
        gate.finished(HandoverOutcome::Cancelled, Micros{1'500'000}, now);
    }
    REQUIRE(gate.load(now).failurePercent > 50);
    SECTION("and from calls that were served late")
    {
        for (std::uint64_t i = 20; i < 40; ++i) {
            REQUIRE(gate.offer(call(i, 0, Millis{500}, Millis{1500}, false, now), now)
                    == Reason::None);
            REQUIRE(gate.next(now));
            gate.finished(HandoverOutcome::Served, Micros{1'200'000}, now);
        }
        REQUIRE(gate.load(now).serviceMillis > 900);
    }
}

TEST_CASE("Pattern: calls cancelled early do not count against the server")
{
    auto gate = openGate(16);
    for (std::uint64_t i = 1; i <= 16; ++i) {
        REQUIRE(gate.offer(call(i), kStart) == Reason::None);
        REQUIRE(gate.next(kStart));
    }
    for (int i = 0; i < 16; ++i) {
        gate.finished(HandoverOutcome::Cancelled, Micros{50'000}, kStart + Millis{50});
    }
    REQUIRE(gate.load(kStart + Millis{50}).serviceMillis == 100);
    REQUIRE(gate.load(kStart + Millis{50}).failurePercent == 0);
}

TEST_CASE("Pattern: a partly failing server is reported by its gate and recovers with time")
{
    auto gate = openGate(16);
    auto now = kStart;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        now += Millis{20};
        REQUIRE(gate.offer(call(i, 0, Millis{500}, Millis{1500}, false, now), now) == Reason::None);
        REQUIRE(gate.next(now));
        gate.finished(i % 2 == 0 ? HandoverOutcome::Failed : HandoverOutcome::Served,
                      Micros{10'000}, now);
    }
    const auto failurePercent = gate.load(now).failurePercent;
    REQUIRE(failurePercent > 30);
    REQUIRE(failurePercent < 70);
    REQUIRE(gate.load(now + Millis{9000}).failurePercent < 5);
}

TEST_CASE("Pattern: a cold server is overloaded - nested calls are still served")
{
    auto gate = openGate(16, 15.0);
    gate.cold().markCold(kStart + Millis{5000});
    std::uint64_t ticket = 1;
    int nestedServed = 0;
    int nestedSent = 0;
    for (int ms = 0; ms < 4000; ms += 5) {
        const auto now = kStart + Millis{ms};
        // Far more direct calls than the cold start rate, and five nested calls per second.
        static_cast<void>(gate.offer(
                {ticket++, 0, false, true, now, now + Millis{500}, now + Millis{1000}}, now));
        if (ms % 200 == 100) {
            ++nestedSent;
            static_cast<void>(gate.offer({1'000'000 + ticket++, 0, true, false, now,
                                          now + Millis{200}, now + Millis{500}},
                                         now));
        }
        while (const auto next = gate.next(now)) {
            nestedServed += *next > 1'000'000 ? 1 : 0;
            gate.finished(HandoverOutcome::Served, Micros{100'000}, now);
        }
        static_cast<void>(gate.expire(now));
    }
    REQUIRE(nestedServed >= nestedSent * 9 / 10);
}

TEST_CASE("Pattern: urgent work leaves little - what has no chance is refused at once")
{
    auto gate = openGate(4);
    constexpr Millis kService{100}; // 40 calls a second
    constexpr Millis kStep{5};
    std::deque<TimePoint> running;
    std::map<std::uint64_t, TimePoint> offeredAt;
    std::uint64_t ticket = 0;
    int lowServed = 0;
    int lowRefused = 0;
    int lowRefusedLate = 0; // after a quarter of the time to the target
    const auto end = kStart + Millis{10'000};
    int step = 0;
    for (auto now = kStart; now < end; now += kStep, ++step) {
        while (!running.empty() && running.front() <= now) {
            running.pop_front();
            gate.finished(HandoverOutcome::Served, kService, now);
        }
        const auto count = [&](std::uint64_t refused) {
            if (const auto it = offeredAt.find(refused); it != offeredAt.end()) {
                ++lowRefused;
                lowRefusedLate += millisBetween(it->second, now) > Millis{125} ? 1 : 0;
                offeredAt.erase(it);
            }
        };
        for (const auto &refusal : gate.expire(now)) {
            count(refusal.ticket);
        }
        if (step % 7 == 0) { // urgent: 29 a second
            static_cast<void>(
                    gate.offer(call(++ticket, 0, Millis{500}, Millis{1500}, false, now), now));
        }
        if (step % 5 == 0) { // less urgent: 40 a second, of which about 11 fit
            offeredAt[++ticket] = now;
            auto low = call(ticket, 3, Millis{500}, Millis{1500}, false, now);
            low.mayBeLate = false;
            if (gate.offer(low, now) != Reason::None) {
                count(ticket);
            }
        }
        while (const auto next = gate.next(now)) {
            running.push_back(now + kService);
            lowServed += static_cast<int>(offeredAt.erase(*next));
        }
    }
    CAPTURE(lowServed, lowRefused, lowRefusedLate);
    REQUIRE(lowServed >= 90);
    REQUIRE(lowRefused > 200);
    REQUIRE(lowRefusedLate <= lowRefused / 5); // four of five are refused at once
}

TEST_CASE("Pattern: power returns - a fractional cold start rate is used in full")
{
    auto gate = openGate(50, 3.3);
    gate.cold().markCold(kStart + Millis{30'000});
    std::vector<TimePoint> handed;
    std::uint64_t ticket = 1;
    for (int ms = 0; ms < 20'000; ms += 10) {
        const auto now = kStart + Millis{ms};
        static_cast<void>(
                gate.offer(call(ticket++, 0, Millis{500}, Millis{1500}, false, now), now));
        while (gate.next(now)) {
            handed.push_back(now);
            gate.finished(HandoverOutcome::Served, Micros{5000}, now);
        }
    }
    REQUIRE(handed.size() >= 64); // 3.3 a second
    REQUIRE(handed.size() <= 68);
    for (std::size_t i = 4; i < handed.size(); ++i) {
        REQUIRE(handed[i] - handed[i - 4] >= Millis{1000});
    }
}

TEST_CASE("Pattern: power returns - a server that started with its node has an unused cold rate")
{
    constexpr std::uint64_t kProcessStarted = 1'700'000'000'000;
    REQUIRE_FALSE(ColdStartLimiter::mayBeUsed(kProcessStarted + 300, kProcessStarted));
    REQUIRE_FALSE(ColdStartLimiter::mayBeUsed(kProcessStarted - 80, kProcessStarted));
    REQUIRE(ColdStartLimiter::mayBeUsed(kProcessStarted - 101, kProcessStarted));
    REQUIRE(ColdStartLimiter::mayBeUsed(0, kProcessStarted)); // unknown start
}
