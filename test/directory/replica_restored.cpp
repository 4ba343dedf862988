#include "directory/replica.h"

#include <catch2/catch.hpp>

#include "support/replica_steps.h"

using namespace celeryramp;
using namespace celeryramp::directory;
using Fixture = test::RestoredReplica;
using test::has;
using test::kGracePeriod;
using test::kNoRenewal;
using test::removal;
using test::server;
using test::ServerState;
using test::version;
using test::zone;

namespace {

using Items = std::vector<ItemChange>;

constexpr Millis kMoment{100};

} // namespace

// Guards against a replica that ignores the source until its revision has passed the lost ones.
TEST_CASE("Restored source: the list of a new era with a lower revision is used")
{
    Fixture it;
    it.list({version(3, {1, 40})}, {1, 50});
    it.now += Millis{1000};
    const auto events = it.list({version(4, {2, 18}), server("a", {}, {2, 19})}, {2, 20});
    CHECK(has(events, "source-restored"));
    CHECK(it.replica.position() == SourcePosition{2, 20});
    CHECK(it.versionInForce() == 4);
    CHECK(it.find("a") != nullptr);
    CHECK(it.replica.age(it.now) == Millis{0});
}

// Guards against changes that are taken over although those before them were never read.
TEST_CASE("Restored source: states of another era are not applied and confirm nothing")
{
    Fixture it;
    it.list({version(3, {2, 18}), server("a", {}, {2, 19})}, {2, 20});
    it.now += Millis{1000};
    SECTION("list of a former era")
    {
        const auto events = it.list({version(3, {1, 40}), server("b", {}, {1, 60})}, {1, 60});
        CHECK(has(events, "list-ignored"));
    }
    SECTION("changes of a former era")
    {
        it.change(server("b", {}, {1, 60}));
    }
    SECTION("removal of a former era")
    {
        it.change(removal("server/a", {1, 60}));
    }
    SECTION("changes of a later era")
    {
        it.change(server("b", {}, {3, 60}));
    }
    SECTION("no changes in a later era")
    {
        it.replica.applyChanges({}, {3, 60}, it.now, kNoRenewal, it.now);
    }
    CHECK(it.replica.position() == SourcePosition{2, 20});
    CHECK(it.find("a") != nullptr);
    CHECK(it.find("b") == nullptr);
    CHECK(it.replica.age(it.now) == Millis{1000});
}

// Guards against a confirmed version, or the withdrawal of a key, that is undone by a copy.
TEST_CASE("Restored source: a configuration is replaced by no older version")
{
    Fixture it;
    it.list({version(7, {1, 40})}, {1, 50});
    const auto inForce = it.replica.view()->routing;
    SECTION("the copy has an older one")
    {
        CHECK(has(it.list({version(6, {2, 30})}, {2, 45}), "item-outdated"));
        it.list({version(6, {2, 30})}, {2, 48});
        CHECK(it.replica.view()->routing == inForce);
        it.change(version(8, {2, 49}));
        CHECK(it.versionInForce() == 8);
    }
    SECTION("the copy has none")
    {
        it.list({}, {2, 20});
        it.list({}, {2, 21});
        CHECK(it.replica.view()->routing == inForce);
        it.change(version(6, {2, 22}));
        CHECK(it.replica.view()->routing == inForce);
        it.change(version(7, {2, 23}));
        it.change(version(8, {2, 24}));
        CHECK(it.versionInForce() == 8);
    }
    SECTION("the copy has a later one")
    {
        it.list({version(8, {2, 30})}, {2, 45});
        CHECK(it.versionInForce() == 8);
    }
}

