#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! @brief Two nodes without accounts; the server of the first one runs a request, and the one of
 * the second, the only one that is published from then on, has its slot taken. */
struct BusyMesh
{
    BusyMesh()
    {
        mesh.serverSlots = 1;
        mesh.publishAccounts(directory::AccountList::withoutKeys());
        mesh.run(Millis{1100}); // so long a gate keeps off a cold server after its start
        const auto respond = [this](const http::Request &request) {
            order.push_back(request.target);
            const auto work = request.target == "/safe/running" ? Millis{2000} : Millis{150};
            return Script{ScriptedServer::good(request, "ok"), false, false, {}, work};
        };
        for (const auto &node : mesh.nodes) {
            node->server->setRespond(respond);
        }
        mesh.publish({}, {1});
        call("/safe/running");
        REQUIRE(mesh.runUntil([&] { return order.size() == 1; }, Millis{1000}));
        runningId = std::string{
                http::findHeader(mesh.nodes[0]->server->seen.back().headers, "T-Request")};
        mesh.publish({}, {0});
        call("/safe/first");
        REQUIRE(mesh.runUntil([&] { return order.size() == 2; }, Millis{1000}));
    }

    void call(const std::string &target, const http::Headers &headers = {})
    {
        outcomes.push_back(std::make_shared<Outcome>());
        callers.push_back(mesh.call(0, "GET", target, outcomes.back(), headers));
    }

    Mesh mesh{2};
    std::vector<std::string> order;
    std::string runningId;
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::vector<http::ClientConnectionPtr> callers;
};

} // namespace

TEST_CASE("Nested calls: without keys a call that names a running request goes first")
{
    BusyMesh busy;
    busy.call("/safe/waiting");
    busy.mesh.run(Millis{20});
    busy.call("/safe/nested", {{"T-Parent", busy.runningId}});
    REQUIRE(busy.mesh.runUntil([&] { return busy.order.size() == 4; }, Millis{1500}));
    REQUIRE(busy.order[2] == "/safe/nested");
    REQUIRE(busy.order[3] == "/safe/waiting");
}

TEST_CASE("Nested calls: a caller that names a request which does not run here waits its turn")
{
    BusyMesh busy;
    busy.call("/safe/waiting");
    busy.mesh.run(Millis{20});
    busy.call("/safe/other", {{"T-Parent", "unknown"}});
    REQUIRE(busy.mesh.runUntil([&] { return busy.order.size() == 4; }, Millis{1500}));
    REQUIRE(busy.order[2] == "/safe/waiting");
}

TEST_CASE(
        "Nested calls: after a restart of the node the request is not known and callers are served")
{
    BusyMesh busy;
    busy.mesh.restartNode(0);
    busy.mesh.publish({}, {0});
    busy.call("/safe/nested", {{"T-Parent", busy.runningId}});
    REQUIRE(busy.mesh.runUntil([&] { return busy.outcomes.back()->isDone; }, Millis{2000}));
    REQUIRE(busy.outcomes.back()->answer.status == 200);
}
