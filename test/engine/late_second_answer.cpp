#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

TEST_CASE("Late second answer: a copy on a connection in use reaches no other caller")
{
    Mesh mesh{1};
    std::string previous;
    mesh.nodes[0]->server->setRespond([&previous](const http::Request &request) {
        // The copy of the previous answer comes where the answer to this request is due.
        const auto own = ScriptedServer::good(request, request.body);
        const auto bytes = previous + own;
        previous = own;
        return Script{bytes, false};
    });
    for (int i = 0; i < 10; ++i) {
        const auto body = "caller-" + std::to_string(i);
        const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, body);
        REQUIRE(outcome.answer.status == 200);
        REQUIRE(outcome.answer.body == body);
    }
}

TEST_CASE("Late second answer: a copy that arrives while the connection rests closes it")
{
    Mesh mesh{1};
    auto &server = *mesh.nodes[0]->server;
    server.setRespond([](const http::Request &request) {
        const auto own = ScriptedServer::good(request, request.body);
        int copies = 1;
        return Script{own, false, false,
                      [own, copies]() mutable { return copies-- > 0 ? own : std::string{}; }};
    });
    for (int i = 0; i < 10; ++i) {
        const auto body = "caller-" + std::to_string(i);
        REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, body).answer.body == body);
        mesh.run(Millis{i % 3});
    }
}

TEST_CASE("Late second answer: an answer without id on a used connection is not attributed")
{
    Mesh mesh{1};
    auto &server = *mesh.nodes[0]->server;
    int n = 0;
    server.setRespond([&n](const http::Request &request) {
        // A refusal without id may be the copy of an earlier one, while this request runs.
        return ++n % 2 == 1 ? Script{ScriptedServer::good(request, "ok"), false}
                            : Script{"HTTP/1.1 503 Busy\r\nT-Not-Run: 1\r\n"
                                     "Content-Length: 0\r\n\r\n",
                                     false};
    });
    REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.status == 200);
    REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, "x").answer.status == 502);
}

TEST_CASE("Late second answer: endless copies do not hold a request up until its deadline")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &) {
        constexpr const char *kCopy = "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Request: earlier\r\n"
                                      "Content-Length: 3\r\n\r\nold";
        return Script{kCopy, false, false, [] { return std::string{kCopy}; }};
    });
    const auto outcome = std::make_shared<Outcome>();
    const auto caller = mesh.call(0, "POST", "/once/", outcome, {}, "x");
    REQUIRE(mesh.runUntil([&] { return outcome->isDone; }, Millis{700}));
    REQUIRE(outcome->answer.status == 502);
}

// Guards against an earlier refusal, written once more by its server, that is taken for that of the
// request now running on the connection.
TEST_CASE("Late second answer: an earlier refusal is not that of the request that runs now")
{
    Mesh mesh{2};
    const auto *status = GENERATE("503 Busy", "421 Misdirected Request", "429 Too Many");
    std::map<const void *, std::string> refusals; // the last one of each server
    int requests = 0;
    int copies = 0;
    std::map<std::string, int> runs; // by id of the request
    for (const auto &node : mesh.nodes) {
        auto &refusal = refusals[node->server.get()];
        node->server->setRespond([&, status](const http::Request &request) {
            if (++requests % 3 == 2) {
                refusal = std::string{"HTTP/1.1 "} + status + "\r\nT-Not-Run: 1\r\nT-Request: "
                        + std::string{http::findHeader(request.headers, "T-Request")}
                        + "\r\nContent-Length: 0\r\n\r\n";
                return Script{refusal};
            }
            ++runs[std::string{http::findHeader(request.headers, "T-Request")}];
            // The copy comes while this request runs.
            auto answer = ScriptedServer::good(request, "ok");
            Script script{refusal.empty() ? answer : refusal};
            if (!refusal.empty()) {
                ++copies;
                script.more = [answer, n = 0]() mutable { return n++ == 0 ? answer : ""; };
            }
            return script;
        });
    }
    for (int i = 0; i < 12; ++i) {
        const auto outcome = mesh.callAndWait(0, "POST", "/once/", {}, "x");
        const int answered = outcome.answer.status;
        CAPTURE(status, i, answered);
        const auto ran = runs.count("r" + std::to_string(i + 1));
        REQUIRE(answered == (ran > 0 ? 200 : 503));
        mesh.run(Millis{350}); // a gate that a 421 has closed may probe its server again
    }
    REQUIRE(copies > 0);
    for (const auto &[id, n] : runs) {
        CAPTURE(id);
        REQUIRE(n == 1);
    }
}
