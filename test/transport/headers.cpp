#include <catch2/catch.hpp>

#include "transport/headers.h"
#include "transport/http_listener.h"

using namespace celeryramp;

TEST_CASE("headers are compared regardless of case")
{
    REQUIRE(sameHeader("Content-Type", "content-type"));
    REQUIRE_FALSE(sameHeader("Content-Type", "content-typ"));
    REQUIRE(isHopHeader("Transfer-Encoding"));
    REQUIRE_FALSE(isHopHeader("Accept"));
}

TEST_CASE("what only the mesh may set, and the caller's key, is not passed on")
{
    for (const auto &name : {kContextHeader, kAccountHeader, kOutcomeHeader, kKeyHeader}) {
        REQUIRE(isReservedHeader(name));
    }
    REQUIRE(isReservedHeader("celeryramp-anything"));
    REQUIRE_FALSE(isReservedHeader(kIdempotencyHeader));
}

TEST_CASE("query parameters are found by name")
{
    HttpRequest request;
    request.target = "/x?a=1&bb=2&c&d=";
    REQUIRE(request.query("a") == "1");
    REQUIRE(request.query("bb") == "2");
    REQUIRE(request.query("b").empty());
    REQUIRE(request.query("c").empty());
    REQUIRE(request.query("d").empty());
    request.target = "/x";
    REQUIRE(request.query("a").empty());
}
