#include <string>

#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;

namespace {

/*! Shortest time within which deployments want a configuration in force. */
constexpr Millis kApplyBound{2000};
/*! Time between two versions of a series. */
constexpr Millis kGap{400};
constexpr int kVersions = 12;
/*! What one of six nodes gets of a link of 10 Mbit/s that carries 500 KB/s of answers. */
constexpr std::size_t kLinkShare = 125'000;
constexpr std::size_t kRoutes = 800;

/*! @return A configuration of 150 KB, of which each version changes a few bytes. */
std::string configuration(int version)
{
    std::string text = std::to_string(version);
    for (std::size_t i = 0; i < kRoutes; ++i) {
        text += "{route " + std::to_string(i) + std::string(180, '.') + "}";
    }
    return text;
}

std::int64_t heldRevision(const Mesh &mesh, std::size_t node)
{
    return mesh.nodes[node]->source.sink->heldPosition().revision;
}

} // namespace

// Guards against a node that gets a series of configurations later than the bound, since peers do
// not know it and send it whole states that queue behind one another.
TEST_CASE("Unpublished node: a series of configurations is in force in time over a slow link")
{
    const auto mesh = Mesh::withProxy("127.0.0.10");
    mesh->restartNode(1); // it has known node 0 before
    mesh->publish({}, {0});
    auto &reader = *mesh->nodes[1]->source.sink;
    auto revision = heldRevision(*mesh, 1);
    for (const auto &node : mesh->nodes) {
        REQUIRE(node->source.sink->onChanges(
                {{"configuration", configuration(2), revision + 1, false}}, {0, revision + 1},
                bootNow()));
    }
    ++revision;
    REQUIRE(heldRevision(*mesh, 0) == revision);
    standin::soak::LinkState slow;
    slow.bytesPerSecond = kLinkShare;
    mesh->proxy->setState(slow);
    const auto first = revision;
    std::vector<TimePoint> publishedAt;
    const auto start = bootNow();
    const auto check = [&] {
        // Each version has to be in force within the bound of its publication.
        const auto held = heldRevision(*mesh, 0) - first;
        for (auto i = static_cast<std::size_t>(held); i < publishedAt.size(); ++i) {
            CAPTURE(held, i, millisBetween(start, bootNow()).count());
            REQUIRE(millisBetween(publishedAt[i], bootNow()) < kApplyBound);
        }
        return held == kVersions;
    };
    for (int i = 0; i < kVersions; ++i) {
        ++revision;
        REQUIRE(reader.onChanges({{"configuration", configuration(3 + i), revision, false}},
                                 {0, revision}, bootNow()));
        publishedAt.push_back(bootNow());
        const auto checkOnly = [&] {
            static_cast<void>(check());
            return false;
        };
        static_cast<void>(mesh->runUntil(checkOnly, kGap));
    }
    REQUIRE(mesh->runUntil(check, kApplyBound));
}

// Guards against a node that knows of newer state and waits for a peer until the bound has passed.
TEST_CASE("Unpublished node: it reads the source in time if the reply of its peer is slow")
{
    constexpr int kNodes = 8;
    constexpr int kReader = kNodes - 1;
    constexpr int kNode = kReader - 1;
    const auto mesh = Mesh::withProxy("127.0.0.10", kNodes);
    mesh->restartNode(kReader);
    mesh->publish({}, {kNode});
    standin::soak::LinkState slow;
    slow.bytesPerSecond = kLinkShare / 6;
    mesh->proxy->setState(slow);
    const auto revision = heldRevision(*mesh, kReader) + 1;
    mesh->nodes[kNode]->source.resumes = 0;
    REQUIRE(mesh->nodes[kReader]->source.sink->onChanges(
            {{"configuration", configuration(2), revision, false}}, {0, revision}, bootNow()));
    const auto &source = mesh->nodes[kNode]->source;
    REQUIRE(mesh->runUntil([&] { return source.resumes > 0; }, kApplyBound));
    REQUIRE(heldRevision(*mesh, kNode) < revision);
}
