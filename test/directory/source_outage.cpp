#include "directory/source_outage.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::directory;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
/*! Longest time from the end of an outage until a removal counts as such. */
constexpr Millis kStableWindow{3000};

TimePoint at(int millis)
{
    return kStart + Millis{millis};
}

/*! A source that was read at the start and failed until `lastFailed`. */
SourceOutage outageUntil(int lastFailed)
{
    SourceOutage outage;
    outage.onReplicaComplete(kStart);
    for (int t = 500; t <= lastFailed; t += 500) {
        outage.onReadFailed(at(t));
    }
    return outage;
}

} // namespace

TEST_CASE("Servers have time to renew entries after a long outage only")
{
    auto outage = outageUntil(4000);
    REQUIRE(outage.renewalTimeLeft(at(4000)) == Millis{0});
    outage.onReplicaComplete(at(4500));
    REQUIRE(outage.renewalTimeLeft(at(4500)) >= Millis{2000});
    REQUIRE(outage.renewalTimeLeft(at(4000) + kStableWindow) == Millis{0});
    auto shortOutage = outageUntil(1500);
    shortOutage.onReplicaComplete(at(2000));
    REQUIRE(shortOutage.renewalTimeLeft(at(2000)) == Millis{0});
}

TEST_CASE("The time for renewals never outlasts the end of an outage by the stable window")
{
    // The outage ends right after the request of the last read that fails.
    for (int answeredAt = 3000; answeredAt < 6000; answeredAt += 100) {
        auto outage = outageUntil(3000);
        outage.onReplicaComplete(at(answeredAt));
        REQUIRE(outage.renewalTimeLeft(at(3000) + kStableWindow) == Millis{0});
    }
}

TEST_CASE("A read that was under way at the end of an outage and fails later extends nothing")
{
    auto outage = outageUntil(4000);
    outage.onReplicaComplete(at(4500));
    const auto left = outage.renewalTimeLeft(at(5000));
    outage.onReadFailed(at(4400));
    outage.onReplicaComplete(at(5000));
    REQUIRE(outage.renewalTimeLeft(at(5000)) == left);
}

TEST_CASE("Reads of this node that fail while peers confirm the replica are no outage")
{
    SourceOutage outage;
    for (int t = 0; t <= 6000; t += 500) {
        outage.onReplicaComplete(at(t));
        outage.onReadFailed(at(t + 100));
        REQUIRE(outage.renewalTimeLeft(at(t + 200)) == Millis{0});
    }
}

TEST_CASE("A replica that grows old without a failed read has seen no outage")
{
    SourceOutage outage;
    outage.onReplicaComplete(kStart);
    outage.onReplicaComplete(at(9000));
    REQUIRE(outage.renewalTimeLeft(at(9000)) == Millis{0});
}
