#include <catch2/catch.hpp>

#include "observe/process_usage.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

std::string pattern(std::size_t size)
{
    std::string body(size, ' ');
    for (std::size_t i = 0; i < size; ++i) {
        body[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
    }
    return body;
}

/*! @return A signed answer with a body in one chunk. */
std::string chunked(const http::Request &request, const std::string &body)
{
    return ScriptedServer::head(request) + "Transfer-Encoding: chunked\r\n\r\n"
            + http::chunkHeader(body.size()) + body + "\r\n0\r\n\r\n";
}

} // namespace

TEST_CASE("Long body: it arrives whole through one node and through two")
{
    const auto size = GENERATE(as<std::size_t>{}, 131'072, 131'073, 196'608, 1'000'000, 5'000'000);
    const int missing = GENERATE(0, 1);
    const bool isChunked = GENERATE(false, true);
    CAPTURE(size, missing, isChunked);
    Mesh mesh{2};
    const auto body = pattern(size);
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([&](const http::Request &request) {
            if (!isChunked) {
                return Script{ScriptedServer::good(request, body), false};
            }
            return Script{chunked(request, body), false};
        });
    }
    mesh.publish({}, {missing});
    for (int i = 0; i < 2; ++i) {
        const auto caller = mesh.connect(0);
        caller->send(mesh.request("GET", "/safe/"));
        // The connection stays usable behind a long body.
        // Chunks split the body, so a chunked one is recognized by its end.
        const auto isWhole = [&](int n) {
            return (isChunked && size > proxy::kWholeBodyBytes ? caller->count("\r\n0\r\n\r\n")
                                                               : caller->count(body))
                    == n;
        };
        REQUIRE(mesh.runUntil([&] { return isWhole(1); }, Millis{4000}));
        caller->send(mesh.request("GET", "/safe/"));
        REQUIRE(mesh.runUntil([&] { return isWhole(2); }, Millis{4000}));
        mesh.run(Millis{20});
        REQUIRE_FALSE(caller->isEnded);
        REQUIRE(caller->received.size() >= 2 * size);
    }
}

TEST_CASE("Long body: a slow reader holds back the server and costs the nodes a window only")
{
    Mesh mesh{2};
    mesh.publish({}, {0});
    static constexpr std::size_t kPart = 65'536;
    static constexpr std::size_t kParts = 1000;
    auto &server = *mesh.nodes[1]->server;
    server.setRespond([](const http::Request &request) {
        // Generated part by part, so that the test itself holds none of it.
        const auto left = std::make_shared<std::size_t>(kParts);
        Script script;
        script.bytes = ScriptedServer::head(request)
                + "Content-Length: " + std::to_string(kPart * kParts) + "\r\n\r\n";
        script.more = [left]() -> std::string {
            if (*left == 0) {
                return {};
            }
            --*left;
            return std::string(kPart, 'x');
        };
        return script;
    });
    const auto before = processUsage().residentBytes;
    const auto caller = mesh.connect(0);
    caller->setReadingPaused(true);
    caller->send(mesh.request("GET", "/safe/"));
    mesh.run(Millis{800});
    const auto after = processUsage().residentBytes;
    // The body passes two nodes. The rest is for buffers of fixed size and the allocator.
    REQUIRE(after < before + 2 * proxy::kBodyWindowBytes + (3U << 20U));
    REQUIRE(server.bytesSent > 2 * proxy::kBodyWindowBytes);
    REQUIRE(server.bytesSent < kPart * kParts / 2);
    // Others are served meanwhile.
    server.setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, "ok"), false};
    });
    REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.body == "ok");
}

TEST_CASE("Long body: a caller that leaves midway ends the work at the server")
{
    Mesh mesh{2};
    mesh.publish({}, {0});
    const auto body = pattern(30'000'000);
    mesh.nodes[1]->server->setRespond([&body](const http::Request &request) {
        return Script{ScriptedServer::good(request, body), false};
    });
    const auto caller = mesh.connect(0);
    caller->setReadingPaused(true);
    caller->send(mesh.request("GET", "/safe/"));
    mesh.run(Millis{200});
    caller->close();
    REQUIRE(mesh.runUntil([&] { return mesh.nodes[1]->server->openConnections <= 1; },
                          Millis{500}));
}

TEST_CASE("Long body: pipelined responses keep their order and their bytes")
{
    Mesh mesh{2};
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, request.target), false};
    });
    const auto body = pattern(700'000);
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([&body](const http::Request &request) {
            const bool isLong = request.target.find("long") != std::string::npos;
            return Script{ScriptedServer::good(request, isLong ? body : request.target), false};
        });
    }
    const auto caller = mesh.connect(0);
    std::string bytes;
    for (const char *target : {"/safe/1", "/safe/long", "/safe/2", "/safe/long", "/safe/3"}) {
        bytes += mesh.request("GET", target);
    }
    caller->send(bytes);
    REQUIRE(mesh.runUntil([&] { return caller->count("/safe/3") == 1; }, Millis{3000}));
    const auto &received = caller->received;
    REQUIRE(caller->count(body) == 2);
    REQUIRE(received.find("/safe/1") < received.find(body));
    REQUIRE(received.find(body) < received.find("/safe/2"));
    REQUIRE(received.find("/safe/2") < received.rfind(body));
    REQUIRE(received.rfind(body) < received.find("/safe/3"));
}

TEST_CASE("Long body: answers of any length are well-formed for a caller that keeps its connection")
{
    Mesh mesh{2};
    const int missing = GENERATE(0, 1);
    const bool isChunked = GENERATE(false, true);
    mesh.publish({}, {missing});
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([isChunked](const http::Request &request) {
            const auto size = static_cast<std::size_t>(
                    std::stoi(request.target.substr(request.target.rfind('/') + 1)));
            return Script{isChunked ? chunked(request, pattern(size))
                                    : ScriptedServer::good(request, pattern(size)),
                          false};
        });
    }
    for (std::size_t size = 100'000; size < 640'000; size += 23'456) {
        const auto outcome = mesh.callAndWait(0, "GET", "/safe/" + std::to_string(size));
        CAPTURE(size, isChunked);
        REQUIRE(outcome.end == http::ExchangeEnd::Answered);
        REQUIRE(outcome.answer.status == 200);
        REQUIRE(outcome.answer.body == pattern(size));
    }
}
