#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

TEST_CASE("Lost answer: work that has run is not run again and not reported as not run")
{
    Mesh mesh{3};
    const bool resets = GENERATE(false, true);
    const bool isUsedConnection = GENERATE(false, true);
    int served = isUsedConnection ? 0 : 1000;
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([&served, resets](const http::Request &request) {
            Script lost{"", true, resets, {}};
            lost.bytes = "H"; // one byte shows that the server has begun
            return ++served <= 20 ? Script{ScriptedServer::good(request, "ok"), false} : lost;
        });
    }
    for (int i = 0; i < (isUsedConnection ? 20 : 0); ++i) {
        REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.status == 200);
    }
    const auto before = mesh.receivedRequests();
    for (int i = 0; i < 3; ++i) {
        const auto outcome = mesh.callAndWait(i % 3, "POST", "/once/", {}, "x");
        REQUIRE(outcome.answer.status == 502);
    }
    REQUIRE(mesh.receivedRequests() == before + 3);
}

TEST_CASE("Lost answer: the deadline passes and the outcome is unknown")
{
    Mesh mesh{2};
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([](const http::Request &) { return Script{}; });
    }
    const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(outcome.answer.status == 504);
    REQUIRE(mesh.receivedRequests() == 1);
}

TEST_CASE("Lost answer: a repeatable request is run once more at most by the attempts of its route")
{
    Mesh mesh{3};
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([](const http::Request &) { return Script{"", true}; });
    }
    const auto outcome = mesh.callAndWait(0, "GET", "/safe/");
    REQUIRE(outcome.answer.status == 502);
    REQUIRE(mesh.receivedRequests() == 2);
}
