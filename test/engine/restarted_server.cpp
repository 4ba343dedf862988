#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using test::Mesh;

namespace {

/*! @return Arrivals beyond the first of each request, over all servers. */
int repeatedArrivals(const Mesh &mesh)
{
    std::map<std::string, int> arrivals;
    for (const auto &node : mesh.nodes) {
        for (const auto &request : node->server->seen) {
            ++arrivals[std::string{http::findHeader(request.headers, "T-Request")}];
        }
    }
    int repeated = 0;
    for (const auto &[id, n] : arrivals) {
        repeated += n - 1;
    }
    return repeated;
}

} // namespace

// Guards against arrivals that the retry budget does not count: rejections by servers that have
// restarted under another id than the one that is published.
TEST_CASE("Restarted servers: rejections of the old id are repeats within the retry budget")
{
    Mesh mesh{4};
    for (const int index : {0, 1, 2}) {
        mesh.restartServer(index, "restarted-" + std::to_string(index));
    }
    constexpr int kRequests = 60;
    int served = 0;
    for (int i = 0; i < kRequests; ++i) {
        const auto *target = i % 2 == 0 ? "/safe/" : "/once/";
        served += mesh.callAndWait(i % 4, "GET", target).answer.status == 200 ? 1 : 0;
    }
    // A fifth of the requests, and one for each node.
    constexpr int kAllowed = kRequests / 5 + 4;
    CAPTURE(served);
    REQUIRE(repeatedArrivals(mesh) <= kAllowed);
    REQUIRE(served >= kRequests - kAllowed); // the fourth server has room for all of them
}

// Guards against a server that stays unused after its gate was closed for an outdated id.
TEST_CASE("Restarted servers: a server is used again once its new id is published")
{
    Mesh mesh{1};
    REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 200);
    mesh.restartServer(0, "restarted");
    for (int i = 0; i < 3; ++i) {
        REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 503);
    }
    mesh.publish();
    mesh.run(Millis{50});
    REQUIRE(mesh.callAndWait(0, "GET", "/safe/").answer.status == 200);
}

// Guards against requests held until their deadline although no server can run them.
TEST_CASE("Restarted servers: without another server a request is refused at once as not run")
{
    Mesh mesh{2};
    mesh.restartServer(0, "restarted-0");
    mesh.restartServer(1, "restarted-1");
    for (int i = 0; i < 10; ++i) {
        const auto outcome = std::make_shared<test::Outcome>();
        const auto caller = mesh.call(i % 2, "POST", "/once/", outcome, {}, "x");
        REQUIRE(mesh.runUntil([&] { return outcome->isDone; }, Millis{200}));
        REQUIRE(outcome->answer.status == 503);
    }
}
