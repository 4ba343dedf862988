#include "proxy/hang_detector.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

HangDetector withMean(Millis mean)
{
    HangDetector detector;
    for (int i = 0; i < 50; ++i) {
        detector.onAnswered(mean);
    }
    return detector;
}

} // namespace

TEST_CASE("Pattern: a server hangs - repeatable requests leave it long before their deadline")
{
    auto detector = withMean(Millis{300});
    REQUIRE_FALSE(detector.patience(3, kStart)); // a few slow requests are usual
    REQUIRE(detector.patience(4, kStart) == Millis{900});
    detector.onUnanswered(Millis{1500}, kStart);
    REQUIRE_FALSE(detector.patience(1, kStart));
    detector.onUnanswered(Millis{1500}, kStart);
    REQUIRE(detector.patience(0, kStart) == Millis{900});
    REQUIRE(detector.patience(2, kStart + Millis{2000}));
}

TEST_CASE("Pattern: a server that hung has recovered - requests wait for their answers again")
{
    auto detector = withMean(Millis{300});
    for (int i = 0; i < 5; ++i) {
        detector.onUnanswered(Millis{1500}, kStart);
    }
    REQUIRE(detector.patience(0, kStart));
    REQUIRE_FALSE(detector.patience(0, kStart + Millis{10'000}));
}

TEST_CASE("Requests that callers end early do not make a server suspicious")
{
    auto detector = withMean(Millis{300});
    for (int i = 0; i < 20; ++i) {
        detector.onUnanswered(Millis{200}, kStart);
    }
    REQUIRE_FALSE(detector.patience(0, kStart));
}

TEST_CASE("Nothing is overdue before the first answer")
{
    const HangDetector detector;
    REQUIRE(detector.overdueAge() == Millis::max());
    REQUIRE_FALSE(detector.patience(12, kStart));
}

TEST_CASE("A server that becomes slow moves the bound with its answers")
{
    auto detector = withMean(Millis{100});
    REQUIRE(detector.overdueAge() == Millis{300});
    for (int i = 0; i < 60; ++i) {
        detector.onAnswered(Millis{800});
    }
    REQUIRE(detector.overdueAge() > Millis{2300});
}
