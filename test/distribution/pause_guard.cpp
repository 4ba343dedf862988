#include "distribution/pause_guard.h"

#include <catch2/catch.hpp>

using celeryramp::Millis;
using celeryramp::PauseGuard;
using celeryramp::TimePoint;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

} // namespace

TEST_CASE("Keys are untrusted during a pause before the process has detected it")
{
    PauseGuard guard;
    guard.onAlive(kStart);
    CHECK_FALSE(guard.areKeysUntrusted(kStart + Millis{1400}));
    CHECK(guard.areKeysUntrusted(kStart + Millis{5000}));
}

TEST_CASE("Keys are untrusted after a pause until the configuration is confirmed")
{
    PauseGuard guard;
    guard.onAlive(kStart);
    const auto resumed = kStart + Millis{5000};
    CHECK(guard.onAlive(resumed) == Millis{5000});
    CHECK(guard.areKeysUntrusted(resumed + Millis{100}));
    // This confirmation may have been buffered in a socket since before the pause.
    guard.onConfirmed(resumed + Millis{100});
    CHECK(guard.areKeysUntrusted(resumed + Millis{200}));
    guard.onConfirmed(resumed + Millis{210});
    CHECK_FALSE(guard.areKeysUntrusted(resumed + Millis{300}));
}

TEST_CASE("Without a confirmation the keys are untrusted only until the timeout")
{
    PauseGuard guard;
    guard.onAlive(kStart);
    auto now = kStart + Millis{5000};
    guard.onAlive(now);
    const auto end = now + PauseGuard::kConfirmTimeout;
    for (; now < end; now += Millis{100}) {
        CHECK_FALSE(guard.onAlive(now).has_value());
        CHECK(guard.areKeysUntrusted(now));
    }
    guard.onAlive(now);
    CHECK_FALSE(guard.areKeysUntrusted(now));
}

TEST_CASE("Keys stay trusted while the process runs without a pause")
{
    PauseGuard guard;
    for (int i = 0; i < 50; ++i) {
        const auto now = kStart + Millis{i * 1000};
        CHECK_FALSE(guard.onAlive(now).has_value());
        CHECK_FALSE(guard.areKeysUntrusted(now));
    }
}
