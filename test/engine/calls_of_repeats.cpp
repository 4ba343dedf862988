#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

// Guards against repeats that the retry budget does not count: the calls that a request makes again
// when it is run again.
TEST_CASE("Calls of repeats: they draw on the retry budget of the called service")
{
    Mesh mesh{3};
    mesh.publish({2});
    mesh.run(Millis{1100}); // so long a gate keeps off a cold server after its start
    std::map<std::string, int> arrivals;
    int repeatedAt = -1; // node whose server runs the repeated request
    for (const int index : {0, 1}) {
        mesh.nodes[static_cast<std::size_t>(index)]->server->setRespond(
                [&, index](const http::Request &request) {
                    const std::string id{http::findHeader(request.headers, "T-Request")};
                    if (++arrivals[id] == 1) {
                        return Script{"", true}; // the answer to each first arrival is lost
                    }
                    if (repeatedAt < 0) {
                        repeatedAt = index;
                        return Script{};
                    }
                    return Script{ScriptedServer::good(request, "ok")};
                });
    }
    const auto outcome = std::make_shared<Outcome>();
    const auto caller = mesh.call(2, "GET", "/safe/", outcome);
    REQUIRE(mesh.runUntil([&] { return repeatedAt >= 0; }, Millis{1000}));
    // A call of that server, made while it runs the repeated request.
    const auto nested = mesh.callAndWait(repeatedAt, "GET", "/safe/");
    CAPTURE(repeatedAt, nested.answer.status);
    int repeats = 0;
    for (const auto &[id, n] : arrivals) {
        repeats += n - 1;
    }
    REQUIRE(repeats == 1);
    REQUIRE(nested.answer.status == 502);
    // A call of a server that runs first attempts only may be repeated.
    REQUIRE(mesh.callAndWait(1 - repeatedAt, "GET", "/safe/").answer.status == 200);
}
