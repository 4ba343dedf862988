#include <algorithm>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using standin::soak::LinkState;
using test::Mesh;
using test::Outcome;

namespace {

std::string pattern(std::size_t size)
{
    std::string body(size, ' ');
    for (std::size_t i = 0; i < size; ++i) {
        body[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
    }
    return body;
}

} // namespace

TEST_CASE("Upload: a request body arrives whole through one node and through two")
{
    const auto size = GENERATE(as<std::size_t>{}, 16'384, 16'385, 65'536, 300'000, 1'000'000);
    const int missing = GENERATE(0, 1);
    CAPTURE(size, missing);
    Mesh mesh{2};
    mesh.publish({}, {missing});
    const auto body = pattern(size);
    REQUIRE(mesh.callAndWait(0, "POST", "/once/", {}, body).answer.status == 200);
    const auto &seen = mesh.nodes[missing == 0 ? 1 : 0]->server->seen;
    REQUIRE(seen.size() == 1);
    REQUIRE(seen.front().body == body);
}

TEST_CASE("Upload: a link that is reset midway - the request runs whole or not at all")
{
    const int step = GENERATE(range(0, 12));
    CAPTURE(step);
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200);
    LinkState slow;
    slow.bytesPerSecond = 4'000'000;
    mesh->proxy->setState(slow);
    auto &seen = mesh->nodes[1]->server->seen;
    seen.clear();
    const auto body = pattern(900'000);
    const auto outcome = std::make_shared<Outcome>();
    const auto caller = mesh->call(0, "POST", "/once/", outcome, {}, body);
    mesh->run(Millis{25 * step});
    mesh->proxy->resetAll();
    REQUIRE(mesh->runUntil([&] { return outcome->isDone; }, Millis{4000}));
    mesh->run(Millis{300});
    REQUIRE(seen.size() <= 1);
    REQUIRE(std::all_of(seen.begin(), seen.end(),
                        [&](const http::Request &request) { return request.body == body; }));
    if (outcome->answer.status == 503) {
        REQUIRE(seen.empty());
    }
}

TEST_CASE("Upload: a caller that leaves midway - nothing of its request runs")
{
    const auto mesh = Mesh::withProxy();
    mesh->publish({}, {0});
    REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200);
    LinkState slow;
    slow.bytesPerSecond = 2'000'000;
    mesh->proxy->setState(slow);
    auto &seen = mesh->nodes[1]->server->seen;
    seen.clear();
    const auto outcome = std::make_shared<Outcome>();
    const auto caller = mesh->call(0, "POST", "/once/", outcome, {}, pattern(900'000));
    mesh->run(Millis{150});
    caller->cancel();
    mesh->run(Millis{1500});
    REQUIRE(seen.empty());
    REQUIRE(mesh->callAndWait(0, "GET", "/safe/").answer.status == 200);
}