// Guards against a version of the former era that is taken for the one of the same number.
TEST_CASE("Restored source: a version that is written again with other content is in force")
{
    Fixture it;
    it.list({version(7, {1, 40}, "former")}, {1, 50});
    const auto former = it.replica.view()->routing;
    SECTION("in the list")
    {
        it.list({version(7, {2, 30}, "other")}, {2, 45});
    }
    SECTION("after the list")
    {
        it.list({version(6, {2, 30})}, {2, 45});
        it.change(version(7, {2, 46}, "other"));
    }
    SECTION("after a list without any")
    {
        it.list({}, {2, 45});
        it.change(version(7, {2, 46}, "other"));
    }
    SECTION("after an unreadable one")
    {
        it.list({test::item("configuration", "", {2, 30})}, {2, 45});
        it.change(version(7, {2, 46}, "other"));
    }
    CHECK(it.versionInForce() == 7);
    CHECK(it.replica.view()->routing != former);
    const auto other = it.replica.view()->routing;
    it.change(version(7, {2, 47}, "again"));
    CHECK(it.replica.view()->routing == other);
}

// Guards against requests to a server that has reported that it leaves.
TEST_CASE("Restored source: a draining server that the copy lists as ready stays draining")
{
    Fixture it;
    it.list({server("a", {7, true}, {1, 40})}, {1, 50});
    CHECK(has(it.list({server("a", {6}, {2, 30})}, {2, 45}), "item-outdated"));
    it.list({server("a", {6}, {2, 30})}, {2, 46});
    it.pass(Replica::kRewriteTime * 2);
    CHECK(it.find("a")->isDraining);
    SECTION("until it publishes a later state")
    {
        it.change(server("a", {8}, {2, 47}));
        CHECK_FALSE(it.find("a")->isDraining);
    }
    SECTION("until it starts again")
    {
        it.change(server("a", {1, false, 2000}, {2, 47}));
        CHECK_FALSE(it.find("a")->isDraining);
    }
    SECTION("until its entry is removed")
    {
        it.change(removal("server/a", {2, 47}));
        CHECK(it.find("a") == nullptr);
    }
    SECTION("until a list lacks it")
    {
        it.list({}, {2, 47});
        CHECK(it.find("a") == nullptr);
    }
}

// Guards against requests to a server that has left.
TEST_CASE("Restored source: a removed server that the copy lists is withheld")
{
    Fixture it;
    it.list({server("a", {7}, {1, 40})}, {1, 50});
    it.change(removal("server/a", {1, 51}));
    CHECK(has(it.list({server("a", {7}, {2, 40})}, {2, 45}), "server-withheld"));
    it.pass(Replica::kRewriteTime - kMoment);
    it.list({server("a", {7}, {2, 40})}, {2, 46});
    CHECK(it.find("a") == nullptr);
    SECTION("until it publishes a later state")
    {
        it.change(server("a", {8}, {2, 47}));
        CHECK(it.find("a") != nullptr);
    }
    SECTION("until it starts again")
    {
        it.change(server("a", {1, false, 2000}, {2, 47}));
        CHECK(it.find("a") != nullptr);
    }
    SECTION("until the time to write it again has passed")
    {
        it.pass(kMoment);
        CHECK(it.find("a") != nullptr);
    }
    SECTION("for good once its entry is removed")
    {
        it.change(removal("server/a", {2, 47}));
        it.pass(kMoment);
        CHECK(it.find("a") == nullptr);
    }
}

// Guards against lost servers, all at once, since they had no time to write their entries again.
TEST_CASE("Restored source: a server that the copy lacks stays for the grace period")
{
    Fixture it;
    it.list({server("a", {7}, {1, 40}), server("b", {3, true}, {1, 41})}, {1, 50});
    CHECK(has(it.list({}, {2, 45}), "server-lapsed"));
    it.list({}, {2, 46});
    it.pass(kGracePeriod - kMoment);
    CHECK(it.find("a") != nullptr);
    CHECK(it.find("b") == nullptr);
    SECTION("no longer")
    {
        it.pass(kMoment);
        CHECK(it.find("a") == nullptr);
    }
    SECTION("for good once it is written again")
    {
        it.change(server("a", {7}, {2, 47}));
        it.pass(kGracePeriod);
        CHECK(it.find("a") != nullptr);
    }
}

