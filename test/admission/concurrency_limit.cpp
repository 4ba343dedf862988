#include "admission/concurrency_limit.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::admission;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
constexpr int kSlots = 12;

/*! @brief Answers of a server that runs `running` calls, each of which takes `millis`. */
void answer(ConcurrencyLimit &limit, int running, int millis, TimePoint now,
            std::uint32_t route = 1)
{
    for (int i = 0; i < 30; ++i) {
        limit.onAnswer({route, running, Micros{millis * 1000}}, now);
    }
}

} // namespace

TEST_CASE("The limit begins with half of the slots and grows with the throughput")
{
    ThroughputConcurrency limit;
    REQUIRE(limit.limit(kSlots, kStart) == kSlots / 2);
    REQUIRE(limit.limit(1, kStart) == 1);
    for (int n = kSlots / 2; n < kSlots; ++n) {
        answer(limit, n, 100, kStart);
        REQUIRE(limit.limit(kSlots, kStart) == n + 1);
    }
}

TEST_CASE("Pattern: throughput falls beyond a concurrency - the limit stays there and tries again")
{
    ThroughputConcurrency limit;
    for (int n = 1; n <= kSlots; ++n) {
        answer(limit, n, n <= 6 ? 100 : 100 + 60 * (n - 6), kStart);
    }
    REQUIRE(limit.limit(kSlots, kStart) == 6);
    // Nothing is known of 7 and more after a while without such samples.
    const auto later = kStart + Millis{30'000};
    for (int n = 1; n <= 6; ++n) {
        answer(limit, n, 100, later);
    }
    REQUIRE(limit.limit(kSlots, later) == 7);
}

TEST_CASE("Calls of unlike work at the same concurrency are not taken for load")
{
    ThroughputConcurrency limit;
    for (int round = 0; round < 3; ++round) {
        for (int n = 1; n <= kSlots; ++n) {
            answer(limit, n, 20, kStart, 1);
            answer(limit, n, 400, kStart, 2);
        }
    }
    REQUIRE(limit.limit(kSlots, kStart) == kSlots);
}

TEST_CASE("A server that has restarted begins cautiously")
{
    ThroughputConcurrency limit;
    for (int n = 1; n <= kSlots; ++n) {
        answer(limit, n, 100, kStart);
    }
    REQUIRE(limit.limit(kSlots, kStart) == kSlots);
    limit.reset();
    REQUIRE(limit.limit(kSlots, kStart) == kSlots / 2);
}

TEST_CASE("Strategies are found by name and other names are refused")
{
    REQUIRE(makeConcurrencyLimit("published"));
    REQUIRE(makeConcurrencyLimit("throughput"));
    REQUIRE_FALSE(makeConcurrencyLimit("gravity"));
    REQUIRE_FALSE(makeConcurrencyLimit(""));
}
