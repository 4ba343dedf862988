#include "configuration_check.h"

#include <catch2/catch.hpp>

using namespace celeryramp;

namespace {

std::string report(const std::string &members)
{
    return platform::checkConfiguration(R"({"Version":9,"Routes":[],"Services":[])" + members + "}")
            .report;
}

} // namespace

TEST_CASE("Configuration check: it tells whether keys are needed and which of them are valid")
{
    REQUIRE(report("")
            == "version 9: 0 routes, keys=not-required accounts=0 known_keys=0 unknown_keys=no\n"
               "it does not list accounts: requests need no API key\n");
    REQUIRE(report(R"(,"Tenants":[])")
            == "version 9: 0 routes, keys=required accounts=0 known_keys=0 unknown_keys=no\n"
               "no API key is valid: only open routes are served\n");
    REQUIRE(report(R"(,"Tenants":null)")
            == "version 9: 0 routes, keys=required accounts=0 known_keys=0 unknown_keys=yes\n"
               "no API key is valid: only open routes are served\n"
               "unreadable: accounts Tenants: not a JSON array\n");
}

TEST_CASE("Configuration check: only a version that can be read completely is good")
{
    const std::string start = R"({"Version":9,"Routes":[],"Services":[])";
    REQUIRE(platform::checkConfiguration(start + "}").isGood);
    REQUIRE(platform::checkConfiguration(start + R"(,"Tenants":[]})").isGood);
    REQUIRE_FALSE(platform::checkConfiguration(start + R"(,"Tenants":[7]})").isGood);
    REQUIRE_FALSE(platform::checkConfiguration(start).isGood);
    REQUIRE_FALSE(platform::checkConfiguration("").isGood);
    REQUIRE_FALSE(platform::checkConfiguration(start + R"(,"Tenants":[{"Name":"a"},{"Name":"a"}]})")
                          .isGood);
}
