#include <algorithm>

#include <catch2/catch.hpp>

#include "support/gate_run.h"

using namespace celeryramp;
using namespace celeryramp::test;

namespace {

GateLoadShape shapeOf(double load, const char *strategy)
{
    GateLoadShape shape{12, 100.0, load, Millis{500}, Millis{2000}, Millis{12'000}};
    shape.strategy = strategy;
    return shape;
}

int inTarget(GateLoadShape shape, int fixedLimit = 0)
{
    shape.fixedLimit = fixedLimit;
    return runGate(shape).inTarget;
}

/*! @return Most calls in target that any fixed limit allows. */
int bestFixed(GateLoadShape shape)
{
    shape.strategy = "published";
    int best = 0;
    for (int n = 2; n <= shape.slots; ++n) {
        best = std::max(best, inTarget(shape, n));
    }
    return best;
}

} // namespace

TEST_CASE("Pattern: a server that slows from 60 % of its slots - it gets what it sustains")
{
    auto shape = shapeOf(1.5, "throughput");
    shape.crowdedFrom = 0.6;
    shape.crowding = 3.0;
    const int best = bestFixed(shape);
    REQUIRE(inTarget(shape) >= 0.85 * best);
    auto published = shape;
    published.strategy = "published";
    REQUIRE(inTarget(published) < 0.85 * best);
}

TEST_CASE("Pattern: a server that does not slow - the limit costs little at any load")
{
    for (const double load : {0.3, 0.9, 1.5, 2.5}) {
        CAPTURE(load);
        REQUIRE(inTarget(shapeOf(load, "throughput"))
                >= 0.8 * inTarget(shapeOf(load, "published")));
    }
}

TEST_CASE("Pattern: a server that halves its speed for a while - its limit is not mistaken")
{
    auto shape = shapeOf(0.9, "throughput");
    shape.slowdown = 2.0;
    shape.slowFrom = Millis{3000};
    shape.slowUntil = Millis{6000};
    auto published = shape;
    published.strategy = "published";
    REQUIRE(inTarget(shape) >= 0.8 * inTarget(published));
}

TEST_CASE("Pattern: few requests a second - the slots stay open")
{
    REQUIRE(inTarget(shapeOf(0.05, "throughput")) >= 0.97 * inTarget(shapeOf(0.05, "published")));
}
