#include <catch2/catch.hpp>

#include "membership/failure_detector.h"
#include "membership/membership_view.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

Rumour makeRumour(RumourKind kind, const std::string &subject, std::uint64_t sequence)
{
    return {kind, subject, sequence, 60'000};
}

} // namespace

TEST_CASE("a member is suspected by one observer and down by two until it refutes them")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(makeRumour(RumourKind::Alive, "s", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Alive);
    store.apply(makeRumour(RumourKind::Suspicion, "s o1", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Suspected);
    REQUIRE_FALSE(view.isDown("s"));
    store.apply(makeRumour(RumourKind::Suspicion, "s o2", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Down);
    store.apply(makeRumour(RumourKind::Alive, "s", 11), at(0));
    REQUIRE(view.state("s") == MemberState::Alive);
}

TEST_CASE("suspicions of an earlier incarnation do not apply to a later one")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(makeRumour(RumourKind::Alive, "s", 20), at(0));
    store.apply(makeRumour(RumourKind::Suspicion, "s o1", 10), at(0));
    store.apply(makeRumour(RumourKind::Suspicion, "s o2", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Alive);
}

TEST_CASE("a member leaves when it announces this or the platform lists it as leaving")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(makeRumour(RumourKind::Leaving, "s", 10), at(0));
    REQUIRE(view.isLeaving("s"));
    store.apply(makeRumour(RumourKind::Alive, "s", 11), at(0));
    REQUIRE_FALSE(view.isLeaving("s"));
    store.apply(makeRumour(RumourKind::ListedLeaving, "s", 5), at(0));
    REQUIRE(view.isLeaving("s"));
    store.apply(makeRumour(RumourKind::ListedLive, "s", 6), at(0));
    REQUIRE_FALSE(view.isLeaving("s"));
}

TEST_CASE("suspicions of a server do not apply to a server whose name is a prefix")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(makeRumour(RumourKind::Suspicion, "s10 o1", 1), at(0));
    store.apply(makeRumour(RumourKind::Suspicion, "s10 o2", 1), at(0));
    REQUIRE(view.isDown("s10"));
    REQUIRE_FALSE(view.isDown("s1"));
}

TEST_CASE("a missing member is reported once and timeouts restart after a pause")
{
    FailureDetector detector;
    detector.recordHeartbeat("s", 1, at(0));
    REQUIRE(detector.poll(at(kSuspicionTimeout.count() - 1)).empty());
    detector.restartTimeouts(at(kSuspicionTimeout.count()));
    REQUIRE(detector.poll(at(kSuspicionTimeout.count() + 1)).empty());
    REQUIRE(detector.poll(at(2 * kSuspicionTimeout.count())).size() == 1);
    REQUIRE(detector.poll(at(3 * kSuspicionTimeout.count())).empty());
    detector.recordHeartbeat("s", 1, at(4 * kSuspicionTimeout.count()));
    detector.recordConnectionRefused("s");
    REQUIRE(detector.poll(at(4 * kSuspicionTimeout.count())).size() == 1);
    REQUIRE(detector.poll(at(9 * kSuspicionTimeout.count())).empty());
}
