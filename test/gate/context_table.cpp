#include <catch2/catch.hpp>

#include "gate/context_table.h"
#include "support/sample_config.h"

using namespace celeryramp;

TEST_CASE("a context token is valid as long as its call and unknown tokens are rejected")
{
    ContextTable table;
    const auto token = table.open({"acme", "k1", "chain", 2, testsupport::at(10)});
    REQUIRE(table.find(token)->account == "acme");
    REQUIRE(table.find(token)->depth == 2);
    REQUIRE_FALSE(table.find("0123"));
    REQUIRE_FALSE(table.find(""));
    table.recordNestedFailure(token);
    table.beginNested(token);
    table.beginNested(token);
    REQUIRE(table.waiting() == 1);
    table.endNested(token, Micros{5});
    REQUIRE(table.waiting() == 1);
    table.endNested(token, Micros{5});
    REQUIRE(table.waiting() == 0);
    table.endNested("unknown", Micros{5});
    table.beginNested(token);
    const auto summary = table.close(token);
    REQUIRE(summary.nestedCallFailed);
    REQUIRE(summary.nestedDuration == Micros{10});
    REQUIRE_FALSE(table.find(token));
    REQUIRE(table.size() == 0);
    REQUIRE(table.waiting() == 0);
}
