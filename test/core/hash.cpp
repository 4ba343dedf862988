#include <catch2/catch.hpp>

#include "core/hash.h"

using namespace celeryramp;

TEST_CASE("SHA-256 of a known text")
{
    REQUIRE(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("hashes of several strings depend on their borders")
{
    REQUIRE(stableHash({"ab", "c"}) != stableHash({"a", "bc"}));
    REQUIRE(stableHash({"ab", "c"}) == stableHash({"ab", "c"}));
}

TEST_CASE("comparison in constant time compares")
{
    REQUIRE(equalConstantTime("abc", "abc"));
    REQUIRE_FALSE(equalConstantTime("abc", "abd"));
    REQUIRE_FALSE(equalConstantTime("abc", "ab"));
}

TEST_CASE("random tokens differ")
{
    REQUIRE(randomHex(16).size() == 32);
    REQUIRE(randomHex(16) != randomHex(16));
}
