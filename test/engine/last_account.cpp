#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "support/mesh.h"

using namespace celeryramp;
using directory::AccountList;
using test::Mesh;
using test::Outcome;
using test::ScriptedServer;
using Script = test::ScriptedServer::Script;

namespace {

/*! Beyond the age at which keys count as stale. */
constexpr Millis kStaleAfter{4700};

int status(Mesh &mesh, int node, const std::string &target, const std::string &key = {})
{
    const auto headers = key.empty() ? http::Headers{} : http::Headers{{"T-Key", key}};
    return mesh.callAndWait(node, "GET", target, headers).answer.status;
}

} // namespace

// Guards against requests that run without a valid key once the last account was removed.
TEST_CASE("Last account: without any account no request runs except on open routes")
{
    Mesh mesh{2};
    REQUIRE(status(mesh, 0, "/keyed/", "k1") == 200);
    mesh.publishAccounts(AccountList{});
    const auto before = mesh.receivedRequests();
    for (int node = 0; node < 2; ++node) {
        REQUIRE(status(mesh, node, "/keyed/", "k1") == 401);
        REQUIRE(status(mesh, node, "/keyed/", "never-held") == 401);
        REQUIRE(status(mesh, node, "/keyed/") == 401);
        REQUIRE(mesh.gauge(node, "directory_keys_required") == 1);
        REQUIRE(mesh.gauge(node, "directory_accounts") == 0);
    }
    REQUIRE(mesh.receivedRequests() == before);
    REQUIRE(status(mesh, 0, "/safe/") == 200);

    SECTION("a node that starts under this version refuses them too")
    {
        mesh.restartNode(1);
        REQUIRE(status(mesh, 1, "/keyed/", "k1") == 503); // it knows no version
        mesh.publish();
        REQUIRE(status(mesh, 1, "/keyed/", "k1") == 401);
    }
    SECTION("an account that comes back is served")
    {
        mesh.publishAccounts(AccountList{{{"mill", {"k1"}, 0, 0.0, 0.0}}});
        REQUIRE(status(mesh, 0, "/keyed/", "k1") == 200);
        REQUIRE(status(mesh, 1, "/keyed/", "k3") == 401);
    }
    SECTION("a node that cannot confirm the version does not decide on keys")
    {
        mesh.run(kStaleAfter);
        REQUIRE(status(mesh, 0, "/keyed/", "k1") == 503);
        REQUIRE(status(mesh, 0, "/safe/") == 200);
    }
    SECTION("a version without a list of accounts asks for no keys")
    {
        mesh.publishAccounts(AccountList::withoutKeys());
        REQUIRE(status(mesh, 0, "/keyed/") == 200);
        REQUIRE(mesh.gauge(0, "directory_keys_required") == 0);
    }
}

TEST_CASE("Last account: a rate of an account is in force again when the account comes back")
{
    Mesh mesh{1};
    const AccountList accounts{{{"press", {"k3"}, 0, 20.0, 20.0}}};
    const auto served = [&mesh] {
        int n = 0;
        for (int i = 0; i < 60; ++i) {
            n += status(mesh, 0, "/keyed/", "k3") == 200 ? 1 : 0;
        }
        return n;
    };
    REQUIRE(served() < 60);
    mesh.publishAccounts(AccountList{});
    REQUIRE(status(mesh, 0, "/keyed/", "k3") == 401);
    mesh.publishAccounts(accounts);
    REQUIRE(served() < 60);
}

TEST_CASE("Last account: a request under way ends and the next one on its connection is refused")
{
    Mesh mesh{1};
    mesh.nodes[0]->server->setRespond([](const http::Request &request) {
        return Script{ScriptedServer::good(request, "ok"), false, false, {}, Millis{300}};
    });
    const auto first = std::make_shared<Outcome>();
    const auto second = std::make_shared<Outcome>();
    const http::Headers key{{"T-Key", "k1"}};
    const auto connection = mesh.call(0, "GET", "/keyed/", first, key);
    REQUIRE(mesh.runUntil([&] { return mesh.receivedRequests() == 1; }, Millis{1000}));
    mesh.publishAccounts(AccountList{});
    REQUIRE(mesh.runUntil([&] { return first->isDone; }, Millis{2000}));
    REQUIRE(first->answer.status == 200);
    http::Exchange exchange;
    exchange.wire = "GET /keyed/ HTTP/1.1\r\nHost: shop.example\r\nT-Request: kept\r\n"
                    "T-Deadline: 1500\r\nT-Key: k1\r\n\r\n";
    exchange.done = [&second](http::ExchangeEnd end, http::Answer answer) {
        *second = {true, end, std::move(answer)};
    };
    connection->send(std::move(exchange));
    REQUIRE(mesh.runUntil([&] { return second->isDone; }, Millis{2000}));
    REQUIRE(second->answer.status == 401);
    REQUIRE(mesh.receivedRequests() == 1);
}

// Guards against callers that count as calls of servers, which go first, once their account is
// gone.
TEST_CASE("Last account: a caller with a removed key on an open route is no nested call")
{
    Mesh mesh{1};
    mesh.publishAccounts(AccountList{});
    REQUIRE(status(mesh, 0, "/safe/", "k1") == 200);
    REQUIRE(mesh.metric(0, "nested_calls_total") == 0);
    REQUIRE(status(mesh, 0, "/safe/") == 200);
    REQUIRE(mesh.metric(0, "nested_calls_total") == 1);
}
