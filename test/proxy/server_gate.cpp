#include "proxy/server_gate.h"

#include <deque>

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

TEST_CASE("Never more run than the server has slots")
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
    gate.finished(HandoverEnd::Served, Micros{90'000}, kStart);
    REQUIRE(gate.next(kStart));
    REQUIRE_FALSE(gate.next(kStart));
}

TEST_CASE("Calls of servers go first, then rank, then the nearer target")
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
        gate.finished(HandoverEnd::NotSent, Micros{0}, kStart);
    }
    REQUIRE(order == std::vector<std::uint64_t>{5, 4, 3, 2, 1});
}

TEST_CASE("Pattern: overload with many late calls, those that can be in time go first")
{
    auto gate = openGate(1);
    static_cast<void>(gate.offer(call(1, 0, Millis{10}), kStart));
    static_cast<void>(gate.offer(call(2, 3, Millis{900}), kStart));
    REQUIRE(*gate.next(kStart) == 2);
}

TEST_CASE("Pattern: a burst beyond what the server can do is refused at once, not held")
{
    auto gate = openGate(2);
    int taken = 0;
    int refused = 0;
    for (std::uint64_t i = 1; i <= 200; ++i) {
        (gate.offer(call(i), kStart) == Reason::None ? taken : refused) += 1;
        static_cast<void>(gate.next(kStart));
    }
    // 2 slots of 100 ms a call end 20 calls a second; the deadline is 1.5 s away.
    REQUIRE(taken >= 20);
    REQUIRE(taken <= 33);
    REQUIRE(refused == 200 - taken);
}

TEST_CASE("Pattern: urgent calls push others out, these are refused while a retry still helps")
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

TEST_CASE("A cold server gets no more in any second than it bears")
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
            gate.finished(HandoverEnd::Served, Micros{5000}, now);
        }
    }
    REQUIRE(handed.size() >= 25);
    for (std::size_t i = 10; i < handed.size(); ++i) {
        REQUIRE(handed[i] - handed[i - 10] >= Millis{1000});
    }
}

TEST_CASE("A closed gate refuses what comes and what waits, with its reason")
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

TEST_CASE("A cancelled call frees its place in the queue only")
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

TEST_CASE("Pattern: a node restarts beside a cold server, whose last second is not known")
{
    auto gate = openGate(50, 10.0);
    gate.cold().markCold(kStart + Millis{3000});
    gate.cold().markUsed(kStart);
    static_cast<void>(gate.offer(call(1), kStart));
    REQUIRE_FALSE(gate.next(kStart + Millis{999}));
    REQUIRE(gate.next(kStart + Millis{1000}));
    SECTION("shown to be warm, it is not held back")
    {
        gate.cold().markUsed(kStart + Millis{1000});
        gate.cold().markWarm(kStart + Millis{1001});
        static_cast<void>(gate.offer(call(2), kStart + Millis{1001}));
        REQUIRE(gate.next(kStart + Millis{1001}));
    }
}

TEST_CASE(
        "Pattern: overload by urgent calls, the work of servers that wait for answers is not lost")
{
    auto gate = openGate(1);
    REQUIRE(gate.offer(call(1), kStart) == Reason::None);
    REQUIRE(gate.next(kStart));
    for (std::uint64_t i = 10; i < 13; ++i) {
        REQUIRE(gate.offer(call(i, 0), kStart) == Reason::None);
    }
    REQUIRE(gate.offer(call(20, 2, Millis{150}, Millis{500}, true), kStart) == Reason::None);
    gate.finished(HandoverEnd::Served, Micros{100'000}, kStart);
    REQUIRE(*gate.next(kStart) == 20);
}

TEST_CASE("Pattern: lasting overload, late calls are told at once in place of waiting in vain")
{
    auto gate = openGate(4);
    auto now = kStart;
    std::uint64_t ticket = 1;
    int lateTaken = 0;
    std::deque<TimePoint> ends;
    // 4 slots of 100 ms bear 40 calls a second; 50 come that can be in time, and 10 late ones.
    for (int ms = 0; ms < 4000; ms += 20) {
        now = kStart + Millis{ms};
        while (!ends.empty() && ends.front() <= now) {
            ends.pop_front();
            gate.finished(HandoverEnd::Served, Micros{100'000}, now);
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

TEST_CASE("Pattern: a server turns slow, its gate learns it from calls that were given up")
{
    auto gate = openGate(16);
    auto now = kStart;
    for (std::uint64_t i = 1; i <= 16; ++i) {
        REQUIRE(gate.offer(call(i, 0, Millis{500}, Millis{1500}, false, now), now) == Reason::None);
        REQUIRE(gate.next(now));
    }
    now += Millis{1500};
    for (int i = 0; i < 16; ++i) {
        gate.finished(HandoverEnd::Cancelled, Micros{1'500'000}, now);
    }
    REQUIRE(gate.load(now).badPercent > 50);
    SECTION("and from those that it served late")
    {
        for (std::uint64_t i = 20; i < 40; ++i) {
            REQUIRE(gate.offer(call(i, 0, Millis{500}, Millis{1500}, false, now), now)
                    == Reason::None);
            REQUIRE(gate.next(now));
            gate.finished(HandoverEnd::Served, Micros{1'200'000}, now);
        }
        REQUIRE(gate.load(now).serviceMillis > 900);
    }
}

TEST_CASE("Pattern: callers that leave early tell nothing against the server")
{
    auto gate = openGate(16);
    for (std::uint64_t i = 1; i <= 16; ++i) {
        REQUIRE(gate.offer(call(i), kStart) == Reason::None);
        REQUIRE(gate.next(kStart));
    }
    for (int i = 0; i < 16; ++i) {
        gate.finished(HandoverEnd::Cancelled, Micros{50'000}, kStart + Millis{50});
    }
    REQUIRE(gate.load(kStart + Millis{50}).serviceMillis == 100);
    REQUIRE(gate.load(kStart + Millis{50}).badPercent == 0);
}

TEST_CASE("Pattern: a grey server is told by its gate and forgiven with time")
{
    auto gate = openGate(16);
    auto now = kStart;
    for (std::uint64_t i = 1; i <= 60; ++i) {
        now += Millis{20};
        REQUIRE(gate.offer(call(i, 0, Millis{500}, Millis{1500}, false, now), now) == Reason::None);
        REQUIRE(gate.next(now));
        gate.finished(i % 2 == 0 ? HandoverEnd::Failed : HandoverEnd::Served, Micros{10'000}, now);
    }
    const auto told = gate.load(now).badPercent;
    REQUIRE(told > 30);
    REQUIRE(told < 70);
    REQUIRE(gate.load(now + Millis{9000}).badPercent < 5);
}

TEST_CASE("Pattern: all servers are cold, calls of those that were handed work find room as well")
{
    auto gate = openGate(16, 15.0);
    gate.cold().markCold(kStart + Millis{5000});
    std::uint64_t ticket = 1;
    int nestedServed = 0;
    int nestedSent = 0;
    for (int ms = 0; ms < 4000; ms += 5) {
        const auto now = kStart + Millis{ms};
        // Far more direct work than the server bears, and five nested calls a second.
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
            gate.finished(HandoverEnd::Served, Micros{100'000}, now);
        }
        static_cast<void>(gate.expire(now));
    }
    REQUIRE(nestedServed >= nestedSent * 9 / 10);
}
