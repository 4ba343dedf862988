#include <set>

#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! Lets the gates learn how long answers usually take. */
void answerSome(Mesh &mesh)
{
    for (const int other : {0, 1}) {
        mesh.publish({other});
        for (int i = 0; i < 10; ++i) {
            REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 200);
        }
    }
    mesh.publish();
}

struct Calls
{
    std::vector<std::shared_ptr<Outcome>> outcomes;
    std::vector<http::ClientConnectionPtr> connections;

    void add(Mesh &mesh, const char *method, const char *target)
    {
        outcomes.push_back(std::make_shared<Outcome>());
        connections.push_back(mesh.call(0, method, target, outcomes.back()));
    }
    [[nodiscard]] int count(int status) const
    {
        return static_cast<int>(
                std::count_if(outcomes.begin(), outcomes.end(), [status](const auto &outcome) {
                    return outcome->isDone && outcome->answer.status == status;
                }));
    }
};

} // namespace

TEST_CASE("Hanging server: repeatable requests are served elsewhere long before their deadline")
{
    Mesh mesh{2};
    answerSome(mesh);
    mesh.nodes[1]->server->setRespond([](const http::Request &) { return Script{}; });
    mesh.publish({0}); // a server that is listed as missing would come back cold
    const auto before = mesh.nodes[1]->server->seen.size();
    Calls calls;
    for (int i = 0; i < 4; ++i) {
        calls.add(mesh, "GET", "/safe/");
    }
    REQUIRE(mesh.runUntil([&] { return mesh.nodes[1]->server->seen.size() == before + 4; },
                          Millis{300}));
    mesh.publish();
    mesh.run(Millis{900}); // the deadline is 1500 ms
    std::set<std::string> hungIds;
    for (const auto &request : mesh.nodes[1]->server->seen) {
        hungIds.emplace(http::findHeader(request.headers, "T-Request"));
    }
    const auto &others = mesh.nodes[0]->server->seen;
    const auto moved = std::count_if(others.begin(), others.end(), [&](const auto &request) {
        return hungIds.count(std::string{http::findHeader(request.headers, "T-Request")}) > 0;
    });
    REQUIRE(moved >= 1); // as many as the retry budget allows
    REQUIRE(calls.count(502) == 0);
}

TEST_CASE("Hanging server: without another server a request waits and may still be answered")
{
    Mesh mesh{2};
    answerSome(mesh);
    mesh.publish({}, {1});
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, "ok"), false, false, {}, Millis{900}};
    });
    Calls calls;
    for (int i = 0; i < 4; ++i) {
        calls.add(mesh, "GET", "/safe/");
    }
    mesh.run(Millis{1300});
    REQUIRE(calls.count(200) == 4);
    REQUIRE(calls.count(502) == 0);
}

TEST_CASE("Hanging server: requests that must not be repeated wait for their answer")
{
    Mesh mesh{2};
    answerSome(mesh);
    for (const auto &node : mesh.nodes) {
        node->server->seen.clear();
        node->server->setRespond([](const http::Request &request) {
            return Script{ScriptedServer::good(request, "ok"), false, false, {}, Millis{900}};
        });
    }
    Calls calls;
    // No more than the slots of one server, so that none has to queue.
    for (int i = 0; i < 4; ++i) {
        calls.add(mesh, "POST", "/once/");
    }
    mesh.run(Millis{1300});
    REQUIRE(calls.count(200) == 4);
    REQUIRE(mesh.nodes[0]->server->seen.size() + mesh.nodes[1]->server->seen.size() == 4);
}

// Guards against a gate that stays closed, since a health probe that gets no answer is the last
// one.
TEST_CASE("Hanging server: a health probe without an answer is followed by another one")
{
    Mesh mesh{1};
    auto &server = *mesh.nodes[0]->server;
    server.restartAs("other");
    REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 503); // closes the gate
    server.restartAs("s0");
    int probes = 0;
    server.setRespondHealth([&probes](const http::Request &) {
        const bool isAnswered = ++probes > 1;
        return Script{isAnswered ? "HTTP/1.1 200 OK\r\nT-Server: s0\r\nContent-Length: 0\r\n\r\n"
                                 : "HTTP/1.1 200 OK\r\n"};
    });
    const auto isServed = [&mesh] {
        mesh.run(Millis{100});
        return mesh.callAndWait(0, "GET", "/safe/").answer.status == 200;
    };
    REQUIRE(mesh.runUntil(isServed, Millis{4000}));
    REQUIRE(probes == 2);
}
