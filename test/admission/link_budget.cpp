#include "admission/link_budget.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::admission;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
constexpr std::size_t kAnswer = 90'000;

} // namespace

TEST_CASE("Pattern: a full link with free slots - each long answer adds to the wait of the next")
{
    LinkBudget link;
    link.setRate(14.0);
    REQUIRE(link.wait(kStart) == Millis{0});
    for (int i = 0; i < 10; ++i) {
        link.reserve(kAnswer, kStart);
    }
    // 900 kB at 14 Mbit/s take 514 ms, and longer beside other traffic.
    REQUIRE(link.wait(kStart) >= Millis{514});
    REQUIRE(link.wait(kStart) <= Millis{700});
    REQUIRE(link.wait(kStart + Millis{800}) == Millis{0});
}

TEST_CASE("The length of an answer that was expected longer or not sent is given back")
{
    LinkBudget link;
    link.setRate(14.0);
    link.reserve(kAnswer, kStart);
    link.settle(kAnswer, 0, kStart);
    REQUIRE(link.wait(kStart) == Millis{0});
    link.reserve(kAnswer, kStart);
    link.settle(kAnswer, 2 * kAnswer, kStart);
    REQUIRE(link.wait(kStart) >= link.transfer(2 * kAnswer) - Millis{1});
}

TEST_CASE("Nothing waits for a link of unknown rate")
{
    LinkBudget link;
    link.reserve(1'000'000'000, kStart);
    REQUIRE_FALSE(link.isLimited());
    REQUIRE(link.wait(kStart) == Millis{0});
    REQUIRE(link.transfer(kAnswer) == Millis{0});
}
