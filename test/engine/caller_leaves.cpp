#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using standin::soak::LinkState;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

TEST_CASE("Caller leaves: a request read together with the disconnect is not sent on")
{
    Mesh mesh{2};
    const bool isFirst = GENERATE(true, false);
    for (int i = 0; i < 10; ++i) {
        const auto caller = mesh.connect(0);
        if (!isFirst) {
            caller->send(mesh.request("GET", "/safe/"));
            REQUIRE(mesh.runUntil([&] { return caller->count("200 OK") == 1; }, Millis{1000}));
        }
        const auto seen = mesh.nodes[0]->server->seen.size() + mesh.nodes[1]->server->seen.size();
        caller->send(mesh.request("GET", "/safe/"));
        caller->close();
        mesh.run(Millis{50});
        REQUIRE(mesh.nodes[0]->server->seen.size() + mesh.nodes[1]->server->seen.size() == seen);
    }
}

TEST_CASE("Caller leaves: a request that waits at a gate is never handed over")
{
    Mesh mesh{2};
    mesh.publish({}, {0});
    auto &server = *mesh.nodes[1]->server;
    server.setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, "ok"), false, false, {}, Millis{300}};
    });
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::vector<http::ClientConnectionPtr> callers;
    const auto call = [&](const std::string &target) {
        outcomes.push_back(std::make_shared<Outcome>());
        callers.push_back(mesh.call(0, "GET", target, outcomes.back()));
    };
    for (int i = 0; i < 4; ++i) {
        call("/safe/running");
    }
    REQUIRE(mesh.runUntil([&] { return server.seen.size() == 4; }, Millis{1000}));
    call("/safe/waiting");
    mesh.run(Millis{50});
    callers.back()->cancel();
    mesh.run(Millis{600});
    REQUIRE(server.seen.size() == 4);
}

TEST_CASE("Caller leaves: a request and its cancel that wait on a busy link reach no server")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    auto &server = *mesh->nodes[1]->server;
    REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200);
    mesh->proxy->setState(LinkState::held());
    const auto caller = mesh->connect(0);
    caller->send(mesh->request("GET", "/safe/"));
    mesh->run(Millis{100});
    caller->close();
    mesh->run(Millis{100});
    mesh->proxy->setState({});
    mesh->run(Millis{200});
    REQUIRE(server.seen.size() == 1);
}

TEST_CASE("Caller leaves: a request that waited on a link is given the time its caller has left")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    auto &server = *mesh->nodes[1]->server;
    REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200);
    mesh->proxy->setState(LinkState::held());
    const auto caller = mesh->connect(0);
    caller->send(mesh->request("GET", "/safe/"));
    mesh->run(Millis{700});
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return server.seen.size() == 2; }, Millis{1000}));
    const auto left
            = std::stoi(std::string{http::findHeader(server.seen.back().headers, "T-Deadline")});
    REQUIRE(left <= 820);
    REQUIRE(left > 500);
}

TEST_CASE("Caller leaves: a repeated attempt is cancelled too")
{
    Mesh mesh{2};
    int answered = 0;
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([&answered](const http::Request &) {
            return ++answered == 1 ? Script{"", true} : Script{};
        });
    }
    const auto caller = mesh.connect(0);
    caller->send(mesh.request("GET", "/safe/"));
    REQUIRE(mesh.runUntil([&] { return answered == 2; }, Millis{1000}));
    caller->close();
    const auto &nodes = mesh.nodes;
    REQUIRE(mesh.runUntil(
            [&] {
                return nodes[0]->server->openConnections + nodes[1]->server->openConnections <= 1;
            },
            Millis{500}));
}
