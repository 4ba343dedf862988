#include "directory/replica.h"

#include <catch2/catch.hpp>

#include "support/replica_steps.h"

using namespace celeryramp;
using namespace celeryramp::directory;
using Fixture = test::RestoredReplica;
using test::removal;
using test::server;
using test::version;
using test::zone;

namespace {

using Items = std::vector<ItemChange>;

constexpr Millis kMoment{100};

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
