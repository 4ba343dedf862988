#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include "engine/buffer_limits.h"
#include "observe/process_usage.h"
#include "proxy/frames.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::RawCaller;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

constexpr std::size_t kMemory = 32U << 20U;
constexpr int kReceiveBuffer = 4096;
/*! Callers are checked several times a second. */
constexpr Millis kSoon{1000};

Script endless(const http::Request &request)
{
    static const std::string kBlock(65'536, 'x');
    return {ScriptedServer::head(request) + "\r\n", true, false, [] { return kBlock; }};
}

/*! Lets the operating system keep little of what nodes send to callers, as on a link with small
 *  windows. Accepted sockets take the size over from the listening one. */
void shrinkSendBuffers()
{
    constexpr int kLastDescriptor = 256;
    constexpr int kSendBuffer = 4096;
    for (int fd = 3; fd < kLastDescriptor; ++fd) {
        sockaddr_in name{};
        socklen_t size = sizeof name;
        int isListening = 0;
        socklen_t flagSize = sizeof isListening;
        if (getsockname(fd, reinterpret_cast<sockaddr *>(&name), &size) == 0
            && ntohs(name.sin_port) == Mesh::kCallerPort
            && getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &isListening, &flagSize) == 0
            && isListening != 0) {
            REQUIRE(setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSendBuffer, sizeof kSendBuffer) == 0);
        }
    }
}

/*! @return Callers that send some requests each and do not read. */
std::vector<std::shared_ptr<RawCaller>> pausedCallers(Mesh &mesh, int count, const char *target,
                                                      int requests = 1)
{
    std::vector<std::shared_ptr<RawCaller>> callers;
    for (int i = 0; i < count; ++i) {
        callers.push_back(mesh.connect(0, kReceiveBuffer));
        callers.back()->setReadingPaused(true);
        for (int k = 0; k < requests; ++k) {
            callers.back()->send(mesh.request("GET", target, {}, Millis{5000}));
        }
    }
    return callers;
}

} // namespace

// Guards against a node that its server takes over its memory limit with many answers at a time.
TEST_CASE("Endless answers: a gate requests no more answers at a time than it can hold")
{
    constexpr int kCalls = 60;
    Mesh mesh{1};
    mesh.limitMemory(0, kMemory);
    mesh.serverSlots = 1000;
    mesh.publish();
    mesh.nodes[0]->server->setRespond(endless);
    const auto before = processUsage().residentBytes;
    const auto callers = pausedCallers(mesh, kCalls, "/slow/");
    mesh.run(kSoon);
    const auto &server = *mesh.nodes[0]->server;
    // Of each answer this much may be held at least, besides what is read ahead.
    const auto most = engine::BufferLimits{kMemory}.gate
            / (proxy::kWholeBodyBytes + proxy::kBodyWindowBytes);
    REQUIRE(server.seen.size() > 5);
    REQUIRE(server.seen.size() <= most);
    REQUIRE(processUsage().residentBytes < before + kMemory / 2);
}

// Guards against a node that runs out of memory since many callers read little of what they asked
// for.
TEST_CASE("Endless answers: callers that do not read are reset before the node runs out of memory")
{
    constexpr int kCallers = 30;
    constexpr int kPipelined = 16;
    constexpr std::size_t kBodyBytes = 60'000;
    Mesh mesh{1};
    mesh.limitMemory(0, kMemory);
    mesh.serverSlots = 100;
    mesh.publish();
    shrinkSendBuffers();
    for (const auto &node : mesh.nodes) {
        node->server->setRespond([](const http::Request &request) {
            return Script{ScriptedServer::good(request, std::string(kBodyBytes, 'x'))};
        });
    }
    const auto callers = pausedCallers(mesh, kCallers, "/safe/", kPipelined);
    const auto held = [&] { return mesh.nodes[0]->engine->callerBytes(); };
    REQUIRE(mesh.runUntil([&] { return held() > engine::BufferLimits{kMemory}.callers; }, kSoon));
    REQUIRE(mesh.runUntil([&] { return held() <= engine::BufferLimits{kMemory}.callers; }, kSoon));
    for (const auto &caller : callers) {
        caller->setReadingPaused(false);
    }
    mesh.run(Millis{100});
    const auto resets = std::count_if(callers.begin(), callers.end(),
                                      [](const auto &caller) { return caller->isReset; });
    REQUIRE(resets > 0);
    REQUIRE(resets < kCallers);
}
