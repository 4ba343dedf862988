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

/*! Lets the server of node 0 say in its answers that it leaves, while it is still listed as ready.
 */
void announceLeaving(Mesh &mesh)
{
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return Script{ScriptedServer::head(request)
                      + "T-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"};
    });
}

void callFromAll(Mesh &mesh, int times)
{
    for (int i = 0; i < times; ++i) {
        const auto *method = i % 2 == 0 ? "GET" : "POST";
        const auto *target = i % 2 == 0 ? "/safe/" : "/once/";
        REQUIRE(mesh.callAndWait(1 + i % 2, method, target).answer.status == 200);
    }
}

} // namespace

// Guards against requests to a server that has said that it leaves, while the store does not say
// so.
TEST_CASE("Leaving server: it gets no requests once its answers have said so")
{
    Mesh mesh{3};
    announceLeaving(mesh);
    callFromAll(mesh, 30);
    const auto before = mesh.nodes[0]->server->seen.size();
    REQUIRE(before > 0);
    callFromAll(mesh, 30);
    REQUIRE(mesh.nodes[0]->server->seen.size() == before);
}

// Guards against an announcement that is forgotten when the node beside the server restarts.
TEST_CASE(
        "Leaving server: nodes that know it send it nothing after a restart of the node beside it")
{
    Mesh mesh{3};
    announceLeaving(mesh);
    callFromAll(mesh, 30);
    mesh.publish({}, {0}); // its entry lapses for a moment
    mesh.run(Millis{1100});
    mesh.restartNode(0);
    mesh.publish();
    const auto before = mesh.nodes[0]->server->seen.size();
    mesh.run(Millis{1200});
    callFromAll(mesh, 30);
    REQUIRE(mesh.nodes[0]->server->seen.size() == before);
}

// Guards against a server that is avoided for good because an earlier incarnation has left.
TEST_CASE("Leaving server: the next incarnation under the same id is used")
{
    Mesh mesh{3};
    announceLeaving(mesh);
    callFromAll(mesh, 30);
    mesh.restartServer(0, "s0");
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([](const http::Request &request) {
            return Script{ScriptedServer::good(request, "ok"), false, false, {}, Millis{100}};
        });
    }
    mesh.publish();
    mesh.run(Millis{1200}); // so long a gate keeps off a cold server after its own start
    const auto before = mesh.nodes[0]->server->seen.size();
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::vector<http::ClientConnectionPtr> callers;
    for (int i = 0; i < 30; ++i) { // several times the slots of the other servers
        outcomes.push_back(std::make_shared<Outcome>());
        callers.push_back(mesh.call(1 + i % 2, "GET", "/safe/", outcomes.back()));
    }
    mesh.run(Millis{600});
    REQUIRE(mesh.nodes[0]->server->seen.size() > before);
}
