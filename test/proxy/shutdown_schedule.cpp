#include "proxy/shutdown_schedule.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using proxy::ShutdownSchedule;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
constexpr Millis kGrace{6000};

} // namespace

TEST_CASE("A shutdown takes all requests while it listens and later those that end in time")
{
    const ShutdownSchedule schedule{kStart, kGrace};
    const auto late = kStart + ShutdownSchedule::kListenTime;
    const auto end = kStart + kGrace - ShutdownSchedule::kMargin;
    REQUIRE(schedule.mayTake(end + kGrace, late - Millis{1}));
    REQUIRE(schedule.mayTake(end, late));
    REQUIRE_FALSE(schedule.mayTake(end + Millis{1}, late));
    REQUIRE_FALSE(schedule.isOverdue(end - Millis{1}));
    REQUIRE(schedule.isOverdue(end));
}

TEST_CASE("No request that is taken late outlasts the shutdown")
{
    const ShutdownSchedule schedule{kStart, kGrace};
    for (auto now = kStart + ShutdownSchedule::kListenTime; now < kStart + kGrace;
         now += Millis{50}) {
        for (const Millis left : {Millis{10}, Millis{800}, Millis{2500}, Millis{30'000}}) {
            if (schedule.mayTake(now + left, now)) {
                REQUIRE(left <= schedule.timeLeft(now));
            }
        }
    }
}
