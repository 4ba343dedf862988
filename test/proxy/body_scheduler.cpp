#include "proxy/body_scheduler.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;
using Key = BodyScheduler::Key;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

std::size_t takeAll(BodyScheduler &scheduler, const Key &key, TimePoint now)
{
    std::size_t n = 0;
    while (const auto grant = scheduler.next(now)) {
        n += grant->key == key ? grant->bytes : 0;
    }
    return n;
}

} // namespace

TEST_CASE("Pattern: callers that read slowly - the link is used at its rate for the others")
{
    // 14 Mbit/s; nothing of the first bodies is ever acknowledged.
    BodyScheduler scheduler;
    scheduler.setRate(14.0);
    for (std::uint64_t i = 0; i < 8; ++i) {
        scheduler.add({"peer-" + std::to_string(i), i}, true, kStart);
        scheduler.onAvailable({"peer-" + std::to_string(i), i}, 90'000);
    }
    std::size_t sent = 0;
    for (auto now = kStart; now < kStart + Millis{250}; now += Millis{1}) {
        while (const auto grant = scheduler.next(now)) {
            sent += grant->bytes;
        }
    }
    REQUIRE(sent >= 400'000);
    REQUIRE(sent <= 250 * 1750 + 2 * 35'000 + 16 * 1024);
    REQUIRE(scheduler.pause(kStart + Millis{250}).has_value());
}

TEST_CASE("Pattern: many downloads on a slow link - few bytes are under way and the oldest first")
{
    BodyScheduler scheduler;
    for (std::uint64_t i = 0; i < 20; ++i) {
        scheduler.add({"peer-" + std::to_string(i), i}, true, kStart);
        scheduler.onAvailable({"peer-" + std::to_string(i), i}, 90'000);
    }
    std::size_t underWay = 0;
    while (const auto grant = scheduler.next(kStart)) {
        underWay += grant->bytes;
    }
    REQUIRE(underWay <= 112 * 1024);
    REQUIRE(underWay >= 96 * 1024);
    // A link of 1 MB/s: each body is complete before the next but one begins.
    auto now = kStart;
    std::vector<std::uint64_t> done;
    std::map<std::uint64_t, std::size_t> credited;
    std::uint64_t head = 0;
    while (done.size() < 19 && now < kStart + Millis{5000}) {
        now += Millis{16};
        const Key key{"peer-" + std::to_string(head), head};
        scheduler.onCredit(key, 16'384, now);
        credited[head] += 16'384;
        if (credited[head] >= 90'000) {
            done.push_back(head);
            scheduler.remove(key);
            ++head;
        }
        while (scheduler.next(now)) { }
    }
    REQUIRE(done.size() == 19);
}

TEST_CASE("Pattern: a receiver stops reading - the bodies for others go on")
{
    BodyScheduler scheduler;
    const Key slow{"slow", 1};
    const Key other{"other", 2};
    scheduler.add(slow, true, kStart);
    scheduler.onAvailable(slow, 1'000'000);
    REQUIRE(takeAll(scheduler, slow, kStart) > 0);
    scheduler.add(other, true, kStart);
    scheduler.onAvailable(other, 50'000);
    REQUIRE(takeAll(scheduler, other, kStart + Millis{100}) == 0);
    REQUIRE(takeAll(scheduler, other, kStart + Millis{400}) == 50'000);
    // The slow one goes on where it stopped.
    scheduler.onCredit(slow, 40'000, kStart + Millis{500});
    scheduler.remove(other);
    REQUIRE(takeAll(scheduler, slow, kStart + Millis{500}) > 0);
}

TEST_CASE("Bodies for the own node are bounded each and do not count on the link")
{
    BodyScheduler scheduler;
    const Key own{"own", 1};
    scheduler.add(own, false, kStart);
    scheduler.onAvailable(own, 10'000'000);
    const auto n = takeAll(scheduler, own, kStart);
    REQUIRE(n >= 192 * 1024);
    REQUIRE(n < 192 * 1024 + 16 * 1024);
    const Key peer{"peer", 2};
    scheduler.add(peer, true, kStart);
    scheduler.onAvailable(peer, 20'000);
    REQUIRE(takeAll(scheduler, peer, kStart) == 20'000);
}

TEST_CASE("A removed body and credits for it change nothing")
{
    BodyScheduler scheduler;
    scheduler.add({"a", 1}, true, kStart);
    scheduler.onAvailable({"a", 1}, 5000);
    scheduler.remove({"a", 1});
    scheduler.onCredit({"a", 1}, 5000, kStart);
    scheduler.onAvailable({"a", 1}, 5000);
    REQUIRE_FALSE(scheduler.next(kStart));
    REQUIRE(scheduler.isEmpty());
}

TEST_CASE("A body that was sent counts until it is acknowledged")
{
    BodyScheduler scheduler;
    const Key first{"a", 1};
    const Key second{"b", 2};
    for (const auto &key : {first, second}) {
        scheduler.add(key, true, kStart);
        scheduler.onAvailable(key, 90'000);
    }
    REQUIRE(takeAll(scheduler, first, kStart) == 90'000);
    scheduler.finish(first);
    scheduler.onCredit(first, 20'000, kStart + Millis{20});
    REQUIRE(takeAll(scheduler, second, kStart + Millis{20}) <= 32'768);
    scheduler.onCredit(first, 70'000, kStart + Millis{80});
    REQUIRE(takeAll(scheduler, second, kStart + Millis{80}) > 50'000);
    scheduler.finish(second);
    scheduler.removeAll("b");
    REQUIRE(scheduler.isEmpty());
}

TEST_CASE("A finished body that is never acknowledged is forgotten")
{
    BodyScheduler scheduler;
    scheduler.add({"a", 1}, true, kStart);
    scheduler.onAvailable({"a", 1}, 50'000);
    REQUIRE(takeAll(scheduler, {"a", 1}, kStart) == 50'000);
    scheduler.finish({"a", 1});
    scheduler.sweep(kStart + Millis{4000});
    REQUIRE_FALSE(scheduler.isEmpty());
    scheduler.sweep(kStart + Millis{5100});
    REQUIRE(scheduler.isEmpty());
}
