#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;

// Guards against a node that reads list after list, and counts as unable to read, while its peers
// bring each change before its list is complete.
TEST_CASE("Overtaken list: a list that peers have overtaken within its era is not read again")
{
    Mesh mesh{1};
    auto &source = *mesh.nodes[0]->source.sink;
    const auto listed = source.heldPosition();
    const directory::SourcePosition pushed{listed.era, listed.revision + 5};
    REQUIRE(source.onChanges({{"configuration", "2", pushed.revision, false, pushed.era}}, pushed,
                             bootNow()));
    REQUIRE(source.onList({{"configuration", "1", 1, false, listed.era}}, listed, bootNow()));
    REQUIRE(source.heldPosition() == pushed);
}

TEST_CASE("Overtaken list: a list of a former era is followed by another one")
{
    Mesh mesh{1};
    auto &source = *mesh.nodes[0]->source.sink;
    const auto listed = source.heldPosition();
    const directory::SourcePosition restored{listed.era + 1, 1};
    REQUIRE(source.onList({{"configuration", "2", 1, false, restored.era}}, restored, bootNow()));
    REQUIRE_FALSE(source.onList({{"configuration", "1", 1, false, listed.era}}, listed, bootNow()));
    REQUIRE(source.heldPosition() == restored);
}
