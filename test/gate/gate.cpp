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

    GateSurroundings around(bool leaving = false)
    {
        return {snapshot.get(), leaving, &quarantined, waiting};
    }

    std::optional<QueuedCall> next(std::int64_t now)
    {
        return gate.next(around(), at(now), refusals);
    }
};

} // namespace

TEST_CASE("a gate runs no more at a time than its limit")
{
    Fixture f;
    for (std::uint64_t i = 1; i <= 6; ++i) {
        REQUIRE(f.gate.offer(callOf(i, "a", 0), f.around(), at(0)).empty());
    }
    REQUIRE(f.next(0));
    REQUIRE(f.next(0));
    REQUIRE_FALSE(f.next(0)); // a new server starts at two
    REQUIRE(f.gate.load().running == 2);
}

TEST_CASE("a gate refuses what must not run, each for its reason")
{
    Fixture f;
    SECTION("before the first configuration")
    {
        const GateSurroundings none{nullptr, false, &f.quarantined, 0};
        REQUIRE(f.gate.offer(callOf(1, "a", 0), none, at(0)).front().reason == Reason::NotReady);
    }
    SECTION("leaving")
    {
        REQUIRE(f.gate.offer(callOf(1, "a", 0), f.around(true), at(0)).front().reason
                == Reason::Draining);
    }
    SECTION("draining")
    {
        f.gate.drain();
        REQUIRE(f.gate.offer(callOf(1, "a", 0), f.around(), at(0)).front().reason
                == Reason::Draining);
    }
    SECTION("another service")
    {
        auto call = callOf(1, "a", 0);
        call.call.service = "orders";
        REQUIRE(f.gate.offer(call, f.around(), at(0)).front().reason == Reason::NoServer);
    }
    SECTION("a key that is not granted")
    {
        auto call = callOf(1, "acme", 0);
        call.call.keyId = "k9";
        REQUIRE(f.gate.offer(call, f.around(), at(0)).front().reason == Reason::BadKey);
        call.call.keyId = "k1";
        REQUIRE(f.gate.offer(call, f.around(), at(0)).empty());
    }
    SECTION("quarantined")
    {
        f.quarantined.insert("d1");
        REQUIRE(f.gate.offer(callOf(1, "a", 0), f.around(), at(0)).front().reason
                == Reason::Quarantined);
    }
    SECTION("too late")
    {
        REQUIRE(f.gate.offer(callOf(1, "a", 0, 0), f.around(), at(0)).front().reason
                == Reason::TooLate);
    }
}

TEST_CASE("what changed while a call waited counts when it leaves the queue")
{
    Fixture f;
    auto parts = testsupport::sampleParts();
    SECTION("the key was withdrawn")
    {
        auto call = callOf(1, "acme", 0);
        call.call.keyId = "k1";
        REQUIRE(f.gate.offer(call, f.around(), at(0)).empty());
        parts["keys"] = R"({"keys":{}})";
    }
    SECTION("the zone went out of service")
    {
        REQUIRE(f.gate.offer(callOf(1, "acme", 0), f.around(), at(0)).empty());
        auto &zones = parts["zones"];
        zones.replace(zones.find("\"in\""), 4, "\"out\"");
    }
    f.snapshot = buildSnapshot(makeDocument(2, parts)).value();
    REQUIRE_FALSE(f.next(1));
    REQUIRE(f.refusals.size() == 1);
}

TEST_CASE("overdue and cancelled calls are refused without having run")
{
    Fixture f;
    REQUIRE(f.gate.offer(callOf(1, "a", 0, 10), f.around(), at(0)).empty());
    REQUIRE(f.gate.offer(callOf(2, "a", 0), f.around(), at(0)).empty());
    REQUIRE(f.gate.cancel(2, 0));
    REQUIRE_FALSE(f.gate.cancel(2, 0));
    REQUIRE_FALSE(f.next(20));
    REQUIRE(f.refusals.size() == 1);
    REQUIRE(f.refusals.front().reason == Reason::TooLate);
    REQUIRE(f.gate.isIdle());
}

TEST_CASE("a running call can no longer be cancelled")
{
    Fixture f;
    REQUIRE(f.gate.offer(callOf(1, "a", 0), f.around(), at(0)).empty());
    const auto call = f.next(0);
    REQUIRE(call);
    REQUIRE_FALSE(f.gate.cancel(1, 0));
    f.gate.finished(Evidence::InTarget, Micros{1000}, 0, at(1));
    REQUIRE(f.gate.isIdle());
}

