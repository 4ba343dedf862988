#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using directory::SourcePosition;
using test::Mesh;

namespace {

/*! Idle nodes report every 500 ms; a node asks all others for their state from a greater age on. */
constexpr Millis kSoon{900};
/*! Before the next report of an idle node. */
constexpr Millis kAtOnce{300};
/*! Above the size of changes that are forwarded to other nodes. */
constexpr std::size_t kLarge = 100 * 1024;

/*! @brief Lets all nodes reach a revision of the era before. @return The revision. */
std::int64_t reachRevision(const Mesh &mesh)
{
    constexpr std::int64_t kRevision = 20;
    for (const auto &node : mesh.nodes) {
        REQUIRE(node->source.sink->onChanges({}, {0, kRevision}, bootNow()));
    }
    return kRevision;
}

SourcePosition held(const Mesh &mesh, std::size_t node)
{
    return mesh.nodes[node]->source.sink->heldPosition();
}

/*! @brief Lets a node read the list of a source that has gone back. */
void readCopy(const Mesh &mesh, std::size_t node, const SourcePosition &position, int version = 1,
              TimePoint requestedAt = bootNow())
{
    std::vector<directory::ItemChange> items{
            {"configuration", std::to_string(version), 1, false, position.era}};
    for (const auto &it : mesh.nodes) {
        items.push_back({"server/" + it->serverId,
                         it->serverId + " stock " + it->zone + " " + it->backendHost + ":"
                                 + std::to_string(Mesh::kServerPort) + " 4 ready 0 1",
                         1, false, position.era});
    }
    REQUIRE(mesh.nodes[node]->source.sink->onList(items, position, requestedAt));
}

void write(const Mesh &mesh, std::size_t node, const std::string &configuration,
           const SourcePosition &position)
{
    REQUIRE(mesh.nodes[node]->source.sink->onChanges(
            {{"configuration", configuration, position.revision, false, position.era}}, position,
            bootNow()));
}

} // namespace

// Guards against nodes that stay in the former era since a list is not pushed.
TEST_CASE("Restored source: nodes that hear of a later era by reports ask for its state")
{
    // Node 0 collects the reports of its zone.
    const std::size_t reader = GENERATE(0U, 1U, 2U);
    CAPTURE(reader);
    Mesh mesh{3};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    const SourcePosition restored{1, reachRevision(mesh) - 5};
    readCopy(mesh, reader, restored);
    const auto haveAll = [&] {
        return held(mesh, 0) == restored && held(mesh, 1) == restored && held(mesh, 2) == restored;
    };
    // The report of a node that is no reader goes first to the one that collects them.
    REQUIRE(mesh.runUntil(haveAll, reader == 0 ? kSoon : kSoon * 2));
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
}

// Guards against a zone that does not hear of a later era while its readers are cut off.
TEST_CASE("Restored source: a zone that hears of a later era by a report of another asks for it")
{
    Mesh mesh{2, 1};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    const SourcePosition restored{1, reachRevision(mesh) - 5};
    readCopy(mesh, 0, restored);
    // Zones without requests report every 2 s.
    REQUIRE(mesh.runUntil([&] { return held(mesh, 1) == restored; }, Millis{2000} + kSoon));
}

// Guards against a change of a new era that is lost at nodes that still hold the former one.
TEST_CASE("Restored source: a node that hears of a later era by pushed changes asks at once")
{
    Mesh mesh{3};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    mesh.run(Millis{100});
    const auto former = reachRevision(mesh);
    const std::int64_t revision = GENERATE_COPY(former - 1, former, former + 10);
    CAPTURE(revision);
    readCopy(mesh, 0, {1, revision - 1});
    write(mesh, 0, "2", {1, revision});
    REQUIRE(mesh.runUntil([&] { return held(mesh, 1) == SourcePosition{1, revision}; }, kAtOnce));
    REQUIRE(mesh.runUntil([&] { return held(mesh, 2) == SourcePosition{1, revision}; }, kAtOnce));
    CHECK(mesh.gauge(1, "directory_version") == 2);
    CHECK(mesh.gauge(2, "directory_version") == 2);
}

