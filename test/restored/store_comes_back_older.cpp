#include <algorithm>

#include <catch2/catch.hpp>

#include "core/boot_clock.h"
#include "restored/restored_site.h"

using namespace celeryramp;
using test::RestoredSite;
using test::SiteVersion;
using test::VersionSigns;

namespace {

using Lines = std::vector<std::string>;

/*! @name Bounds of the users' pages */
/*!@{*/
constexpr Millis kConfigApply{2000};
constexpr Millis kStableWindow{3000};
constexpr Millis kMaxStretch{5000};
constexpr Millis kRevoke{5000};
constexpr Millis kEvacuate{5000};
/*! Time in which a server that joins gets requests. */
constexpr Millis kJoined = kConfigApply + Millis{2000};
/*!@}*/

constexpr Millis kCopyAge{5000};
/*! From a bound on, requests are looked at for so long. */
constexpr Millis kLookedAt{1000};
constexpr Millis kBetweenWrites{300};

const std::string kAlways = "/always/";
const std::string kDropped = "/dropped/"; /*!< Dropped by the lost version. */
const std::string kLostRoute = "/lost/";
const std::string kNewerRoute = "/newer/";
const std::string kNewestRoute = "/newest/";
const std::string kWithdrawnKey = "withdrawn";

const SiteVersion kFirst{2, {kAlways, kDropped}, {"kept", kWithdrawnKey}};
const SiteVersion kLost{5, {kAlways, kLostRoute}, {"kept", kWithdrawnKey}};
const SiteVersion kNewer{9, {kAlways, kLostRoute, kNewerRoute}, {"kept"}};
const SiteVersion kNewest{12, {kAlways, kLostRoute, kNewerRoute, kNewestRoute}, {"kept"}};
const VersionSigns kSignsOfLost{kLostRoute, kDropped};
/*! Writes that are lost besides the version. */
constexpr int kLostServerWrites = RestoredSite::kNodes;

/*! @brief Site whose store goes back, if it does, behind the lost version. */
struct Fixture
{
    Fixture()
    {
        REQUIRE(site.runUntilServed(kAlways));
        REQUIRE(site.runUntilServed(RestoredSite::kKeyedRoute));
    }

    void writeLost()
    {
        site.publish(kLost);
        site.writeServers(kLostServerWrites);
        REQUIRE(site.runUntilServed(kLostRoute));
    }

    /*! @return Time of the return from a copy of some seconds. */
    TimePoint restore()
    {
        site.runUntil(site.copiedAt() + kCopyAge - RestoredSite::kAway);
        return site.restoreStore();
    }

    /*! @return Acknowledgement of the last one. */
    TimePoint writeVersions()
    {
        site.run(kBetweenWrites);
        site.publish(kLost);
        site.run(kBetweenWrites);
        site.publish(kNewer);
        site.run(kBetweenWrites);
        return site.publish(kNewest);
    }

    /*! @brief Checks that all routes of the newest version are served from some time on. */
    void checkNewest(TimePoint from)
    {
        site.runUntil(from + kLookedAt);
        const auto to = bootNow();
        for (const auto &route : kNewest.routes) {
            CHECK(site.probes().notServed(route, from, to) == Lines{});
        }
        CHECK(site.probes().servedWithKey(kWithdrawnKey, from) == Lines{});
        CHECK(site.probes().wentBack(kSignsOfLost) == Lines{});
        CHECK(site.areAllRunning());
    }

    /*! Nodes are held to their bounds once nothing was disturbed for some time. */
    static TimePoint inForce(TimePoint acknowledgedAt, TimePoint returnedAt)
    {
        return std::max(acknowledgedAt + kConfigApply, returnedAt + kStableWindow);
    }

    RestoredSite site{Catch::getResultCapture().getCurrentTestName(),
                      kFirst,
                      {kAlways, kDropped, kLostRoute, kNewerRoute, kNewestRoute},
                      kWithdrawnKey};
};

} // namespace

// Guards against nodes that take the restored store for an old one, and ignore all that it says.
TEST_CASE("Restored store: fewer writes follow than were lost")
{
    Fixture fixture;
    fixture.writeLost();
    const auto returnedAt = fixture.restore();
    const auto acknowledgedAt = fixture.writeVersions();
    fixture.checkNewest(Fixture::inForce(acknowledgedAt, returnedAt));
}

// Guards against nodes that watch on behind changes which took the place of those they hold.
TEST_CASE("Restored store: more writes follow than were lost before a node asks")
{
    Fixture fixture;
    auto &site = fixture.site;
    fixture.writeLost();
    const auto returnedAt = fixture.restore();
    site.publish(kLost);
    const auto acknowledgedAt = site.publish(kNewer);
    site.writeServers(2 * kLostServerWrites);
    const auto from = Fixture::inForce(acknowledgedAt, returnedAt);
    site.runUntil(acknowledgedAt + kRevoke + kLookedAt);
    for (const auto &route : kNewer.routes) {
        CHECK(site.probes().notServed(route, from, bootNow()) == Lines{});
    }
    CHECK(site.probes().servedWithKey(kWithdrawnKey, acknowledgedAt + kRevoke) == Lines{});
    CHECK(site.probes().wentBack(kSignsOfLost) == Lines{});
    CHECK(site.areAllRunning());
}

