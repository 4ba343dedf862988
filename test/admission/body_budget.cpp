#include "admission/body_budget.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::admission;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
constexpr std::size_t kLimit = 10'000'000;
constexpr std::size_t kLong = 4'000'000;

} // namespace

TEST_CASE("Pattern: many large bodies at once - those that fit are held and the others refused")
{
    BodyBudget budget{kLimit};
    std::vector<BodyBudget::Lease> held;
    int refused = 0;
    for (int i = 0; i < 30; ++i) {
        auto lease = budget.open(kStart);
        if (budget.hold(lease, kLong, kStart)) {
            held.push_back(std::move(lease));
        } else {
            REQUIRE_FALSE(budget.victim(lease, kLong, kStart));
            ++refused;
        }
    }
    REQUIRE(held.size() == 2);
    REQUIRE(refused == 28);
    REQUIRE(budget.heldBytes() == 2 * kLong);
    held.clear();
    REQUIRE(budget.heldBytes() == 0);
}

TEST_CASE("Pattern: bodies that stop short of their end - they are cut for others after a while")
{
    BodyBudget budget{kLimit};
    const auto stopped = budget.open(kStart);
    const auto larger = budget.open(kStart);
    const auto finished = budget.open(kStart);
    REQUIRE(budget.hold(stopped, 2'000'000, kStart));
    REQUIRE(budget.hold(larger, 3'000'000, kStart));
    REQUIRE(budget.hold(finished, kLong, kStart));
    budget.protect(finished, true);
    const auto lease = budget.open(kStart);
    REQUIRE_FALSE(budget.hold(lease, 2'000'000, kStart));
    REQUIRE_FALSE(budget.victim(lease, 2'000'000, kStart));
    const auto later = kStart + BodyBudget::kStallTime;
    REQUIRE(budget.victim(lease, 2'000'000, later) == larger.id());
    REQUIRE(budget.hold(larger, 3'000'001, later)); // it goes on
    REQUIRE(budget.victim(lease, 2'000'000, later) == stopped.id());
}

TEST_CASE("Pattern: an ordinary caller beside a crowd - the largest unfinished body makes room")
{
    BodyBudget budget{kLimit};
    const auto small = budget.open(kStart);
    const auto large = budget.open(kStart);
    REQUIRE(budget.hold(small, 1'000, kStart));
    REQUIRE(budget.hold(large, kLimit - 1'000, kStart));
    const auto lease = budget.open(kStart);
    REQUIRE_FALSE(budget.hold(lease, 20'000, kStart));
    REQUIRE(budget.victim(lease, 20'000, kStart) == large.id());
}

TEST_CASE("What other purposes hold is not given to bodies and what is held stays")
{
    BodyBudget budget{kLimit};
    const auto lease = budget.open(kStart);
    REQUIRE(budget.hold(lease, kLong, kStart));
    budget.setOtherBytes(kLimit);
    REQUIRE_FALSE(budget.hold(lease, kLong + 1, kStart));
    REQUIRE(budget.hold(lease, kLong - 1, kStart));
    budget.setOtherBytes(0);
    REQUIRE(budget.hold(lease, kLimit, kStart));
}

TEST_CASE("A lease that is moved or that outlives its budget is returned once")
{
    BodyBudget::Lease last;
    {
        BodyBudget budget{kLimit};
        auto lease = budget.open(kStart);
        REQUIRE(budget.hold(lease, kLong, kStart));
        last = std::move(lease);
        REQUIRE(budget.heldBytes() == kLong);
        auto other = budget.open(kStart);
        REQUIRE(budget.hold(other, 1'000, kStart));
        other = BodyBudget::Lease{};
        REQUIRE(budget.heldBytes() == kLong);
    }
    last = BodyBudget::Lease{};
    REQUIRE(last.id() == 0);
}

TEST_CASE("A body behind a request that a server runs is cut only once that has ended")
{
    BodyBudget budget{kLimit};
    const auto behind = budget.open(kStart);
    REQUIRE(budget.hold(behind, kLimit, kStart));
    budget.protect(behind, true);
    const auto lease = budget.open(kStart);
    const auto later = kStart + 2 * BodyBudget::kStallTime;
    REQUIRE_FALSE(budget.victim(lease, 1'000, later));
    budget.protect(behind, false);
    REQUIRE(budget.victim(lease, 1'000, later) == behind.id());
}
