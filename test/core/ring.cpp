#include <catch2/catch.hpp>

#include <thread>

#include "core/ring.h"

using celeryramp::BoundedRing;
using celeryramp::Millis;

TEST_CASE("a full ring refuses and counts")
{
    BoundedRing<int> ring{2};
    REQUIRE(ring.push(1));
    REQUIRE(ring.push(2));
    REQUIRE_FALSE(ring.push(3));
    REQUIRE(ring.refused() == 1);
    REQUIRE(ring.pop(Millis{0}) == 1);
    REQUIRE(ring.push(4));
    REQUIRE(ring.pop(Millis{0}) == 2);
    REQUIRE(ring.pop(Millis{0}) == 4);
    REQUIRE_FALSE(ring.pop(Millis{0}).has_value());
}

TEST_CASE("a closed ring gives what it holds and takes nothing more")
{
    BoundedRing<int> ring{4};
    REQUIRE(ring.push(1));
    ring.close();
    REQUIRE_FALSE(ring.push(2));
    REQUIRE(ring.pop(Millis{1000}) == 1);
    REQUIRE_FALSE(ring.pop(Millis{1000}).has_value());
}

TEST_CASE("elements pass between threads in order")
{
    BoundedRing<int> ring{1000};
    std::thread producer{[&] {
        for (int i = 0; i < 1000; ++i) {
            while (!ring.push(i)) {
                std::this_thread::yield();
            }
        }
    }};
    for (int i = 0; i < 1000; ++i) {
        REQUIRE(ring.pop(Millis{5000}) == i);
    }
    producer.join();
}