// Guards against nodes that follow the first return of a store only.
TEST_CASE("Restored store: it goes back twice")
{
    Fixture fixture;
    fixture.writeLost();
    fixture.restore();
    fixture.site.run(kBetweenWrites);
    fixture.site.publish(kLost);
    fixture.site.run(kBetweenWrites);
    const auto returnedAt = fixture.restore();
    const auto acknowledgedAt = fixture.writeVersions();
    fixture.checkNewest(Fixture::inForce(acknowledgedAt, returnedAt));
}

// Guards against nodes that ignore what others have read from the restored store.
TEST_CASE("Restored store: half of the nodes are turned away after its return")
{
    Fixture fixture;
    fixture.writeLost();
    fixture.restore();
    // A zone, and one of the two nodes of another zone.
    fixture.site.turnAway({1, 2, 5});
    const auto acknowledgedAt = fixture.writeVersions();
    fixture.checkNewest(acknowledgedAt + kConfigApply + kMaxStretch);
}

// Guards against nodes that go back to the state of the copy until the lost one is written again.
TEST_CASE("Restored store: the lost version is written late")
{
    Fixture fixture;
    fixture.writeLost();
    const auto servedAt = bootNow();
    const auto returnedAt = fixture.restore();
    fixture.site.runUntil(returnedAt + kStableWindow);
    const auto acknowledgedAt = fixture.writeVersions();
    fixture.checkNewest(Fixture::inForce(acknowledgedAt, returnedAt));
    const auto &probes = fixture.site.probes();
    CHECK(probes.notServed(kLostRoute, servedAt, bootNow()) == Lines{});
    CHECK(probes.notServed(kAlways, servedAt, bootNow()) == Lines{});
}

// Guards against a node that knows the restored store only and does not convince the others.
TEST_CASE("Restored store: a node restarts before the lost version is written")
{
    Fixture fixture;
    fixture.writeLost();
    const auto returnedAt = fixture.restore();
    fixture.site.run(kBetweenWrites);
    fixture.site.restart(3);
    const auto acknowledgedAt = fixture.writeVersions();
    fixture.checkNewest(Fixture::inForce(acknowledgedAt, returnedAt + kBetweenWrites));
}

TEST_CASE("Restored store: control without going back")
{
    Fixture fixture;
    const auto servedAt = bootNow();
    fixture.writeLost();
    const auto acknowledgedAt = fixture.writeVersions();
    fixture.checkNewest(acknowledgedAt + kConfigApply);
    CHECK(fixture.site.probes().notServed(kAlways, servedAt, bootNow()) == Lines{});
}

// Guards against nodes that use servers and zones again, since the copy does not say that they go.
TEST_CASE("Restored store: servers and a zone that leave are not used again")
{
    Fixture fixture;
    auto &site = fixture.site;
    constexpr int kDraining = 0;
    constexpr int kRemoved = 1;
    const std::string kEvacuated = "c";
    const auto executions = [&](TimePoint from) {
        const auto to = bootNow();
        return std::vector<int>{site.executionsAt(kDraining, from, to),
                                site.executionsAt(kRemoved, from, to),
                                site.executionsIn(kEvacuated, from, to)};
    };
    const std::vector<int> none{0, 0, 0};
    const auto write = [&] {
        site.publishServer(kDraining, "draining");
        site.removeServer(kRemoved);
        return site.evacuate(kEvacuated);
    };
    REQUIRE(site.runUntil(
            [&] {
                const auto all = executions(TimePoint{});
                return std::count(all.begin(), all.end(), 0) == 0;
            },
            kJoined));
    const auto acknowledgedAt = write();
    site.runUntil(std::max(acknowledgedAt + kEvacuate, site.copiedAt() + kCopyAge));
    const auto leftAt = bootNow();
    site.run(kLookedAt / 2);
    REQUIRE(executions(leftAt) == none);
    const auto returnedAt = fixture.restore();
    site.runUntil(returnedAt + kJoined);
    CHECK(executions(leftAt) == none);
    write();
    site.run(kLookedAt);
    CHECK(executions(leftAt) == none);

    const auto againAt = site.takeBack(kEvacuated);
    site.replaceServer(kDraining);
    CHECK(site.runUntil(
            [&] {
                return site.executionsAt(kDraining, againAt, bootNow()) > 0
                        && site.executionsIn(kEvacuated, againAt, bootNow()) > 0;
            },
            kJoined));
}

// Guards against nodes that list and watch without a pause while what they read does not fit.
TEST_CASE("Restored store: nodes read it a few times a second while nothing is written")
{
    // Twice a list and a watch in each half of the time in which a version is to be in force.
    constexpr auto kReadsPerSecond = 2 * 2 * 2 * 1000 / kConfigApply.count();
    Fixture fixture;
    fixture.writeLost();
    const auto servedAt = bootNow();
    const auto returnedAt = fixture.restore();
    const auto before = fixture.site.store().calls().total();
    fixture.site.runUntil(returnedAt + kStableWindow);
    const auto seconds = kStableWindow.count() / 1000;
    CHECK(fixture.site.store().calls().total() - before
          <= kReadsPerSecond * RestoredSite::kNodes * seconds);
    CHECK(fixture.site.probes().notServed(kAlways, servedAt, bootNow()) == Lines{});
    CHECK(fixture.site.probes().wentBack(kSignsOfLost) == Lines{});
}
