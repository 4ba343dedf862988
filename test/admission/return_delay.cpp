#include "admission/return_delay.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::admission;

TEST_CASE("Pattern: all servers cold - callers return when they are warm and not together")
{
    RefusalState refusal;
    refusal.callerTimeLeft = Millis{6000};
    refusal.queueDelay = Millis{55};
    refusal.isQueueFull = true;
    refusal.warmIn = Millis{1200};
    REQUIRE(returnDelay(refusal) == Millis{1200});
    refusal.jitter = 0.5;
    const auto middle = returnDelay(refusal);
    refusal.jitter = 1.0;
    REQUIRE(middle >= Millis{1300});
    REQUIRE(returnDelay(refusal) > middle);
    REQUIRE(returnDelay(refusal) <= Millis{2000}); // a third of what is left
}

TEST_CASE("Pattern: all servers cold - a caller that cannot wait so long returns as late as it can")
{
    RefusalState refusal;
    refusal.callerTimeLeft = Millis{1200};
    refusal.isQueueFull = true;
    refusal.warmIn = Millis{2500};
    REQUIRE(returnDelay(refusal) == Millis{400});
}

TEST_CASE("Pattern: a short queue - callers return while their target may still be met")
{
    RefusalState refusal;
    refusal.callerTimeLeft = Millis{2000};
    refusal.queueDelay = Millis{60};
    refusal.isQueueFull = true;
    REQUIRE(returnDelay(refusal) == Millis{60});
    refusal.jitter = 1.0;
    REQUIRE(returnDelay(refusal) == Millis{120});
}

TEST_CASE("Failure: no server can be reached - callers return in the second half of their patience")
{
    RefusalState refusal;
    refusal.callerTimeLeft = Millis{3000};
    refusal.isUnreachable = true;
    REQUIRE(returnDelay(refusal) == Millis{500});
    refusal.jitter = 1.0;
    REQUIRE(returnDelay(refusal) == Millis{1000});
}

TEST_CASE("The delay is never shorter than 50 ms")
{
    REQUIRE(returnDelay({}) == Millis{50});
}
