#include "proxy/transit_delay.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

/*! Time on the clock of a sender that is ahead by `offset`. */
std::int64_t senderTime(TimePoint sent, std::chrono::nanoseconds offset)
{
    return (std::chrono::duration_cast<std::chrono::nanoseconds>(sent.time_since_epoch()) + offset)
            .count();
}

} // namespace

TEST_CASE("A call that waited on its way has less time left whatever the clocks show")
{
    const auto offset = GENERATE(std::chrono::nanoseconds{0}, std::chrono::hours{5000},
                                 std::chrono::hours{-3});
    TransitDelay transit;
    REQUIRE(transit.onCall("a", senderTime(kStart, offset), kStart + Millis{2}) == Millis{0});
    const auto later = kStart + Millis{500};
    REQUIRE(transit.onCall("a", senderTime(later, offset), later + Millis{902}) == Millis{900});
    REQUIRE(transit.onCall("a", senderTime(later, offset), later + Millis{2}) == Millis{0});
}

TEST_CASE("The delay is never negative and never more than what passed since the fastest call")
{
    rc::prop("random ways", [] {
        TransitDelay transit;
        auto sent = kStart;
        Millis fastest = Millis::max();
        for (int i = 0; i < 50; ++i) {
            sent += Millis{*rc::gen::inRange(0, 150)};
            const Millis way{*rc::gen::inRange(1, 400)};
            fastest = std::min(fastest, way);
            const auto delay
                    = transit.onCall("a", senderTime(sent, std::chrono::hours{7}), sent + way);
            RC_ASSERT(delay >= Millis{0});
            RC_ASSERT(delay == way - fastest);
        }
    });
}

TEST_CASE("A peer that is back with another clock starts anew")
{
    TransitDelay transit;
    transit.onCall("a", senderTime(kStart, std::chrono::hours{1}), kStart);
    transit.forget("a");
    REQUIRE(transit.onCall("a", senderTime(kStart, std::chrono::hours{0}), kStart + Millis{3})
            == Millis{0});
}