// Guards against requests to an evacuated zone.
TEST_CASE("Restored source: an evacuated zone that the copy lacks stays evacuated")
{
    Fixture it;
    it.list({zone("north", {1, 40})}, {1, 50});
    CHECK(has(it.list({}, {2, 30}), "evacuation-retained"));
    it.pass(Replica::kRewriteTime - kMoment);
    it.list({}, {2, 31});
    CHECK(it.isEvacuated("north"));
    SECTION("until the time to write it again has passed")
    {
        it.pass(kMoment);
        CHECK_FALSE(it.isEvacuated("north"));
    }
    SECTION("until it is written again and removed")
    {
        it.change(zone("north", {2, 32}));
        it.pass(Replica::kRewriteTime);
        CHECK(it.isEvacuated("north"));
        it.change(removal("zone/north", {2, 33}));
        CHECK_FALSE(it.isEvacuated("north"));
    }
    SECTION("until it is written again and a list lacks it")
    {
        it.change(zone("north", {2, 32}));
        it.list({}, {2, 34});
        CHECK_FALSE(it.isEvacuated("north"));
    }
}

// Guards against a source that goes back again before what it lost could be written again.
TEST_CASE("Restored source: a second era gives the same time again")
{
    Fixture it;
    it.list({version(7, {1, 38}), zone("north", {1, 39}), server("a", {7}, {1, 40}),
             server("b", {7, true}, {1, 41})},
            {1, 50});
    it.change(removal("server/a", {1, 51}));
    const Items copy{version(6, {2, 30}), server("a", {7}, {2, 40}), server("b", {6}, {2, 35})};
    it.list(copy, {2, 45});
    it.pass(Replica::kRewriteTime - kMoment);
    Items second{version(5, {3, 20}), server("a", {7}, {3, 40}), server("b", {5}, {3, 25})};
    SECTION("with the entries of the first copy") { }
    SECTION("with older entries")
    {
        second[1] = server("a", {6}, {3, 22});
    }
    it.list(second, {3, 44});
    it.pass(Replica::kRewriteTime - kMoment);
    CHECK(it.versionInForce() == 7);
    CHECK(it.isEvacuated("north"));
    CHECK(it.find("a") == nullptr);
    CHECK(it.find("b")->isDraining);
    it.pass(kMoment);
    CHECK_FALSE(it.isEvacuated("north"));
    CHECK(it.find("a") != nullptr);
    CHECK(it.find("b")->isDraining);
}

// Guards against lost servers, since the source goes back again before they could write their
// entries.
TEST_CASE("Restored source: a server that two copies lack has its grace period from the second")
{
    Fixture it;
    it.list({server("a", {7}, {1, 40})}, {1, 50});
    it.list({}, {2, 45});
    it.pass(kGracePeriod - kMoment);
    it.list({}, {3, 40});
    it.pass(kGracePeriod - kMoment);
    CHECK(it.find("a") != nullptr);
    it.pass(kMoment);
    CHECK(it.find("a") == nullptr);
}

// Guards against a server that is forgotten since it was withheld once, so that a later copy
// counts.
TEST_CASE("Restored source: a server that was withheld counts as published afterwards")
{
    Fixture it;
    it.list({server("a", {7, true}, {1, 40})}, {1, 50});
    it.change(removal("server/a", {1, 51}));
    it.list({server("a", {7, true}, {2, 40})}, {2, 45});
    it.pass(Replica::kRewriteTime);
    REQUIRE(it.find("a")->isDraining);
    it.list({server("a", {6}, {3, 35})}, {3, 42});
    CHECK(it.find("a")->isDraining);
    it.pass(Replica::kRewriteTime);
    CHECK(it.find("a")->isDraining);
}