TEST_CASE("a call that may try other gates is not kept by a busy one")
{
    Fixture f;
    auto choosy = callOf(1, "a", 0);
    choosy.call.mayQueue = false;
    REQUIRE(f.gate.offer(choosy, f.around(), at(0)).empty());
    REQUIRE(f.next(0));
    REQUIRE(f.gate.offer(callOf(2, "a", 0), f.around(), at(0)).empty());
    choosy.call.id = 3;
    const auto refused = f.gate.offer(choosy, f.around(), at(0));
    REQUIRE(refused.size() == 1);
    REQUIRE(refused.front().reason == Reason::Busy);
    REQUIRE(f.gate.offer(callOf(4, "a", 0), f.around(), at(0)).empty());
}

TEST_CASE("nested calls go first and find room that outside calls leave")
{
    Fixture f;
    REQUIRE(f.gate.offer(callOf(1, "a", 0), f.around(), at(0)).empty());
    REQUIRE(f.gate.offer(callOf(2, "a", 0, 1000, 3), f.around(), at(0)).empty());
    REQUIRE(f.next(0)->call.id == 2);
}

TEST_CASE("calls whose server waits for calls of its own leave their part of the limit to others")
{
    Fixture f;
    for (std::uint64_t i = 1; i <= 6; ++i) {
        REQUIRE(f.gate.offer(callOf(i, "a", 0), f.around(), at(0)).empty());
    }
    REQUIRE(f.next(0));
    REQUIRE(f.next(0));
    REQUIRE_FALSE(f.next(0));
    f.waiting = 2;
    REQUIRE(f.next(0));
    REQUIRE(f.next(0));
    f.waiting = 4;
    REQUIRE_FALSE(f.next(0)); // four slots, all of them held
}

TEST_CASE("a nested call is refused when only waiting calls hold the slots")
{
    Fixture f;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        REQUIRE(f.gate.offer(callOf(i, "a", 0), f.around(), at(0)).empty());
        REQUIRE(f.next(0));
        f.waiting = static_cast<int>(i);
    }
    const auto refused = f.gate.offer(callOf(9, "a", 0, 1000, 5), f.around(), at(0));
    REQUIRE(refused.size() == 1);
    REQUIRE(refused.front().reason == Reason::Busy);
    f.waiting = 3;
    REQUIRE(f.gate.offer(callOf(10, "a", 0, 1000, 5), f.around(), at(0)).empty());
}

TEST_CASE("every call offered is run or refused exactly once")
{
    REQUIRE(rc::check("random work", [] {
        Fixture f;
        std::map<std::uint64_t, int> ends;
        std::vector<QueuedCall> running;
        std::uint64_t offered = 0;
        std::int64_t now = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        const auto note = [&](const std::vector<Refusal> &refusals) {
            for (const auto &refusal : refusals) {
                ++ends[refusal.call.call.id];
            }
        };
        for (const auto step : steps) {
            now += step % 13;
            if (step < 50) {
                note(f.gate.offer(callOf(++offered, std::to_string(step % 4), now, step * 3),
                                  f.around(), at(now)));
            } else if (step < 75) {
                f.refusals.clear();
                if (auto call = f.next(now)) {
                    ++ends[call->call.id];
                    running.push_back(*call);
                }
                note(f.refusals);
            } else if (step < 95 && !running.empty()) {
                f.gate.finished(static_cast<Evidence>(step % 4), Micros{1000}, 0, at(now));
                running.pop_back();
            } else if (const auto call = f.gate.cancel(static_cast<std::uint64_t>(step % 9), 0)) {
                ++ends[call->call.id];
            }
            RC_ASSERT(f.gate.load().limit >= 1U);
            RC_ASSERT(f.gate.load().limit <= 4U);
            RC_ASSERT(f.gate.load().running == running.size());
        }
        f.refusals.clear();
        static_cast<void>(f.next(now + 100'000));
        note(f.refusals);
        RC_ASSERT(ends.size() == offered);
        for (const auto &[id, n] : ends) {
            RC_ASSERT(n == 1);
        }
    }));
}
