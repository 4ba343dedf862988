#include "directory/replica.h"

#include <catch2/catch.hpp>

#include "support/replica_steps.h"

using namespace celeryramp;
using namespace celeryramp::directory;
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

const TimePoint kStart{std::chrono::hours{1}};
constexpr Millis kMoment{100};

/*! @brief A replica that reads a source and hears of peers. */
struct Fixture
{
    const test::TextDecoder decoder{};
    Replica replica{decoder, kGracePeriod};
    TimePoint now = kStart;

    std::vector<ReplicaEvent> list(const Items &items, const SourcePosition &position)
    {
        return replica.applyList(items, position, now, kNoRenewal, now);
    }
    std::vector<ReplicaEvent> change(const ItemChange &change)
    {
        return replica.applyChanges({change}, change.position(), now, kNoRenewal, now);
    }
    std::vector<ReplicaEvent> pass(Millis time)
    {
        now += time;
        return replica.expire(now);
    }
    [[nodiscard]] std::uint64_t versionInForce() const
    {
        return replica.view()->routing->version();
    }
    [[nodiscard]] const BackendServer *find(const std::string &id) const
    {
        return replica.view()->findServer(id);
    }
    [[nodiscard]] bool isEvacuated(const std::string &name) const
    {
        return replica.view()->evacuatedZones.count(name) > 0;
    }
};

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

namespace {

/*! @brief A node that reads the source and a peer that is cut off from it. */
struct Pair
{
    Fixture reader;
    Fixture peer;

    void list(const Items &items, const SourcePosition &position)
    {
        reader.list(items, position);
        peer.list(items, position);
    }
    void pass(Millis time)
    {
        reader.pass(time);
        peer.pass(time);
    }
    static void sync(const Fixture &from, Fixture &to)
    {
        test::sync(from.replica, to.replica, to.now);
    }
};

} // namespace

// Guards against a node that stays in the former era for as long as it cannot read.
TEST_CASE("Restored source: a replica of the former era catches up from a peer")
{
    Pair nodes;
    const std::string large(200, '{');
    nodes.list({version(7, {1, 38}, large), server("a", {7}, {1, 39}), zone("north", {1, 40})},
               {1, 50});
    nodes.peer.change(version(8, {1, 51}, large));
    nodes.reader.list({version(6, {2, 30}, large), server("a", {7}, {2, 31})}, {2, 45});
    nodes.reader.change(version(8, {2, 46}, large));
    nodes.reader.change(server("c", {1}, {2, 47}));
    nodes.sync(nodes.reader, nodes.peer);
    CHECK(nodes.peer.replica.position() == SourcePosition{2, 47});
    CHECK(nodes.peer.versionInForce() == 8);
    CHECK(nodes.peer.find("a") != nullptr);
    CHECK(nodes.peer.find("c") != nullptr);
    CHECK(nodes.peer.isEvacuated("north"));
    CHECK(nodes.peer.replica.holds("configuration", {2, 46}));
    // The next change of the reader fits.
    auto [delta, base] = nodes.reader.replica.asDelta(version(9, {2, 48}, large));
    REQUIRE(base == SourcePosition{2, 46});
    const auto whole = nodes.peer.replica.fromDelta(std::move(delta), base);
    REQUIRE(whole);
    CHECK(whole->value == version(9, {}, large).value);
}

// Guards against an evacuation that only the reader ends: the others do not see that it is
// retained.
TEST_CASE("Restored source: an evacuation that a peer retains ends in time at every replica")
{
    Pair nodes;
    SECTION("that held it")
    {
        nodes.list({zone("north", {1, 40})}, {1, 50});
        nodes.reader.list({}, {2, 30});
    }
    SECTION("that never had it")
    {
        nodes.reader.list({zone("north", {1, 40})}, {1, 50});
        nodes.reader.list({}, {2, 30});
        nodes.peer.list({}, {2, 29});
    }
    SECTION("that held it and goes back twice")
    {
        nodes.list({zone("north", {1, 40})}, {1, 50});
        nodes.reader.list({}, {2, 30});
        nodes.reader.list({}, {3, 20});
    }
    nodes.sync(nodes.reader, nodes.peer);
    nodes.pass(Replica::kRewriteTime - kMoment);
    nodes.pass(kMoment);
    CHECK_FALSE(nodes.reader.isEvacuated("north"));
    CHECK_FALSE(nodes.peer.isEvacuated("north"));
    // The one that has ended it first does not get it back.
    nodes.sync(nodes.peer, nodes.reader);
    CHECK_FALSE(nodes.reader.isEvacuated("north"));
}

