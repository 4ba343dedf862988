#include "directory/routing_table.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::directory;

namespace {

Route route(const char *name, const char *host, const char *prefix, const char *service = "stock")
{
    Route it;
    it.name = name;
    it.host = host;
    it.prefix = prefix;
    it.timeout = Millis{1000};
    it.split = {{service, 1}};
    return it;
}

Configuration sample()
{
    Configuration it;
    it.version = 1;
    it.services = {{"stock"}, {"orders"}};
    it.routes = {route("root", "a.example", "/"), route("shop", "a.example", "/shop/", "orders"),
                 route("other", "b.example", "/shop/")};
    it.accounts = AccountList{{{"mill", {"k1", "k2"}, 0, 10.0, 5.0}, {"press", {"k3"}}}};
    return it;
}

} // namespace

TEST_CASE("The route with the longest matching prefix of the host is found")
{
    const auto table = RoutingTable::build(sample());
    REQUIRE(table);
    const auto &it = table.value();
    REQUIRE(it.findRoute("a.example", "/shop/7")->name == "shop");
    REQUIRE(it.findRoute("a.example", "/shop")->name == "root");
    REQUIRE(it.findRoute("a.example", "/shopping/7")->name == "root");
    REQUIRE(it.findRoute("b.example", "/shop/7")->name == "other");
    REQUIRE(it.findRoute("b.example", "/") == nullptr);
    REQUIRE(it.findRoute("c.example", "/shop/7") == nullptr);
}

TEST_CASE("Each key belongs to one account")
{
    const auto table = RoutingTable::build(sample());
    REQUIRE(table.value().findAccountByKey("k2")->name == "mill");
    REQUIRE(table.value().findAccountByKey("k3")->name == "press");
    REQUIRE(table.value().findAccountByKey("k4") == nullptr);
    REQUIRE(table.value().findAccountByKey("") == nullptr);
}

TEST_CASE("An invalid configuration is rejected as a whole with the place of the error")
{
    auto configuration = sample();
    SECTION("unknown service")
    {
        configuration.routes[1].split = {{"nowhere", 1}};
    }
    SECTION("prefix without slashes")
    {
        configuration.routes[1].prefix = "/shop";
    }
    SECTION("zero timeout")
    {
        configuration.routes[1].timeout = Millis{0};
    }
    SECTION("zero attempts")
    {
        configuration.routes[1].maxAttempts = 0;
    }
    SECTION("zero total weight")
    {
        configuration.routes[1].split = {{"stock", 0}, {"orders", 0}};
    }
    SECTION("negative weight")
    {
        configuration.routes[1].split = {{"stock", 3}, {"orders", -1}};
    }
    SECTION("duplicate host and prefix")
    {
        configuration.routes[1].host = "b.example";
    }
    SECTION("duplicate API key")
    {
        configuration.accounts = AccountList{{{"mill", {"k1"}}, {"press", {"k1"}}}};
    }
    SECTION("duplicate service name")
    {
        configuration.services.push_back({"stock"});
    }
    const auto table = RoutingTable::build(configuration);
    REQUIRE_FALSE(table);
    REQUIRE_FALSE(table.error().place.empty());
    REQUIRE_FALSE(table.error().reason.empty());
}
