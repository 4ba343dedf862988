#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;

namespace {

/*! Time without a read of the source after which nodes rely on peers. */
constexpr Millis kSilence{1000};
/*! Well before a replica counts as stale, so that peers are asked anyway. */
constexpr Millis kSoon{1000};

std::int64_t heldRevision(const Mesh &mesh, std::size_t node)
{
    return mesh.nodes[node]->source.sink->heldPosition().revision;
}

} // namespace

// Guards against a node that hears of newer changes, cannot apply them and serves an old
// configuration until its replica is stale.
TEST_CASE("Missed changes: a node that cannot apply the changes of a peer asks it for its state")
{
    Mesh mesh{3};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    const auto before = heldRevision(mesh, 1);
    const auto newest = before + 6;
    mesh.run(kSilence);
    auto &reader = *mesh.nodes[1]->source.sink;
    // Peers hear of the second change only.
    REQUIRE(reader.onChanges({}, {0, before + 5}, bootNow()));
    REQUIRE(reader.onChanges({{"configuration", "2", newest, false}}, {0, newest}, bootNow()));
    const auto areCurrent
            = [&] { return heldRevision(mesh, 0) == newest && heldRevision(mesh, 2) == newest; };
    REQUIRE_FALSE(areCurrent());
    REQUIRE(mesh.runUntil(areCurrent, kSoon));
}

// Guards against a node that drops newer state of a peer since the peer confirmed it longer ago.
TEST_CASE("Missed changes: the state of a peer counts by its revision and not by its age")
{
    Mesh mesh{2};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    const auto before = heldRevision(mesh, 0);
    const auto newest = before + 6;
    mesh.run(kSilence);
    // Node 1 has read the source since, but before the changes that node 0 gets to know.
    REQUIRE(mesh.nodes[1]->source.sink->onChanges({}, {0, before}, bootNow()));
    auto &reader = *mesh.nodes[0]->source.sink;
    REQUIRE(reader.onChanges({}, {0, newest - 1}, TimePoint{}));
    REQUIRE(reader.onChanges({{"configuration", "2", newest, false}}, {0, newest}, TimePoint{}));
    REQUIRE_FALSE(heldRevision(mesh, 1) == newest);
    REQUIRE(mesh.runUntil([&] { return heldRevision(mesh, 1) == newest; }, kSoon));
}
