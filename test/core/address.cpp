#include <catch2/catch.hpp>

#include "core/address.h"

using celeryramp::parseAddress;

TEST_CASE("addresses are IP numbers with ports")
{
    const auto four = parseAddress("127.0.0.1:8080");
    REQUIRE(four);
    REQUIRE(four->host == "127.0.0.1");
    REQUIRE(four->port == 8080);
    REQUIRE(four->isLoopback());
    const auto six = parseAddress("[::1]:9");
    REQUIRE(six);
    REQUIRE(six->text() == "[::1]:9");
    REQUIRE(six->isLoopback());
    REQUIRE_FALSE(parseAddress("10.0.0.1:80")->isLoopback());
}

TEST_CASE("anything else is no address")
{
    for (const auto *text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0",
                             "127.0.0.1:65536", "127.0.0.1:8x", "300.1.1.1:80", ":80"}) {
        CAPTURE(text);
        REQUIRE_FALSE(parseAddress(text));
    }
}
