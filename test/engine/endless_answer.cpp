#include <algorithm>

#include <catch2/catch.hpp>

#include "observe/process_usage.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! What all nodes of the test may hold more than before, in bytes. */
constexpr std::uint64_t kMaxGrowth = 4U << 20U;
/*! The gate probes its server at most this often. */
constexpr Millis kProbeInterval{300};
/*! Well before the deadline of the calls, which is 1500 ms. */
constexpr Millis kAtOnce{700};

Script endless(const std::string &start, const std::string &unit)
{
    std::string block;
    while (block.size() < 65'536) {
        block += unit;
    }
    return {start, true, false, [block] { return block; }};
}

} // namespace

TEST_CASE("Endless answer: bytes without end are cut off at once and memory stays flat")
{
    Mesh mesh{1};
    struct Case
    {
        const char *start;
        const char *unit;
    };
    const auto stray = GENERATE(Case{"", "x"}, Case{"HTTP/1.1 200 OK\r\n", "X-Filler: a\r\n"},
                                Case{"HTTP/1.1 200 OK\r\nX: ", "y"}, Case{"HTTP/1.1 200 ", "O"},
                                Case{"", "HTTP/1.1 100 Continue\r\n\r\n"},
                                Case{"HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Request: r1\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n",
                                     "0"},
                                Case{"HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Request: r1\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n3;",
                                     "e"},
                                Case{"HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Request: r1\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
                                     "X-Trailer: a\r\n"},
                                Case{"HTTP/1.1 200 OK\r\nT-Request: r1\r\n\r\n", "unsigned"});
    CAPTURE(stray.start, stray.unit);
    mesh.nodes[0]->server->setRespond(
            [stray](const http::Request &) { return endless(stray.start, stray.unit); });
    const auto before = processUsage().residentBytes;
    const auto outcome = std::make_shared<Outcome>();
    const auto caller = mesh.call(0, "POST", "/once/", outcome, {}, "x");
    REQUIRE(mesh.runUntil([&] { return outcome->isDone; }, kAtOnce));
    REQUIRE(outcome->answer.status == 502);
    REQUIRE(processUsage().residentBytes < before + kMaxGrowth);
    REQUIRE(mesh.runUntil([&] { return mesh.nodes[0]->server->openConnections <= 1; }, kAtOnce));
}

TEST_CASE("Endless answer: a repeatable request is tried at another server")
{
    Mesh mesh{2};
    int answered = 0;
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([&answered](const http::Request &request) {
            return ++answered == 1 ? endless("", "x")
                                   : Script{ScriptedServer::good(request, "ok"), false};
        });
    }
    REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 200);
    REQUIRE(answered == 2);
}

TEST_CASE("Endless answer: bytes past the announced length are not passed on")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return endless(ScriptedServer::good(request, "abc"), "surplus");
    });
    const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(outcome.answer.status == 200);
    REQUIRE(outcome.answer.body == "abc");
    REQUIRE(mesh.runUntil([&] { return mesh.nodes[0]->server->openConnections <= 1; }, kAtOnce));
}

TEST_CASE("Endless answer: a body without length or end does not fill the memory of a node")
{
    auto mesh = std::make_unique<Mesh>(2);
    mesh->publish({}, {0});
    mesh->nodes[1]->server->setRespond([](const http::Request &request) {
        return endless(ScriptedServer::head(request) + "\r\n", "body");
    });
    const auto before = processUsage().residentBytes;
    const auto caller = mesh->connect(0);
    caller->setReadingPaused(true);
    caller->send(mesh->request("GET", "/safe/"));
    mesh->run(Millis{1200});
    REQUIRE(processUsage().residentBytes < before + kMaxGrowth);
    // The caller's deadline ends it; the body must not look complete.
    mesh->run(Millis{600});
    caller->setReadingPaused(false);
    REQUIRE(mesh->runUntil([&] { return caller->isEnded; }, Millis{2000}));
    REQUIRE(caller->count("\r\n0\r\n\r\n") == 0);
    REQUIRE(mesh->runUntil([&] { return mesh->nodes[1]->server->openConnections <= 1; }, kAtOnce));
}

// Guards against a node that the server beside it takes over its memory limit by a health answer.
TEST_CASE("Endless answer: a health answer without end does not fill the memory of a node")
{
    Mesh mesh{1};
    const auto *const head
            = GENERATE("", "Content-Length: 1000000000000\r\n", "Transfer-Encoding: chunked\r\n");
    CAPTURE(head);
    auto &server = *mesh.nodes[0]->server;
    server.setRespondHealth([head](const http::Request &) {
        return endless("HTTP/1.1 200 OK\r\nT-Server: s1\r\n" + std::string{head} + "\r\n",
                       "8\r\nhealthy!\r\n");
    });
    mesh.run(kProbeInterval);
    const auto before = processUsage().residentBytes;
    mesh.restartServer(0, "s1");
    mesh.publish();
    auto peak = before;
    const auto isCutOff = [&] {
        peak = std::max(peak, processUsage().residentBytes);
        return server.bytesSent > 0 && server.openConnections == 0;
    };
    REQUIRE(mesh.runUntil(isCutOff, kAtOnce));
    REQUIRE(peak < before + kMaxGrowth);
}
