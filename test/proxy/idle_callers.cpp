#include "proxy/idle_callers.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

TEST_CASE("Pattern: a crowd that stays open - the connection that is idle for longest makes room")
{
    const std::vector<CallerState> callers{{true, Millis{1500}},
                                           {false, Millis{90'000}},
                                           {true, Millis{4000}},
                                           {true, Millis{200}}};
    REQUIRE(selectReplacedCaller(callers) == 2U);
}

TEST_CASE("Connections whose requests are served or that have just changed are not closed")
{
    const std::vector<CallerState> callers{{false, Millis{90'000}}, {true, Millis{999}}};
    REQUIRE_FALSE(selectReplacedCaller(callers));
    REQUIRE_FALSE(selectReplacedCaller({}));
}
