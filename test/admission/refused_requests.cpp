#include "admission/refused_requests.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::admission;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
const auto kTarget = kStart + Millis{300};
const auto kDeadline = kStart + Millis{1200};

} // namespace

TEST_CASE("Pattern: refused requests are retried - their target counts from the first attempt")
{
    RefusedRequests callers;
    callers.onRefused(7, kTarget, kDeadline, kStart);
    const auto now = kStart + Millis{250};
    REQUIRE_FALSE(callers.take(8, kDeadline, now));
    REQUIRE(callers.take(7, kDeadline, now) == kTarget);
    REQUIRE_FALSE(callers.take(7, kDeadline, now));
}

TEST_CASE("Another caller with the same request is not taken for a retry")
{
    RefusedRequests callers;
    callers.onRefused(7, kTarget, kDeadline, kStart);
    const auto now = kStart + Millis{400};
    REQUIRE_FALSE(callers.take(7, now + Millis{1200}, now));
    REQUIRE(callers.take(7, kDeadline, now) == kTarget);
}

TEST_CASE("Refused requests are forgotten once their callers no longer wait and beyond a number")
{
    RefusedRequests callers;
    callers.onRefused(7, kTarget, kDeadline, kStart);
    callers.sweep(kStart + Millis{1000});
    REQUIRE(callers.size() == 1);
    callers.sweep(kStart + Millis{1500});
    REQUIRE(callers.size() == 0);
    for (std::uint64_t i = 0; i < 3 * RefusedRequests::kMaxEntries; ++i) {
        callers.onRefused(i, kTarget, kDeadline, kStart);
    }
    REQUIRE(callers.size() == RefusedRequests::kMaxEntries);
    REQUIRE_FALSE(callers.take(0, kDeadline, kStart));
    REQUIRE(callers.take(3 * RefusedRequests::kMaxEntries - 1, kDeadline, kStart) == kTarget);
}

TEST_CASE("A request that is refused again and again occupies one entry")
{
    RefusedRequests callers;
    for (int i = 0; i < 100; ++i) {
        callers.onRefused(7, kTarget, kDeadline, kStart + Millis{i});
    }
    REQUIRE(callers.size() == 1);
    callers.sweep(kStart + Millis{50});
    REQUIRE(callers.size() == 1);
}
