#include <catch2/catch.hpp>

#include <thread>

#include "core/waker.h"

using namespace celeryramp;

namespace {

constexpr Millis kForever{60'000};

} // namespace

TEST_CASE("a wake ends a sleep, also one that has not begun")
{
    Waker waker;
    waker.wake();
    REQUIRE(waker.sleep(kForever));
    std::thread other{[&] { waker.wake(); }};
    REQUIRE(waker.sleep(kForever));
    other.join();
    REQUIRE_FALSE(waker.sleep(Millis{1}));
}

TEST_CASE("a stop ends all sleeps")
{
    Waker waker;
    waker.stop();
    REQUIRE(waker.sleep(kForever));
    REQUIRE(waker.sleep(kForever));
}
