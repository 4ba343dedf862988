#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "gate/gate.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

QueuedCall callOf(std::uint64_t id, const std::string &account, std::int64_t now,
                  std::int64_t deadline = 1000, std::uint32_t depth = 0)
{
    QueuedCall call;
    call.call.id = id;
    call.call.service = "stock";
    call.call.account = account;
    call.call.digest = "d" + std::to_string(id);
    call.call.depth = depth;
    call.call.mayQueue = true;
    call.arrivedAt = at(now);
    call.deadline = at(now + deadline);
    call.dueAt = at(now + 50);
    return call;
}

struct Fixture
{
    SnapshotPtr snapshot = testsupport::sampleSnapshot(1);
    std::set<std::string> quarantined;
    Gate gate{"s-z0-0", 4, 8};
    std::vector<Refusal> refusals;
    int waiting = 0;

    GateInputs inputs(bool leaving = false)
    {
        return {snapshot.get(), leaving, &quarantined, waiting};
    }

    std::optional<QueuedCall> next(std::int64_t now)
    {
        return gate.next(inputs(), at(now), refusals);
    }
};

} // namespace

TEST_CASE("a gate runs no more calls concurrently than its limit")
{
    Fixture fixture;
    for (std::uint64_t i = 1; i <= 6; ++i) {
        REQUIRE(fixture.gate.offer(callOf(i, "a", 0), fixture.inputs(), at(0)).empty());
    }
    REQUIRE(fixture.next(0));
    REQUIRE(fixture.next(0));
    REQUIRE_FALSE(fixture.next(0)); // The initial limit is two.
    REQUIRE(fixture.gate.load().running == 2);
}

TEST_CASE("a gate refuses calls that must not run with the right reason")
{
    Fixture fixture;
    SECTION("before the first configuration")
    {
        const GateInputs none{nullptr, false, &fixture.quarantined, 0};
        REQUIRE(fixture.gate.offer(callOf(1, "a", 0), none, at(0)).front().reason
                == Reason::NotReady);
    }
    SECTION("leaving")
    {
        REQUIRE(fixture.gate.offer(callOf(1, "a", 0), fixture.inputs(true), at(0)).front().reason
                == Reason::Draining);
    }
    SECTION("draining")
    {
        fixture.gate.drain();
        REQUIRE(fixture.gate.offer(callOf(1, "a", 0), fixture.inputs(), at(0)).front().reason
                == Reason::Draining);
    }
    SECTION("another service")
    {
        auto call = callOf(1, "a", 0);
        call.call.service = "orders";
        REQUIRE(fixture.gate.offer(call, fixture.inputs(), at(0)).front().reason
                == Reason::NoServer);
    }
    SECTION("a key that is not granted")
    {
        auto call = callOf(1, "acme", 0);
        call.call.keyId = "k9";
        REQUIRE(fixture.gate.offer(call, fixture.inputs(), at(0)).front().reason == Reason::BadKey);
        call.call.keyId = "k1";
        REQUIRE(fixture.gate.offer(call, fixture.inputs(), at(0)).empty());
    }
    SECTION("quarantined")
    {
        fixture.quarantined.insert("d1");
        REQUIRE(fixture.gate.offer(callOf(1, "a", 0), fixture.inputs(), at(0)).front().reason
                == Reason::Quarantined);
    }
    SECTION("too late")
    {
        REQUIRE(fixture.gate.offer(callOf(1, "a", 0, 0), fixture.inputs(), at(0)).front().reason
                == Reason::TooLate);
    }
}

TEST_CASE("keys and zone status are checked again when a call leaves the queue")
{
    Fixture fixture;
    auto parts = testsupport::sampleParts();
    SECTION("the key was withdrawn")
    {
        auto call = callOf(1, "acme", 0);
        call.call.keyId = "k1";
        REQUIRE(fixture.gate.offer(call, fixture.inputs(), at(0)).empty());
        parts["keys"] = R"({"keys":{}})";
    }
    SECTION("the zone went out of service")
    {
        REQUIRE(fixture.gate.offer(callOf(1, "acme", 0), fixture.inputs(), at(0)).empty());
        auto &zones = parts["zones"];
        zones.replace(zones.find("\"in\""), 4, "\"out\"");
    }
    fixture.snapshot = buildSnapshot(makeDocument(2, parts)).value();
    REQUIRE_FALSE(fixture.next(1));
    REQUIRE(fixture.refusals.size() == 1);
}

TEST_CASE("overdue and cancelled calls do not run")
{
    Fixture fixture;
    REQUIRE(fixture.gate.offer(callOf(1, "a", 0, 10), fixture.inputs(), at(0)).empty());
    REQUIRE(fixture.gate.offer(callOf(2, "a", 0), fixture.inputs(), at(0)).empty());
    REQUIRE(fixture.gate.cancel(2, 0));
    REQUIRE_FALSE(fixture.gate.cancel(2, 0));
    REQUIRE_FALSE(fixture.next(20));
    REQUIRE(fixture.refusals.size() == 1);
    REQUIRE(fixture.refusals.front().reason == Reason::TooLate);
    REQUIRE(fixture.gate.isIdle());
}

