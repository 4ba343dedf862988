#include "distribution/wake_guard.h"

#include <catch2/catch.hpp>

using celeryramp::Millis;
using celeryramp::TimePoint;
using celeryramp::WakeGuard;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

} // namespace

TEST_CASE("A process that was stopped doubts its keys before it has noticed the pause")
{
    WakeGuard guard;
    guard.onAlive(kStart);
    CHECK_FALSE(guard.doubtsKeys(kStart + Millis{1400}));
    CHECK(guard.doubtsKeys(kStart + Millis{5000}));
}

TEST_CASE("A process that was stopped doubts its keys until the configuration is confirmed")
{
    WakeGuard guard;
    guard.onAlive(kStart);
    const auto woke = kStart + Millis{5000};
    CHECK(guard.onAlive(woke) == Millis{5000});
    CHECK(guard.doubtsKeys(woke + Millis{100}));
    guard.onConfirmed(woke + Millis{100}); // may have waited in a socket since before the pause
    CHECK(guard.doubtsKeys(woke + Millis{200}));
    guard.onConfirmed(woke + Millis{210});
    CHECK_FALSE(guard.doubtsKeys(woke + Millis{300}));
}

TEST_CASE("A process that nobody confirms counts as cut off after a while")
{
    WakeGuard guard;
    guard.onAlive(kStart);
    auto now = kStart + Millis{5000};
    guard.onAlive(now);
    const auto end = now + WakeGuard::kConfirmWait;
    for (; now < end; now += Millis{100}) {
        CHECK_FALSE(guard.onAlive(now).has_value());
        CHECK(guard.doubtsKeys(now));
    }
    guard.onAlive(now);
    CHECK_FALSE(guard.doubtsKeys(now));
}

TEST_CASE("Regular signs of life raise no doubt")
{
    WakeGuard guard;
    for (int i = 0; i < 50; ++i) {
        const auto now = kStart + Millis{i * 1000};
        CHECK_FALSE(guard.onAlive(now).has_value());
        CHECK_FALSE(guard.doubtsKeys(now));
    }
}
