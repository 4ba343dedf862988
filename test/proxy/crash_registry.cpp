#include "proxy/crash_registry.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

} // namespace

TEST_CASE("Pattern: a request that crashes each server is quarantined after the third crash")
{
    CrashRegistry elsewhere;
    auto now = kStart;
    for (int i = 0; i < 3; ++i) {
        REQUIRE_FALSE(elsewhere.isQuarantined(7, now));
        CrashRegistry gate;
        gate.onLost(7, now);
        gate.onLost(8 + static_cast<std::uint64_t>(i), now);
        now += Millis{400};
        const auto suspects = gate.onServerDown("server-" + std::to_string(i), now);
        REQUIRE(suspects.size() == 2);
        for (const auto &suspect : suspects) {
            elsewhere.onSuspect(suspect, now);
        }
    }
    REQUIRE(elsewhere.isQuarantined(7, now));
    REQUIRE_FALSE(elsewhere.isQuarantined(8, now));
    elsewhere.sweep(now + kCrashRetention);
    REQUIRE_FALSE(elsewhere.isQuarantined(7, now + kCrashRetention));
    REQUIRE(elsewhere.isEmpty());
}

TEST_CASE("Pattern: servers crash for other reasons - answered requests are not quarantined")
{
    CrashRegistry registry;
    for (std::uint64_t i = 0; i < 10; ++i) {
        registry.onSuspect({5, "server", i}, kStart);
        if (i % 2 == 1) {
            registry.onServed(5);
        }
        REQUIRE_FALSE(registry.isQuarantined(5, kStart));
    }
}

TEST_CASE(
        "Repeated reports of one crash count once and a loss long before a crash is not suspected")
{
    CrashRegistry registry;
    for (int i = 0; i < 5; ++i) {
        registry.onSuspect({5, "server", 1}, kStart);
    }
    REQUIRE_FALSE(registry.isQuarantined(5, kStart));
    registry.onLost(6, kStart);
    REQUIRE(registry.onServerDown("server", kStart + kMaxDetectionDelay + Millis{1}).empty());
}

TEST_CASE("The digest differs by account and body")
{
    http::Request request;
    request.method = "GET";
    request.target = "/a/";
    const auto digest = requestDigest("mill", request);
    REQUIRE(digest == requestDigest("mill", request));
    REQUIRE(digest != requestDigest("press", request));
    request.body = "x";
    REQUIRE(digest != requestDigest("mill", request));
}
