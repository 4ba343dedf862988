#include "engine/engine.h"

#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! Guaranteed limit for a disconnect of the caller to reach the server. */
constexpr Millis kDisconnectTimeout{500};

int receivedRequests(const Mesh &mesh)
{
    int n = 0;
    for (const auto &node : mesh.nodes) {
        n += static_cast<int>(node->server->seen.size());
    }
    return n;
}

void setAllResponders(Mesh &mesh, const ScriptedServer::Respond &respond)
{
    for (const auto &node : mesh.nodes) {
        node->server->setRespond(respond);
    }
}

} // namespace

TEST_CASE("A request reaches a server unchanged and its answer is returned")
{
    Mesh mesh{3};
    for (int i = 0; i < 12; ++i) {
        const auto outcome = mesh.callAndWait(0, "PUT", "/once/a?b=c", {{"X-Own", "1"}}, "body");
        REQUIRE(outcome.end == http::ExchangeEnd::Answered);
        REQUIRE(outcome.answer.status == 200);
        REQUIRE(outcome.answer.body == "ok");
    }
    REQUIRE(receivedRequests(mesh) == 12);
    int used = 0;
    for (const auto &node : mesh.nodes) {
        used += node->server->seen.empty() ? 0 : 1;
        for (const auto &request : node->server->seen) {
            REQUIRE(request.method == "PUT");
            REQUIRE(request.target == "/once/a?b=c");
            REQUIRE(request.body == "body");
            REQUIRE(http::findHeader(request.headers, "X-Own") == "1");
            REQUIRE(std::stoi(std::string{http::findHeader(request.headers, "T-Deadline")})
                    <= 1500);
        }
    }
    REQUIRE(used > 1);
}

TEST_CASE("API keys are checked against a fresh replica only and are not forwarded")
{
    Mesh mesh{1};
    REQUIRE(mesh.callAndWait(0, "GET", "/keyed/", {{"T-Key", "k1"}}).answer.status == 200);
    const auto &request = mesh.nodes[0]->server->seen.front();
    REQUIRE(http::countHeaders(request.headers, "T-Key") == 0);
    REQUIRE(http::findHeader(request.headers, "T-Account") == "mill");
    REQUIRE(mesh.callAndWait(0, "GET", "/keyed/", {{"T-Key", "k2"}}).answer.status == 401);
    REQUIRE(mesh.callAndWait(0, "GET", "/keyed/").answer.status == 401);
    REQUIRE(mesh.callAndWait(0, "GET", "/nowhere/").answer.status == 404);
    mesh.run(Millis{4700});
    REQUIRE(mesh.callAndWait(0, "GET", "/keyed/", {{"T-Key", "k1"}}).answer.status == 503);
    REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 200);
}

TEST_CASE("A disconnect of the caller reaches the server in time even through another node")
{
    Mesh mesh{2};
    setAllResponders(mesh, [](const http::Request &) { return Script{}; });
    for (int i = 0; i < 4; ++i) {
        const auto outcome = std::make_shared<Outcome>();
        const auto seen = receivedRequests(mesh);
        const auto caller = mesh.call(0, "GET", "/safe/", outcome);
        REQUIRE(mesh.runUntil([&] { return receivedRequests(mesh) == seen + 1; }, Millis{1000}));
        caller->cancel();
        REQUIRE(mesh.runUntil(
                [&] {
                    return mesh.nodes[0]->server->openConnections
                            + mesh.nodes[1]->server->openConnections
                            <= 2 - 1;
                },
                kDisconnectTimeout));
    }
}

TEST_CASE(
        "A truncated or invalid answer fails with 502 and a non-idempotent request is not retried")
{
    Mesh mesh{2};
    const auto script = GENERATE(
            Script{"HTTP/1.1 200 OK\r\nT-Signed: 1\r\nContent-Length: 10\r\n\r\nabc", true},
            Script{"HTTP/1.1 200 OK\r\nT-Si", true}, Script{"\x02garbage\r\n\r\n", true},
            Script{"HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Request: other\r\nContent-Length: "
                   "2\r\n\r\nno",
                   true},
            Script{"HTTP/1.1 200 OK\r\nT-Request: r1\r\nContent-Length: 2\r\n\r\nno", true},
            Script{"", true});
    setAllResponders(mesh, [script](const http::Request &) { return Script{script}; });
    const auto once = mesh.callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(once.answer.status == 502);
    REQUIRE(once.answer.body.empty());
    REQUIRE(receivedRequests(mesh) == 1);
}

TEST_CASE("An idempotent request is retried at another server")
{
    Mesh mesh{2};
    int answered = 0;
    setAllResponders(mesh, [&answered](const http::Request &request) {
        ++answered;
        return answered == 1 ? Script{"", true}
                             : Script{ScriptedServer::good(request, "ok"), false};
    });
    const auto outcome = mesh.callAndWait(0, "GET", "/safe/");
    REQUIRE(outcome.answer.status == 200);
    REQUIRE(receivedRequests(mesh) == 2);
}

