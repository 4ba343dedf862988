#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "support/mesh.h"

using namespace celeryramp;
using standin::soak::LinkState;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! Time after the begin of a shutdown at which a node still admits work. */
constexpr Millis kBeforeClosing{2400};
/*! Time after the begin of a shutdown at which peers know that the node has closed. */
constexpr Millis kUntilClosed{3000};
/*! Late in the grace period, which is 6 s. Callers have long been told that the node leaves. */
constexpr Millis kLate{4000};
/*! The node has ended, or closed the connection. */
constexpr Millis kUntilEnded{3000};
/*! A server that is listed again has been probed after this time. */
constexpr Millis kProbeTime{50};

/*!
 * A call that must not be repeated, on its way to node 1 while that closes. Node 0 has no server of
 * its own.
 */
struct CallToClosingNode
{
    CallToClosingNode()
    {
        mesh->publish({}, {0});
        REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200);
        mesh->nodes[1]->engine->beginShutdown(bootNow());
        mesh->run(kBeforeClosing);
        mesh->proxy->setState(LinkState::held());
        caller = mesh->call(0, "POST", "/once/", outcome, {}, "x");
    }

    std::unique_ptr<Mesh> mesh = Mesh::withProxy();
    std::shared_ptr<Outcome> outcome = std::make_shared<Outcome>();
    http::ClientConnectionPtr caller;
};

/*! Lets a server answer late and once. */
ScriptedServer::Respond answerAfter(Millis delay, const std::string &body)
{
    return [delay, body](const http::Request &request) {
        return Script{ScriptedServer::good(request, body), false, false, {}, delay};
    };
}

} // namespace

TEST_CASE("Planned stop: a call on its way to a node that has closed is known not to have run")
{
    const CallToClosingNode call;
    const auto &mesh = call.mesh;
    const auto &outcome = call.outcome;
    mesh->run(Millis{900});
    REQUIRE_FALSE(outcome->isDone);
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return outcome->isDone; }, Millis{500}));
    REQUIRE(outcome->answer.status == 503);
    REQUIRE(mesh->nodes[1]->server->seen.size() == 1);
}

TEST_CASE("Planned stop: a call on its way to a node that has closed is served elsewhere")
{
    const CallToClosingNode call;
    const auto &mesh = call.mesh;
    const auto &outcome = call.outcome;
    mesh->run(Millis{700});
    mesh->publish(); // now node 0 has a server too
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return outcome->isDone; }, Millis{500}));
    REQUIRE(outcome->answer.status == 200);
    REQUIRE(mesh->nodes[0]->server->seen.size() == 1);
}

TEST_CASE("Planned stop: long answers that run at the stop are delivered whole")
{
    Mesh mesh{2};
    mesh.publish({}, {0});
    const std::string body(3'000'000, 'b');
    mesh.nodes[1]->server->setRespond([&body](const http::Request &request) {
        return Script{ScriptedServer::good(request, body), false};
    });
    const auto caller = mesh.connect(0);
    caller->setReadingPaused(true);
    caller->send(mesh.request("GET", "/safe/", "", Millis{6000}));
    mesh.run(Millis{100});
    mesh.nodes[1]->engine->beginShutdown(bootNow());
    mesh.run(Millis{3000});
    caller->setReadingPaused(false);
    REQUIRE(mesh.runUntil([&] { return caller->received.size() > body.size(); }, Millis{1500}));
    REQUIRE(caller->count(body) == 1);
}

TEST_CASE("Planned stop: connections that wait to be accepted when a node closes are answered")
{
    Mesh mesh{1};
    mesh.nodes[0]->engine->beginShutdown(bootNow());
    mesh.run(Millis{2300});
    // They connect while the node does not run, so that they wait in the accept queue when the
    // time to listen is over.
    std::vector<std::shared_ptr<test::RawCaller>> callers;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(mesh.connect(0));
        callers.back()->send(mesh.request("GET", "/safe/"));
    }
    const auto end = bootNow() + Millis{500};
    while (bootNow() < end) { }
    REQUIRE(mesh.runUntil(
            [&] {
                return std::all_of(callers.begin(), callers.end(),
                                   [](const auto &caller) { return caller->isEnded; });
            },
            Millis{3000}));
    for (const auto &caller : callers) {
        REQUIRE(caller->count("HTTP/1.1") == 1);
    }
}

TEST_CASE("Planned stop: a reply on a silent link is waited for when the node closes")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    auto &server = *mesh->nodes[1]->server;
    server.setRespond(answerAfter(Millis{400}, "done"));
    const auto caller = mesh->connect(0);
    caller->send(mesh->request("POST", "/slow/", "x", Millis{5500}));
    REQUIRE(mesh->runUntil([&] { return server.seen.size() == 1; }, Millis{1000}));
    mesh->proxy->setPresentState(LinkState::held());
    mesh->run(Millis{1000});
    mesh->nodes[1]->engine->beginShutdown(bootNow());
    mesh->run(Millis{1250}); // the reply waits on the link, which is detached by now
    REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200);
    mesh->run(kUntilClosed - Millis{1250});
    REQUIRE(caller->received.empty());
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return caller->count("done") == 1; }, Millis{300}));
    REQUIRE(caller->count("HTTP/1.1 200") == 1);
    REQUIRE(server.seen.size() == 2);
}

