#include <algorithm>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;

namespace {

/*! Shortest time within which deployments want a configuration in force. */
constexpr Millis kApplyBound{2000};
constexpr int kNodes = 8;

} // namespace

// Guards against nodes that wait for others to read the source until the bound has passed.
TEST_CASE("Silent reader: every node of its zone reads within the bound of a configuration")
{
    Mesh mesh{kNodes};
    mesh.publish();
    for (const auto &node : mesh.nodes) {
        node->source.resumes = 0;
    }
    const auto haveAllRead = [&] {
        return std::all_of(mesh.nodes.begin(), mesh.nodes.end(),
                           [](const auto &node) { return node->source.resumes > 0; });
    };
    REQUIRE(mesh.runUntil(haveAllRead, kApplyBound));
}
