#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! Longer than what a gate sends whole. */
constexpr std::size_t kLongBody = 400'000;

/*! Sends each part once the one before was sent, then closes or resets the connection. */
Script inParts(std::vector<std::string> parts, bool resets)
{
    Script script{parts.front(), true, resets, {}};
    script.more = [parts = std::move(parts), i = std::size_t{1}]() mutable {
        return i < parts.size() ? parts[i++] : std::string{};
    };
    return script;
}

} // namespace

TEST_CASE("Truncated answer: a body that breaks off is never passed on as complete")
{
    Mesh mesh{2};
    struct Case
    {
        const char *framing;
        const char *body;
        bool resets;
    };
    const auto broken = GENERATE(
            Case{"Content-Length: 10\r\n\r\n", "abc", false},
            Case{"Content-Length: 10\r\n\r\n", "abc", true},
            Case{"Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n", false},
            Case{"Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\n", false},
            Case{"Transfer-Encoding: chunked\r\n\r\n", "A\r\nabc", false},
            Case{"Transfer-Encoding: chunked\r\n\r\n", "3\r\nabc\r\n0\r\nX: 1\r\n", false},
            Case{"\r\n", "abc", true}, Case{"", "", false});
    CAPTURE(broken.framing, broken.body, broken.resets);
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([broken](const http::Request &request) {
            return inParts({ScriptedServer::head(request) + broken.framing, broken.body},
                           broken.resets);
        });
    }
    const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
    REQUIRE(outcome.end == http::ExchangeEnd::Answered);
    REQUIRE(outcome.answer.status == 502);
    REQUIRE(mesh.nodes[0]->server->seen.size() + mesh.nodes[1]->server->seen.size() == 1);
}

TEST_CASE("Truncated answer: a body without length is complete at the orderly end only")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return inParts({ScriptedServer::head(request) + "\r\n", "abc"}, false);
    });
    REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.body == "abc");
}

TEST_CASE("Truncated answer: a long body that breaks off ends the connection of the caller early")
{
    Mesh mesh{2};
    const bool isChunked = GENERATE(false, true);
    const bool resets = GENERATE(false, true);
    const int node = GENERATE(0, 1);
    CAPTURE(isChunked, resets, node);
    mesh.nodes[static_cast<std::size_t>(1 - node)]->server->setRespond(
            [=](const http::Request &request) {
                const std::string half(kLongBody / 2, 'a');
                const auto framing = isChunked
                        ? std::string{"Transfer-Encoding: chunked\r\n\r\n30D40\r\n"}
                        : "Content-Length: " + std::to_string(kLongBody) + "\r\n\r\n";
                return inParts({ScriptedServer::head(request) + framing + half}, resets);
            });
    mesh.publish({}, {node}); // the only server is beside the other node
    const auto caller = mesh.connect(0);
    caller->send(mesh.request("GET", "/safe/"));
    REQUIRE(mesh.runUntil([&] { return caller->isEnded || caller->count("502 ") > 0; },
                          Millis{2500}));
    if (caller->count("200 OK") > 0) {
        REQUIRE(caller->isEnded);
        REQUIRE(caller->received.size() < kLongBody);
        REQUIRE(caller->count("\r\n0\r\n\r\n") == 0);
    }
}

TEST_CASE("Truncated answer: a success that is unsigned or encoded is rejected by its head")
{
    Mesh mesh{1};
    const auto head = GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\nT-Request: r1\r\n",
                               "HTTP/1.1 200 OK\r\nT-Request: r1\r\nT-Signed: 1\r\n"
                               "Content-Encoding: gzip\r\n",
                               "HTTP/1.1 503 Unavailable\r\nT-Request: r1\r\n",
                               "HTTP/1.1 429 Many\r\nT-Request: r1\r\n");
    mesh.nodes[0]->server->setRespond([head](const http::Request &) {
        return Script{head + "Content-Length: 1000\r\n\r\nx", false};
    });
    const auto outcome = std::make_shared<Outcome>();
    const auto caller = mesh.call(0, "POST", "/once/", outcome, {}, "x");
    REQUIRE(mesh.runUntil([&] { return outcome->isDone; }, Millis{500}));
    REQUIRE(outcome->answer.status == 502);
}

// Guards against answers that break off in their head and reach the caller as empty or short ones.
TEST_CASE("Truncated answer: a head that breaks off anywhere is no answer")
{
    Mesh mesh{1};
    mesh.run(Millis{1100}); // so long a gate keeps off a cold server after its start
    const bool resets = GENERATE(false, true);
    std::size_t cut = 0;
    std::size_t headSize = 0;
    mesh.nodes[0]->server->setRespond([&](const http::Request &request) {
        const auto head = ScriptedServer::head(request) + "Content-Length: 2\r\n\r\n";
        headSize = head.size();
        return inParts({head.substr(0, cut / 2), head.substr(cut / 2, cut - cut / 2)}, resets);
    });
    for (cut = 2; cut < std::max<std::size_t>(headSize, 3); cut += 5) {
        CAPTURE(cut, resets);
        const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
        REQUIRE(outcome.answer.status == 502);
        REQUIRE(outcome.answer.body.empty());
    }
    REQUIRE(mesh.nodes[0]->server->seen.size() >= headSize / 5);
}
