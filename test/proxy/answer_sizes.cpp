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
