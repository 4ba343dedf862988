#include "proxy/request_rate_limiter.h"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

/*! @return Most entries within any span of 4 s. */
int mostInWindow(const std::vector<TimePoint> &times)
{
    std::size_t most = 0;
    for (std::size_t i = 0, end = 0; i < times.size(); ++i) {
        while (end < times.size() && times[end] < times[i] + Millis{4000}) {
            ++end;
        }
        most = std::max(most, end - i);
    }
    return static_cast<int>(most);
}

} // namespace

TEST_CASE("A server without a limit is not limited")
{
    RequestRateLimiter limiter;
    REQUIRE_FALSE(limiter.perSecond());
    REQUIRE(limiter.available(kStart) < 0);
    limiter.onAnswer(kNoRateLimit, kStart);
    REQUIRE(limiter.available(kStart) < 0);
}

TEST_CASE("A limit ends with an answer that names none")
{
    RequestRateLimiter limiter;
    limiter.onAnswer(10.0, kStart);
    REQUIRE(limiter.available(kStart) == 0);
    REQUIRE(limiter.available(kStart + Millis{200}) == 2);
    limiter.onAnswer(kNoRateLimit, kStart);
    REQUIRE(limiter.available(kStart) < 0);
}

TEST_CASE("Reports of other nodes count only until the server has answered")
{
    RequestRateLimiter limiter;
    limiter.onReport(kNoRateLimit, kStart);
    REQUIRE_FALSE(limiter.perSecond());
    limiter.onReport(8.0, kStart);
    limiter.onReport(20.0, kStart);
    REQUIRE(limiter.perSecond() == 8.0);
    limiter.onAnswer(20.0, kStart);
    limiter.onReport(8.0, kStart);
    REQUIRE(limiter.perSecond() == 20.0);
    limiter.reset();
    REQUIRE_FALSE(limiter.perSecond());
}

TEST_CASE("A server that takes nothing is tried now and then to learn when that ends")
{
    RequestRateLimiter limiter;
    limiter.onAnswer(0.0, kStart);
    int n = 0;
    for (auto now = kStart; now < kStart + Millis{20'000}; now += Millis{10}) {
        if (limiter.available(now) > 0) {
            limiter.onHandedOver(now);
            ++n;
        }
    }
    REQUIRE(n >= 1);
    REQUIRE(n <= 5 * 5); // five requests in any 4 s
}

TEST_CASE("Pattern: overload of a limited server - it gets its limit and in no window much more")
{
    REQUIRE(rc::check("any limit and arrivals", [] {
        const double perSecond = *rc::gen::inRange(1, 4000) / 10.0;
        const int demand = *rc::gen::inRange(1, 20); // requests in 10 ms
        RequestRateLimiter limiter;
        limiter.onAnswer(perSecond, kStart);
        std::vector<TimePoint> handedOver;
        int restarts = 0;
        for (auto now = kStart; now < kStart + Millis{12'000}; now += Millis{10}) {
            // Restarts of the gate, which learns the limit from the calls of other nodes.
            if (*rc::gen::inRange(0, 400) == 0) {
                limiter.reset();
                limiter.onReport(perSecond, now);
                ++restarts;
            }
            for (int i = 0; i < demand && limiter.available(now) > 0; ++i) {
                limiter.onHandedOver(now);
                handedOver.push_back(now);
            }
        }
        RC_ASSERT(mostInWindow(handedOver) <= static_cast<int>(1.5 * perSecond * 4.0) + 5);
        const double possible = std::min(perSecond, demand * 100.0) * 12.0;
        // A restart and the end can each leave what had accumulated.
        const double unused = (restarts + 1) * std::max(1.0, perSecond / 4.0);
        RC_ASSERT(static_cast<double>(handedOver.size()) >= 0.9 * possible - unused - 1.0);
    }));
}
