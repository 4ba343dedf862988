#include "admission/running_requests.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::admission;

TEST_CASE("A call is nested only while the server runs the request that it names")
{
    RunningRequests running;
    REQUIRE_FALSE(running.find("q1"));
    running.add("q1", {3, 1.0});
    const auto parent = running.find("q1");
    REQUIRE(parent);
    REQUIRE(parent->rank == 3);
    REQUIRE(parent->repeatShare == 1.0);
    REQUIRE_FALSE(running.find("q"));
    REQUIRE_FALSE(running.find(""));
    running.remove("q1");
    REQUIRE_FALSE(running.find("q1"));
    REQUIRE(running.size() == 0);
}

TEST_CASE("Time that a request waits for its calls counts once for calls at the same time")
{
    const TimePoint start{std::chrono::hours{1}};
    RunningRequests running;
    running.add("q1", {0, 0.0});
    running.onCallEnded("q1", start + Millis{10}, start + Millis{40});
    running.onCallEnded("q1", start + Millis{20}, start + Millis{60});
    running.onCallEnded("q1", start + Millis{100}, start + Millis{110});
    running.onCallEnded("unknown", start, start + Millis{500});
    REQUIRE(running.timeOnCalls("q1") == Micros{60'000});
    REQUIRE(running.timeOnCalls("unknown") == Micros{0});
}

TEST_CASE("A call that names no request counts as one of a typical running request")
{
    RunningRequests running;
    REQUIRE_FALSE(running.typical());
    running.add("q1", {5, 0.0});
    running.add("q2", {1, 1.0});
    running.add("q3", {2, 0.0});
    running.add("q4", {2, 1.0});
    REQUIRE(running.typical()->rank == 2);
    REQUIRE(running.typical()->repeatShare == 0.5);
}
