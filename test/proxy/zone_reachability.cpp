#include "proxy/zone_reachability.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using proxy::ZoneReachability;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

/*! @brief Polls every 20 ms and pings the nodes of `north` in turn. */
struct Watch
{
    /*! @return Zones that became suspected. */
    int run(Millis time, bool answers = false)
    {
        int suspected = 0;
        for (const auto end = now + time; now < end; now += Millis{20}) {
            zones.onSent("north", now);
            const auto actions = zones.poll(now);
            suspected += static_cast<int>(actions.suspected.size());
            for (const auto &zone : actions.toPing) {
                zones.onPinged(zone, "node-" + std::to_string(pings++ % nodes), now);
                if (answers) {
                    zones.onHeard(zone, now);
                }
            }
        }
        return suspected;
    }

    ZoneReachability zones;
    TimePoint now = kStart;
    int nodes = 5;
    int pings = 0;
};

} // namespace

TEST_CASE("Failure: a zone that is cut off is suspected within a quarter of a second")
{
    Watch watch;
    REQUIRE(watch.run(Millis{200}) == 0);
    REQUIRE(watch.run(Millis{160}) == 1);
    REQUIRE(watch.zones.isSuspected("north"));
    REQUIRE_FALSE(watch.zones.isSuspected("south"));
    REQUIRE(watch.pings <= 6);
}

TEST_CASE("A zone that only answers slowly is not suspected")
{
    Watch watch;
    REQUIRE(watch.run(Millis{3000}, true) == 0);
    REQUIRE_FALSE(watch.zones.isAnySuspected());
    REQUIRE(watch.pings > 0);
}

TEST_CASE("A zone that owes nothing is not pinged")
{
    ZoneReachability zones;
    for (auto now = kStart; now < kStart + Millis{2000}; now += Millis{20}) {
        const auto actions = zones.poll(now);
        REQUIRE(actions.toPing.empty());
        REQUIRE(actions.suspected.empty());
    }
}

TEST_CASE("Any sign of life ends the suspicion and the zone is judged anew")
{
    Watch watch;
    REQUIRE(watch.run(Millis{400}) == 1);
    REQUIRE(watch.zones.onHeard("north", watch.now));
    REQUIRE_FALSE(watch.zones.isSuspected("north"));
    REQUIRE_FALSE(watch.zones.onHeard("north", watch.now));
    REQUIRE(watch.run(Millis{400}) == 1);
}

TEST_CASE("A zone of which a single node is known is not suspected")
{
    Watch watch;
    watch.nodes = 1;
    REQUIRE(watch.run(Millis{3000}) == 0);
}

TEST_CASE("Failure: a node that was held up itself begins to count anew")
{
    Watch watch;
    REQUIRE(watch.run(Millis{200}) == 0);
    watch.now += Millis{1000};
    REQUIRE(watch.run(Millis{200}) == 0);
    REQUIRE_FALSE(watch.zones.isAnySuspected());
}

TEST_CASE("A suspected zone is probed seldom")
{
    Watch watch;
    REQUIRE(watch.run(Millis{400}) == 1);
    const int before = watch.pings;
    REQUIRE(watch.run(Millis{3000}) == 0);
    REQUIRE(watch.pings - before <= 10);
    REQUIRE(watch.pings - before >= 8);
}