// Guards against an age that a node of the former era confirms for state that it never had.
TEST_CASE("Restored source: a node of the former era confirms no replica of a later one")
{
    Mesh mesh{2};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    mesh.run(Millis{600});
    const auto former = held(mesh, 0);
    const auto requestedAt = bootNow() - Millis{400};
    readCopy(mesh, 1, {1, former.revision}, 1, requestedAt);
    // Node 0 goes on with the former era until a report has shown the later one; it answers that.
    auto &sink = *mesh.nodes[0]->source.sink;
    const auto end = bootNow() + kSoon;
    while (bootNow() < end && sink.heldPosition() == former) {
        REQUIRE(sink.onChanges({}, former, bootNow()));
        mesh.run(Millis{2});
    }
    REQUIRE(sink.heldPosition() == SourcePosition{1, former.revision});
    const auto age = static_cast<double>(millisBetween(requestedAt, bootNow()).count());
    CHECK(mesh.gauge(1, "directory_age_ms") >= age);
    // Its own reads of the former era are refused from now on.
    CHECK_FALSE(sink.onChanges({}, former, bootNow()));
    CHECK_FALSE(sink.onList({}, former, bootNow()));
}

// Guards against a node that takes no part in a new era whose first change is not pushed to it.
TEST_CASE("Restored source: a large change that is announced in a new era is read")
{
    Mesh mesh{3};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    mesh.run(Millis{100});
    const auto former = reachRevision(mesh);
    readCopy(mesh, 0, {1, former - 1});
    for (const auto &it : mesh.nodes) {
        it->source.resumes = 0;
    }
    // A change that a delta does not shorten.
    std::string large = "2 ";
    std::uint32_t random = 1;
    while (large.size() < kLarge) {
        random = random * 1664525U + 1013904223U;
        large.push_back(static_cast<char>('a' + (random >> 24U) % 26));
    }
    write(mesh, 0, large, {1, former});
    const auto &nodes = mesh.nodes;
    REQUIRE(mesh.runUntil(
            [&] { return nodes[1]->source.resumes > 0 && nodes[2]->source.resumes > 0; }, kAtOnce));
    CHECK(nodes[1]->source.sink->readPause());
    CHECK(nodes[2]->source.sink->readPause());
    REQUIRE(mesh.runUntil([&] { return held(mesh, 1) == SourcePosition{1, former}; }, kSoon));
    CHECK(mesh.gauge(1, "directory_version") == 2);
}

// Guards against a restarted node that serves the version of a copy, although its peers know
// better.
TEST_CASE("Restored source: a restarted node hears of the later version that its peers retain")
{
    const int restarted = GENERATE(0, 2);
    CAPTURE(restarted);
    Mesh mesh{3};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    const auto former = reachRevision(mesh);
    for (std::size_t i = 0; i < 3; ++i) {
        write(mesh, i, "2", {0, former + 1});
    }
    mesh.restartNode(restarted);
    const auto areFormer = GENERATE(false, true);
    CAPTURE(areFormer);
    for (std::size_t i = 0; i < 3; ++i) {
        if (i == static_cast<std::size_t>(restarted) || !areFormer) {
            readCopy(mesh, i, {1, former});
        }
    }
    CHECK(mesh.gauge(restarted, "directory_version") == 1);
    const auto end = bootNow() + kSoon * 2;
    while (bootNow() < end && mesh.gauge(restarted, "directory_version") != 2) {
        mesh.run(Millis{20});
    }
    CHECK(mesh.gauge(restarted, "directory_version") == 2);
    CHECK(held(mesh, static_cast<std::size_t>(restarted)) == SourcePosition{1, former});
}
