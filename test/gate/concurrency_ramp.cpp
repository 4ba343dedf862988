#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "gate/concurrency_ramp.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

TEST_CASE("a ramp starts low and grows to all slots on good answers")
{
    ConcurrencyRamp ramp{12};
    REQUIRE(ramp.limit() == 2);
    for (int i = 0; i < 1000; ++i) {
        ramp.onFinished(Evidence::InTarget, Micros{2000}, ramp.limit(), at(i * 10));
    }
    REQUIRE(ramp.limit() == 12);
}

TEST_CASE("a ramp grows by one at a time regardless of the number of good answers")
{
    ConcurrencyRamp ramp{12};
    int before = ramp.limit();
    std::int64_t grewAt = 0;
    for (std::int64_t now = 0; now < 6000; ++now) {
        ramp.onFinished(Evidence::InTarget, Micros{500}, ramp.limit(), at(now));
        if (ramp.limit() != before) {
            REQUIRE(ramp.limit() == before + 1);
            REQUIRE((grewAt == 0 || now - grewAt >= 400));
            before = ramp.limit();
            grewAt = now;
        }
    }
    REQUIRE(ramp.limit() == 12);
}

TEST_CASE("a ramp does not grow on answers while few slots are in use")
{
    ConcurrencyRamp ramp{12};
    for (int i = 0; i < 1000; ++i) {
        ramp.onFinished(Evidence::InTarget, Micros{2000}, 1, at(i));
    }
    REQUIRE(ramp.limit() == 2);
}

TEST_CASE("a ramp falls immediately on shed load and failures and slow answers")
{
    ConcurrencyRamp ramp{12};
    for (int i = 0; i < 1000; ++i) {
        ramp.onFinished(Evidence::InTarget, Micros{2000}, ramp.limit(), at(i * 10));
    }
    REQUIRE(ramp.limit() == 12);
    SECTION("shed")
    {
        ramp.onFinished(Evidence::Shed, Micros{0}, 12, at(20'000));
    }
    SECTION("failed")
    {
        ramp.onFinished(Evidence::Failed, Micros{0}, 12, at(20'000));
    }
    SECTION("slow")
    {
        for (int i = 0; i < 3; ++i) {
            ramp.onFinished(Evidence::InTarget, Micros{20'000}, 12, at(20'000 + i));
        }
    }
    SECTION("late")
    {
        for (int i = 0; i < 3; ++i) {
            ramp.onFinished(Evidence::Late, Micros{3000}, 12, at(20'000 + i));
        }
    }
    REQUIRE(ramp.limit() < 12);
}

TEST_CASE("the limit always stays between one and the number of slots")
{
    REQUIRE(rc::check("random evidence", [] {
        const auto slots = *rc::gen::inRange(1, 40);
        ConcurrencyRamp ramp{slots};
        std::int64_t now = 0;
        const auto events = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 5), rc::gen::inRange(0, 100'000),
                               rc::gen::inRange(0, 100)));
        for (const auto &[evidence, micros, gap] : events) {
            now += gap;
            if (evidence == 4) {
                ramp.reset(at(now));
            } else {
                ramp.onFinished(static_cast<Evidence>(evidence), Micros{micros}, ramp.limit(),
                                at(now));
            }
            RC_ASSERT(ramp.limit() >= 1);
            RC_ASSERT(ramp.limit() <= slots);
        }
    }));
}