// Guards against an evacuation without end, whose removal is hidden by what a peer retains.
TEST_CASE(
        "Restored source: a removed evacuation ends although a peer retains that of the former era")
{
    Pair nodes;
    nodes.reader.list({zone("north", {1, 40})}, {1, 50});
    nodes.peer.list({zone("north", {2, 31})}, {2, 31});
    nodes.reader.list({}, {2, 32});
    REQUIRE(nodes.reader.isEvacuated("north"));
    nodes.sync(nodes.reader, nodes.peer);
    CHECK(nodes.peer.replica.position() == SourcePosition{2, 32});
    CHECK_FALSE(nodes.peer.isEvacuated("north"));
}

// Guards against a delta that is taken for one against a value of the same revision.
TEST_CASE("Restored source: a delta against the other era does not apply")
{
    Pair nodes;
    const std::string large(200, '{');
    nodes.list({version(7, {1, 40}, large)}, {1, 50});
    nodes.reader.list({version(8, {2, 40}, large)}, {2, 45});
    auto [delta, base] = nodes.reader.replica.asDelta(version(9, {2, 46}, large));
    REQUIRE(base == SourcePosition{2, 40});
    CHECK_FALSE(nodes.peer.replica.fromDelta(delta, base));
    CHECK_FALSE(nodes.peer.replica.holds("configuration", {2, 40}));
    CHECK(nodes.reader.replica.holds("configuration", {1, 40}));
    // A peer of the former era gets one against what it holds.
    const auto items = nodes.reader.replica.itemsSince({{1, 50}, 7, true});
    CHECK(items.at(0).base == SourcePosition{1, 40});
    CHECK(nodes.peer.replica.fromDelta(items.at(0).item, items.at(0).base)->value
          == version(8, {}, large).value);
}

// Guards against a cut-off node that takes the others back to the former era.
TEST_CASE("Restored source: a peer of the former era takes no replica back")
{
    Pair nodes;
    nodes.list({version(7, {1, 38}), server("a", {7}, {1, 40})}, {1, 50});
    nodes.peer.change(server("b", {1}, {1, 51}));
    nodes.peer.change(removal("server/a", {1, 52}));
    nodes.reader.list({version(6, {2, 30}), server("a", {7}, {2, 31})}, {2, 45});
    nodes.reader.now += Millis{1000};
    nodes.peer.now += Millis{1000};
    nodes.peer.replica.confirm(nodes.peer.now);
    nodes.sync(nodes.peer, nodes.reader);
    CHECK(nodes.reader.replica.position() == SourcePosition{2, 45});
    CHECK(nodes.reader.find("a") != nullptr);
    CHECK(nodes.reader.find("b") == nullptr);
    CHECK(nodes.reader.replica.age(nodes.reader.now) == Millis{1000});
}

// Guards against a restarted node that serves what the copy has, although its peers know better.
TEST_CASE("Restored source: a restarted node gets the later version of a peer and nothing else")
{
    Pair nodes;
    nodes.reader.list({version(8, {1, 38}), server("a", {7}, {1, 39}), zone("north", {1, 40})},
                      {1, 50});
    nodes.reader.change(removal("server/a", {1, 51}));
    const Items copy{version(6, {2, 30}), server("a", {7}, {2, 31})};
    SECTION("from a peer of the same state")
    {
        nodes.reader.list(copy, {2, 45});
    }
    SECTION("from a peer that has read less of the era")
    {
        nodes.reader.list(copy, {2, 44});
    }
    SECTION("from a peer of the former era") { }
    nodes.peer.list(copy, {2, 45});
    REQUIRE(nodes.peer.versionInForce() == 6);
    nodes.sync(nodes.reader, nodes.peer);
    CHECK(nodes.peer.versionInForce() == 8);
    CHECK(nodes.peer.replica.position() == SourcePosition{2, 45});
    CHECK(nodes.peer.find("a") != nullptr);
    CHECK_FALSE(nodes.peer.isEvacuated("north"));
    // The next reads do not take it back, and versions that are written then are used.
    nodes.peer.list(copy, {2, 46});
    CHECK(nodes.peer.versionInForce() == 8);
    nodes.peer.change(version(8, {2, 47}, "other"));
    nodes.peer.change(version(9, {2, 48}));
    CHECK(nodes.peer.versionInForce() == 9);
}

// Guards against a restarted node without any configuration while its peers have one.
TEST_CASE("Restored source: a restarted node that read a copy without configuration gets one")
{
    Pair nodes;
    nodes.reader.list({version(1, {1, 38}), server("a", {7}, {1, 39})}, {1, 50});
    SECTION("from a peer of the same state")
    {
        nodes.reader.list({}, {2, 20});
    }
    SECTION("from a peer of the former era") { }
    nodes.peer.list({}, {2, 20});
    nodes.sync(nodes.reader, nodes.peer);
    REQUIRE(nodes.peer.replica.view()->routing);
    CHECK(nodes.peer.versionInForce() == 1);
    nodes.peer.list({}, {2, 21});
    CHECK(nodes.peer.versionInForce() == 1);
    CHECK(nodes.peer.find("a") == nullptr);
}
