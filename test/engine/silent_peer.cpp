#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using standin::soak::LinkState;
using test::Mesh;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! Longer than a peer may be silent before its link is detached. */
constexpr Millis kSilence{2300};

} // namespace

TEST_CASE("Silent peer: work that must not be repeated is neither given up nor started elsewhere")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    auto &server = *mesh->nodes[1]->server;
    server.setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, "done"), false, false, {}, kSilence};
    });
    const auto caller = mesh->connect(0);
    caller->send(mesh->request("POST", "/slow/", "x", Millis{5000}));
    REQUIRE(mesh->runUntil([&] { return server.seen.size() == 1; }, Millis{1000}));
    mesh->publish(); // the server of node 0 could be used instead
    mesh->proxy->setState(LinkState::held());
    mesh->run(kSilence + Millis{300});
    REQUIRE(caller->received.empty());
    REQUIRE(server.openConnections >= 1);
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return !caller->received.empty(); }, Millis{1500}));
    REQUIRE(caller->count("HTTP/1.1 200") == 1);
    REQUIRE(caller->count("done") == 1);
    REQUIRE(server.seen.size() == 1);
    REQUIRE(mesh->nodes[0]->server->seen.empty());
}

TEST_CASE("Silent peer: other calls go elsewhere and repeatable ones are tried elsewhere")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    auto &server = *mesh->nodes[1]->server;
    server.setRespond([](const http::Request &) { return Script{}; });
    const auto caller = mesh->connect(0);
    caller->send(mesh->request("GET", "/safe/", "", Millis{5000}));
    REQUIRE(mesh->runUntil([&] { return server.seen.size() == 1; }, Millis{1000}));
    mesh->publish();
    mesh->proxy->setState(LinkState::held());
    const auto since = bootNow();
    REQUIRE(mesh->runUntil([&] { return !caller->received.empty(); }, Millis{2000}));
    REQUIRE(caller->count("HTTP/1.1 200") == 1);
    REQUIRE(mesh->nodes[0]->server->seen.size() == 1);
    REQUIRE(millisBetween(since, bootNow()) < Millis{2000});
    for (int i = 0; i < 5; ++i) {
        REQUIRE(mesh->callAndWait(0, "POST", "/once/", {}, "x").answer.status == 200);
    }
    // The cancelled request has ended at the first server when the peer is heard again.
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return server.openConnections <= 1; }, Millis{1000}));
}

TEST_CASE("Silent peer: a restarted process ends the calls with the one before it")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    auto &server = *mesh->nodes[1]->server;
    server.setRespond([](const http::Request &) { return Script{}; });
    const auto caller = mesh->connect(0);
    caller->send(mesh->request("POST", "/slow/", "x", Millis{5500}));
    REQUIRE(mesh->runUntil([&] { return server.seen.size() == 1; }, Millis{1000}));
    mesh->proxy->setState(LinkState::held());
    mesh->run(Millis{1900}); // the link is detached by now
    mesh->restartNode(1);
    mesh->publish();
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return !caller->received.empty(); }, Millis{1500}));
    REQUIRE(caller->count("HTTP/1.1 502") == 1);
    REQUIRE(server.seen.size() == 1);
}

TEST_CASE("Silent peer: a reset link gives an unknown outcome at once and runs nothing again")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    auto &server = *mesh->nodes[1]->server;
    server.setRespond([](const http::Request &) { return Script{}; });
    const auto caller = mesh->connect(0);
    caller->send(mesh->request("POST", "/slow/", "x", Millis{5000}));
    REQUIRE(mesh->runUntil([&] { return server.seen.size() == 1; }, Millis{1000}));
    mesh->proxy->resetAll();
    REQUIRE(mesh->runUntil([&] { return !caller->received.empty(); }, Millis{500}));
    REQUIRE(caller->count("HTTP/1.1 502") == 1);
    REQUIRE(server.seen.size() == 1);
}