TEST_CASE("a running call can no longer be cancelled")
{
    Fixture fixture;
    REQUIRE(fixture.gate.offer(callOf(1, "a", 0), fixture.inputs(), at(0)).empty());
    const auto call = fixture.next(0);
    REQUIRE(call);
    REQUIRE_FALSE(fixture.gate.cancel(1, 0));
    fixture.gate.finished(Evidence::InTarget, Micros{1000}, 0, at(1));
    REQUIRE(fixture.gate.isIdle());
}

TEST_CASE("a busy gate refuses calls that must not queue")
{
    Fixture fixture;
    auto unqueued = callOf(1, "a", 0);
    unqueued.call.mayQueue = false;
    REQUIRE(fixture.gate.offer(unqueued, fixture.inputs(), at(0)).empty());
    REQUIRE(fixture.next(0));
    REQUIRE(fixture.gate.offer(callOf(2, "a", 0), fixture.inputs(), at(0)).empty());
    unqueued.call.id = 3;
    const auto refused = fixture.gate.offer(unqueued, fixture.inputs(), at(0));
    REQUIRE(refused.size() == 1);
    REQUIRE(refused.front().reason == Reason::Busy);
    REQUIRE(fixture.gate.offer(callOf(4, "a", 0), fixture.inputs(), at(0)).empty());
}

TEST_CASE("nested calls run before outside calls")
{
    Fixture fixture;
    REQUIRE(fixture.gate.offer(callOf(1, "a", 0), fixture.inputs(), at(0)).empty());
    REQUIRE(fixture.gate.offer(callOf(2, "a", 0, 1000, 3), fixture.inputs(), at(0)).empty());
    REQUIRE(fixture.next(0)->call.id == 2);
}

TEST_CASE("calls that wait for nested calls do not count towards the limit")
{
    Fixture fixture;
    for (std::uint64_t i = 1; i <= 6; ++i) {
        REQUIRE(fixture.gate.offer(callOf(i, "a", 0), fixture.inputs(), at(0)).empty());
    }
    REQUIRE(fixture.next(0));
    REQUIRE(fixture.next(0));
    REQUIRE_FALSE(fixture.next(0));
    fixture.waiting = 2;
    REQUIRE(fixture.next(0));
    REQUIRE(fixture.next(0));
    fixture.waiting = 4;
    REQUIRE_FALSE(fixture.next(0)); // All four slots are occupied.
}

TEST_CASE("a nested call is refused when only waiting calls hold the slots")
{
    Fixture fixture;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        REQUIRE(fixture.gate.offer(callOf(i, "a", 0), fixture.inputs(), at(0)).empty());
        REQUIRE(fixture.next(0));
        fixture.waiting = static_cast<int>(i);
    }
    const auto refused = fixture.gate.offer(callOf(9, "a", 0, 1000, 5), fixture.inputs(), at(0));
    REQUIRE(refused.size() == 1);
    REQUIRE(refused.front().reason == Reason::Busy);
    fixture.waiting = 3;
    REQUIRE(fixture.gate.offer(callOf(10, "a", 0, 1000, 5), fixture.inputs(), at(0)).empty());
}

TEST_CASE("every call offered is run or refused exactly once")
{
    REQUIRE(rc::check("random work", [] {
        Fixture fixture;
        std::map<std::uint64_t, int> ends;
        std::vector<QueuedCall> running;
        std::uint64_t offered = 0;
        std::int64_t now = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        const auto countRefusals = [&](const std::vector<Refusal> &refusals) {
            for (const auto &refusal : refusals) {
                ++ends[refusal.call.call.id];
            }
        };
        for (const auto step : steps) {
            now += step % 13;
            if (step < 50) {
                countRefusals(fixture.gate.offer(
                        callOf(++offered, std::to_string(step % 4), now, step * 3),
                        fixture.inputs(), at(now)));
            } else if (step < 75) {
                fixture.refusals.clear();
                if (auto call = fixture.next(now)) {
                    ++ends[call->call.id];
                    running.push_back(*call);
                }
                countRefusals(fixture.refusals);
            } else if (step < 95 && !running.empty()) {
                fixture.gate.finished(static_cast<Evidence>(step % 4), Micros{1000}, 0, at(now));
                running.pop_back();
            } else if (const auto call
                       = fixture.gate.cancel(static_cast<std::uint64_t>(step % 9), 0)) {
                ++ends[call->call.id];
            }
            RC_ASSERT(fixture.gate.load().limit >= 1U);
            RC_ASSERT(fixture.gate.load().limit <= 4U);
            RC_ASSERT(fixture.gate.load().running == running.size());
        }
        fixture.refusals.clear();
        static_cast<void>(fixture.next(now + 100'000));
        countRefusals(fixture.refusals);
        RC_ASSERT(ends.size() == offered);
        for (const auto &[id, count] : ends) {
            RC_ASSERT(count == 1);
        }
    }));
}