TEST_CASE("Planned stop: a reply on a link that the peer replaced is waited for when it closes")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200); // node 0 opens the link
    mesh->publish({}, {1});
    mesh->run(kProbeTime);
    mesh->nodes[0]->server->setRespond(answerAfter(Millis{1600}, "done"));
    const auto caller = mesh->connect(1);
    caller->send(mesh->request("POST", "/slow/", "x", Millis{5900}));
    REQUIRE(mesh->runUntil([&] { return mesh->nodes[0]->server->seen.size() == 1; }, Millis{1000}));
    mesh->publish({}, {0});
    mesh->run(kProbeTime);
    mesh->nodes[1]->server->setRespond(answerAfter(Millis{2700}, "late"));
    const auto other = mesh->connect(0);
    other->send(mesh->request("POST", "/slow/", "x", Millis{5900}));
    REQUIRE(mesh->runUntil([&] { return mesh->nodes[1]->server->seen.size() == 2; }, Millis{200}));
    // Node 0 hears nothing and opens another link, while node 1 has still heard it lately.
    auto state = LinkState{};
    state.isOutboundHeld = true;
    mesh->proxy->setPresentState(state);
    mesh->run(Millis{400});
    const auto third = mesh->connect(0);
    third->send(mesh->request("GET", "/safe/"));
    mesh->run(Millis{1050});
    mesh->proxy->setPresentState(LinkState::held());
    mesh->nodes[0]->engine->beginShutdown(bootNow());
    mesh->nodes[1]->server->setRespond(answerAfter(Millis{0}, "ok"));
    REQUIRE(mesh->runUntil(
            [&] {
                mesh->run(Millis{20});
                return mesh->callAndWait(0, "GET", "/safe/").answer.status == 200;
            },
            Millis{1000}));
    REQUIRE(mesh->runUntil([&] { return other->count("late") == 1; }, Millis{1000}));
    other->close();
    third->close();
    mesh->run(kUntilClosed - Millis{600});
    REQUIRE(caller->received.empty());
    mesh->proxy->setState({});
    REQUIRE(mesh->runUntil([&] { return caller->count("done") == 1; }, Millis{300}));
    REQUIRE(mesh->nodes[0]->server->seen.size() == 1);
}

// Guards against a request, taken late in the grace period, that is cut off with the node.
TEST_CASE("Planned stop: a request that cannot end in time is refused late in the grace period")
{
    Mesh mesh{2};
    mesh.publish({}, {0});
    auto &server = *mesh.nodes[1]->server;
    server.setRespond(answerAfter(Millis{1800}, "done"));
    const auto caller = mesh.connect(0);
    SECTION("its body arrives slowly")
    {
        const auto bytes = mesh.request("POST", "/slow/", "slowly", Millis{5000});
        caller->send(bytes.substr(0, bytes.size() - 1));
        mesh.run(Millis{50});
        mesh.nodes[0]->engine->beginShutdown(bootNow());
        mesh.run(kLate);
        caller->send(bytes.substr(bytes.size() - 1));
    }
    SECTION("it follows a request that is still served")
    {
        mesh.nodes[0]->engine->beginShutdown(bootNow());
        mesh.run(kBeforeClosing);
        caller->send(mesh.request("GET", "/safe/", {}, Millis{2000}));
        mesh.run(kLate - kBeforeClosing);
        caller->send(mesh.request("GET", "/safe/", {}, Millis{2000}));
        REQUIRE(mesh.runUntil([&] { return caller->count("done") == 1; }, Millis{500}));
    }
    REQUIRE(mesh.runUntil([&] { return caller->isEnded; }, kUntilEnded));
    REQUIRE(caller->count("HTTP/1.1 503") == 1);
    REQUIRE(server.seen.size() == static_cast<std::size_t>(caller->count("HTTP/1.1 200")));
}

// Guards against refusals of requests that would have been answered before the node ends.
TEST_CASE("Planned stop: a request that ends in time is served late in the grace period")
{
    Mesh mesh{2};
    const auto caller = mesh.connect(0);
    const auto bytes = mesh.request("POST", "/slow/", "slowly", Millis{1000});
    caller->send(bytes.substr(0, bytes.size() - 1));
    mesh.run(Millis{50});
    mesh.nodes[0]->engine->beginShutdown(bootNow());
    mesh.run(kLate);
    caller->send(bytes.substr(bytes.size() - 1));
    REQUIRE(mesh.runUntil([&] { return caller->isEnded; }, kUntilEnded));
    REQUIRE(caller->count("HTTP/1.1 200") == 1);
}

// Guards against callers that learn nothing of the request that a stopping node gives up.
TEST_CASE("Planned stop: requests that still run at the end of the grace period are answered")
{
    Mesh mesh{2};
    mesh.publish({}, {0});
    mesh.nodes[1]->server->setRespond(answerAfter(Millis{7000}, "never"));
    const auto caller = mesh.connect(0);
    caller->send(mesh.request("POST", "/slow/", "x", Millis{6000}));
    mesh.run(Millis{50});
    mesh.nodes[0]->engine->beginShutdown(bootNow());
    REQUIRE(mesh.runUntil([&] { return caller->isEnded; }, Millis{6000}));
    REQUIRE(caller->count("HTTP/1.1 502") == 1);
}
