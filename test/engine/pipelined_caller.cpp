#include <catch2/catch.hpp>

#include <deque>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

std::vector<std::string> targets(const Mesh &mesh)
{
    std::vector<std::string> seen;
    for (const auto &node : mesh.nodes) {
        for (const auto &request : node->server->seen) {
            seen.push_back(request.target);
        }
    }
    return seen;
}

} // namespace

TEST_CASE("Pipelined caller: repeatable requests run at the same time and answers keep the order")
{
    Mesh mesh{2};
    for (const auto &node : mesh.nodes) {
        // The first request is never answered, the others at once.
        node->server->setRespond([](const http::Request &request) {
            return request.target == "/safe/0"
                    ? Script{}
                    : Script{ScriptedServer::good(request, request.target), false};
        });
    }
    const auto caller = mesh.connect(0);
    std::string bytes;
    for (int i = 0; i < 4; ++i) {
        bytes += mesh.request("GET", "/safe/" + std::to_string(i));
    }
    caller->send(bytes);
    REQUIRE(mesh.runUntil([&] { return targets(mesh).size() == 4; }, Millis{1000}));
    mesh.run(Millis{50});
    REQUIRE(caller->received.empty());
    REQUIRE(mesh.runUntil([&] { return caller->count("HTTP/1.1") == 4; }, Millis{3000}));
    REQUIRE(caller->received.compare(0, 12, "HTTP/1.1 504") == 0);
    REQUIRE(caller->received.find("/safe/1") < caller->received.find("/safe/2"));
    REQUIRE(caller->received.find("/safe/2") < caller->received.find("/safe/3"));
}

TEST_CASE("Pipelined caller: a request that must not be repeated waits for those before it")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return request.target == "/safe/0"
                ? Script{}
                : Script{ScriptedServer::good(request, request.target), false};
    });
    const auto caller = mesh.connect(0);
    caller->send(mesh.request("GET", "/safe/0") + mesh.request("POST", "/once/1", "x")
                 + mesh.request("GET", "/safe/2"));
    mesh.run(Millis{300});
    REQUIRE(targets(mesh) == std::vector<std::string>{"/safe/0"});
    REQUIRE(mesh.runUntil([&] { return caller->count("HTTP/1.1") == 3; }, Millis{3000}));
    REQUIRE(targets(mesh) == std::vector<std::string>{"/safe/0", "/once/1", "/safe/2"});
}

TEST_CASE("Pipelined caller: any split of the bytes gives the same answers")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, request.target), false};
    });
    const auto size
            = mesh.request("GET", "/safe/1").size() + mesh.request("POST", "/once/2", "x").size();
    for (std::size_t cut = 1; cut < size; cut += 3) {
        const auto bytes = mesh.request("GET", "/safe/1") + mesh.request("POST", "/once/2", "x");
        const auto caller = mesh.connect(0);
        caller->send(bytes.substr(0, cut));
        mesh.run(Millis{1});
        caller->send(bytes.substr(cut));
        REQUIRE(mesh.runUntil([&] { return caller->count("HTTP/1.1 200") == 2; }, Millis{1000}));
        REQUIRE(caller->received.find("/safe/1") < caller->received.find("/once/2"));
    }
}

TEST_CASE("Pipelined caller: nothing behind a response that closes the connection is run")
{
    Mesh mesh{2};
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([](const http::Request &request) {
            return Script{ScriptedServer::good(request, request.target), false};
        });
    }
    const auto caller = mesh.connect(0);
    mesh.run(Millis{10});
    mesh.nodes[0]->engine->beginShutdown(bootNow());
    std::string bytes;
    for (int i = 0; i < 6; ++i) {
        bytes += mesh.request("POST", "/once/" + std::to_string(i), "x");
    }
    caller->send(bytes);
    REQUIRE(mesh.runUntil([&] { return caller->isEnded; }, Millis{2000}));
    mesh.run(Millis{100});
    // Each response announces the close, so exactly those that were answered have run.
    const auto answered = caller->count("HTTP/1.1 200");
    REQUIRE(caller->count("Connection: close") == 1);
    REQUIRE(targets(mesh).size() == static_cast<std::size_t>(answered));
    REQUIRE(answered == 1);
}

TEST_CASE("Pipelined caller: a malformed request is answered after those before it")
{
    Mesh mesh{1};
    const auto caller = mesh.connect(0);
    caller->send(mesh.request("GET", "/safe/1") + "NO SUCH THING\r\n\r\n"
                 + mesh.request("GET", "/safe/2"));
    REQUIRE(mesh.runUntil([&] { return caller->isEnded; }, Millis{2000}));
    REQUIRE(caller->count("HTTP/1.1 200") == 1);
    REQUIRE(caller->received.find("HTTP/1.1 200") < caller->received.find("HTTP/1.1 400"));
    REQUIRE(targets(mesh) == std::vector<std::string>{"/safe/1"});
}

TEST_CASE("Pipelined caller: those that leave cancel all of their requests")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &) { return Script{}; });
    const auto caller = mesh.connect(0);
    caller->send(mesh.request("GET", "/safe/1") + mesh.request("GET", "/safe/2")
                 + mesh.request("GET", "/safe/3"));
    REQUIRE(mesh.runUntil([&] { return targets(mesh).size() == 3; }, Millis{1000}));
    caller->close();
    REQUIRE(mesh.runUntil([&] { return mesh.nodes[0]->server->openConnections <= 1; },
                          Millis{500}));
}