TEST_CASE("A surplus answer of the server is not matched to the next request")
{
    Mesh mesh{1};
    auto &server = *mesh.nodes[0]->server;
    server.setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, "one") + ScriptedServer::good(request, "two"),
                      false};
    });
    for (int i = 0; i < 5; ++i) {
        REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.body == "one");
        mesh.run(Millis{5});
    }
}

TEST_CASE("An answer to an earlier request is skipped and the matching one is returned")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return Script{"HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Request: earlier\r\nContent-Length: "
                      "3\r\n\r\nold"
                              + ScriptedServer::good(request, "new"),
                      false};
    });
    REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.body == "new");
}

TEST_CASE("A request shed by one server is sent to another")
{
    Mesh mesh{2};
    mesh.nodes[0]->server->setRespond([](const http::Request &) {
        return Script{"HTTP/1.1 503 Busy\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false};
    });
    int served = 0;
    for (int i = 0; i < 6; ++i) {
        served += mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.status == 200 ? 1 : 0;
    }
    REQUIRE(served >= 5);
    REQUIRE(mesh.nodes[1]->server->seen.size() >= 5);
}

TEST_CASE("A draining server receives no requests even from its own node")
{
    Mesh mesh{2};
    mesh.publish({1});
    for (int i = 0; i < 10; ++i) {
        REQUIRE(mesh.callAndWait(1, "GET", "/safe/").answer.status == 200);
    }
    REQUIRE(mesh.nodes[1]->server->seen.empty());
    REQUIRE(mesh.nodes[0]->server->seen.size() == 10);
}

TEST_CASE("Without a configuration requests are refused and the node is not ready")
{
    Mesh mesh{0};
    test::TestHeaderAdapter headerAdapter;
    test::TextDecoder decoder;
    test::ScriptedSource source;
    engine::EngineSettings settings;
    settings.name = "alone";
    settings.zone = "north";
    settings.callers = {"127.0.0.21", Mesh::kCallerPort};
    settings.links = {"127.0.0.21", Mesh::kLinkPort};
    settings.readiness = {"127.0.0.21", Mesh::kReadinessPort};
    settings.backend = {"127.0.0.21", Mesh::kServerPort};
    engine::Engine node{
            mesh.context, settings,
            engine::DeploymentBindings{headerAdapter, decoder, source, "/ready", "/metrics"}};
    REQUIRE(node.start());
    auto outcome = std::make_shared<Outcome>();
    const auto ask = [&](std::uint16_t port, const char *target) {
        http::Exchange exchange;
        exchange.wire
                = std::string{"GET "} + target + " HTTP/1.1\r\nHost: a\r\nT-Request: 1\r\n\r\n";
        exchange.done = [outcome](http::ExchangeEnd end, http::Answer answer) {
            *outcome = {true, end, std::move(answer)};
        };
        *outcome = {};
        const auto connection = std::make_shared<http::ClientConnection>(
                mesh.context, Address{"127.0.0.21", port}, Millis{500}, 1000U,
                [](const http::ClientConnectionPtr &) {});
        connection->send(std::move(exchange));
        REQUIRE(mesh.runUntil([&] { return outcome->isDone; }, Millis{1000}));
        return outcome->answer.status;
    };
    REQUIRE(ask(Mesh::kCallerPort, "/safe/") == 503);
    REQUIRE(ask(Mesh::kReadinessPort, "/ready") == 503);
}

TEST_CASE("Rolling restart: requests are answered while a node shuts down")
{
    Mesh mesh{2};
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::vector<http::ClientConnectionPtr> callers;
    mesh.nodes[1]->engine->beginShutdown(bootNow());
    const auto end = bootNow() + Millis{5400};
    while (bootNow() < end) {
        outcomes.push_back(std::make_shared<Outcome>());
        callers.push_back(mesh.call(0, "POST", "/once/", outcomes.back(), {}, "x"));
        mesh.run(Millis{20});
    }
    mesh.run(Millis{100});
    for (const auto &outcome : outcomes) {
        REQUIRE(outcome->isDone);
        REQUIRE(outcome->answer.status == 200);
    }
}

TEST_CASE("Zone without servers: its callers keep their share of the rate limits")
{
    Mesh mesh{4, 2};
    mesh.run(Millis{1200}); // until both zones have exchanged usage reports
    mesh.publish({}, {2, 3});
    int refused = 0;
    const auto end = bootNow() + Millis{4000};
    while (bootNow() < end) {
        for (const int node : {2, 3}) {
            const auto outcome = mesh.callAndWait(node, "GET", "/keyed/", {{"T-Key", "k3"}});
            refused += outcome.answer.status == 429 ? 1 : 0;
        }
        mesh.run(Millis{120}); // about 16 of 20 requests per second
    }
    REQUIRE(refused == 0);
}
