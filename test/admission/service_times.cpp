#include "admission/service_times.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::admission;

namespace {

constexpr std::uint32_t kQuick = 1;
constexpr std::uint32_t kSlow = 2;

} // namespace

TEST_CASE("Routes of unlike work at one server have service times of their own")
{
    ServiceTimes times;
    for (int i = 0; i < 200; ++i) {
        times.record(kQuick, Micros{20'000 + i % 10 * 1000});
        times.record(kSlow, Micros{400'000});
    }
    const auto quick = times.quantile(kQuick, 0.75, Millis{0}).count();
    REQUIRE(quick >= 23);
    REQUIRE(quick <= 31);
    REQUIRE(times.quantile(kSlow, 0.75, Millis{0}).count() >= 368);
    REQUIRE(times.quantile(kSlow, 0.75, Millis{0}).count() <= 432);
}

TEST_CASE("Pattern: a server that halves its speed is known after a few dozen answers")
{
    ServiceTimes times;
    for (int i = 0; i < 300; ++i) {
        times.record(kQuick, Micros{50'000});
    }
    for (int i = 0; i < 60; ++i) {
        times.record(kQuick, Micros{100'000});
    }
    REQUIRE(times.quantile(kQuick, 0.75, Millis{0}).count() >= 92);
}

TEST_CASE("A route without answers is taken for like the others and a server without any as told")
{
    ServiceTimes times;
    REQUIRE(times.quantile(kQuick, 0.5, Millis{70}) == Millis{70});
    times.record(kSlow, Micros{400'000});
    REQUIRE(times.quantile(kQuick, 0.5, Millis{70}).count() >= 368);
}

TEST_CASE("Service times of any length and any number of routes are bounded in memory and value")
{
    ServiceTimes times;
    for (std::uint32_t route = 0; route < 2 * ServiceTimes::kMaxRoutes; ++route) {
        times.record(route, Micros{route % 2 == 0 ? 0 : 3'600'000'000});
    }
    const auto longest = times.quantile(1, 1.0, Millis{0});
    REQUIRE(longest > Millis{5'000});
    REQUIRE(longest < Millis{60'000});
}
