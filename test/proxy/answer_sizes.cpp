#include "proxy/answer_sizes.h"

#include <catch2/catch.hpp>

using namespace celeryramp::proxy;

TEST_CASE("The average answer size is kept for each route and follows new answers")
{
    AnswerSizes sizes;
    CHECK(sizes.expected("stock") == 0);
    sizes.onAnswer("stock", 5000);
    sizes.onAnswer("orders", 200);
    CHECK(sizes.expected("stock") == 5000);
    CHECK(sizes.expected("orders") == 200);
    for (int i = 0; i < 200; ++i) {
        sizes.onAnswer("stock", 1000);
    }
    CHECK(sizes.expected("stock") < 1100);
}

TEST_CASE("Urgent calls may transfer more bytes between zones")
{
    CHECK(spillAllowance(0) > spillAllowance(1));
    CHECK(spillAllowance(1) > spillAllowance(2));
    CHECK(spillAllowance(100) < 1000);
}

TEST_CASE("Long answers may come from other zones only where links report their waits")
{
    REQUIRE(maySpill(500, 1'000, 2, false));
    REQUIRE_FALSE(maySpill(500, 90'000, 0, false));
    REQUIRE(maySpill(500, 90'000, 2, true));
    REQUIRE_FALSE(maySpill(500, 10'000, 2, true));
}
