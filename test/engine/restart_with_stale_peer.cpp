#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! Lets node 0 offer calls to the gate of node 1, which opens a link to it: more calls at a time
 * than the server of node 0 has slots. */
void openLinkToNode1(Mesh &mesh)
{
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, "ok"), false, false, {}, Millis{100}};
    });
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::vector<http::ClientConnectionPtr> callers;
    for (int i = 0; i < 3 * mesh.serverSlots; ++i) {
        outcomes.push_back(std::make_shared<Outcome>());
        callers.push_back(mesh.call(0, "GET", "/safe/", outcomes.back()));
    }
    mesh.run(Millis{600});
}

} // namespace

TEST_CASE("Restart with a stale peer: keys that nobody can confirm are not accepted")
{
    Mesh mesh{2};
    REQUIRE(mesh.callAndWait(1, "GET", "/keyed/", {{"T-Key", "k1"}}).answer.status == 200);
    mesh.run(Millis{4800}); // no node reads the source meanwhile
    mesh.restartNode(1);
    mesh.run(Millis{50});
    openLinkToNode1(mesh); // over which node 1 asks
    REQUIRE(mesh.runUntil([&] { return mesh.callAndWait(1, "GET", "/safe/").answer.status == 200; },
                          Millis{2000}));
    REQUIRE(mesh.callAndWait(1, "GET", "/keyed/", {{"T-Key", "k1"}}).answer.status == 503);
    mesh.publish();
    REQUIRE(mesh.callAndWait(1, "GET", "/keyed/", {{"T-Key", "k1"}}).answer.status == 200);
}

TEST_CASE("Restart with a stale peer: a server that has left is not used again")
{
    Mesh mesh{3};
    REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    mesh.publish({}, {2});
    mesh.run(Millis{50});
    for (const auto &node : mesh.nodes) {
        node->server->seen.clear();
    }
    mesh.restartNode(1);
    openLinkToNode1(mesh);
    REQUIRE(mesh.runUntil([&] { return mesh.callAndWait(1, "GET", "/safe/").answer.status == 200; },
                          Millis{2000}));
    for (int i = 0; i < 20; ++i) {
        REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    }
    REQUIRE(mesh.nodes[2]->server->seen.empty());
}

TEST_CASE("Restart with a stale peer: without any knowledge a node refuses and does not guess")
{
    Mesh mesh{1};
    mesh.restartNode(0);
    REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 503);
    REQUIRE(mesh.nodes[0]->server->seen.empty());
}
