#include <catch2/catch.hpp>

#include "membership/failure_detector.h"
#include "membership/membership_view.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

Rumour fact(RumourKind kind, const std::string &subject, std::uint64_t sequence)
{
    return {kind, subject, sequence, 60'000};
}

} // namespace

TEST_CASE("one observer suspects, two make a member down, the member refutes")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(fact(RumourKind::Alive, "s", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Alive);
    store.apply(fact(RumourKind::Suspicion, "s o1", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Suspected);
    REQUIRE_FALSE(view.isDown("s"));
    store.apply(fact(RumourKind::Suspicion, "s o2", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Down);
    store.apply(fact(RumourKind::Alive, "s", 11), at(0));
    REQUIRE(view.state("s") == MemberState::Alive);
}

TEST_CASE("suspicions of a predecessor do not count against the successor")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(fact(RumourKind::Alive, "s", 20), at(0));
    store.apply(fact(RumourKind::Suspicion, "s o1", 10), at(0));
    store.apply(fact(RumourKind::Suspicion, "s o2", 10), at(0));
    REQUIRE(view.state("s") == MemberState::Alive);
}

TEST_CASE("leaving is said by the leaver or listed by the platform")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(fact(RumourKind::Leaving, "s", 10), at(0));
    REQUIRE(view.isLeaving("s"));
    store.apply(fact(RumourKind::Alive, "s", 11), at(0));
    REQUIRE_FALSE(view.isLeaving("s"));
    store.apply(fact(RumourKind::ListedLeaving, "s", 5), at(0));
    REQUIRE(view.isLeaving("s"));
    store.apply(fact(RumourKind::ListedLive, "s", 6), at(0));
    REQUIRE_FALSE(view.isLeaving("s"));
}

TEST_CASE("names that are prefixes of others are kept apart")
{
    RumourStore store;
    const MembershipView view{store};
    store.apply(fact(RumourKind::Suspicion, "s10 o1", 1), at(0));
    store.apply(fact(RumourKind::Suspicion, "s10 o2", 1), at(0));
    REQUIRE(view.isDown("s10"));
    REQUIRE_FALSE(view.isDown("s1"));
}

TEST_CASE("silence is reported once, and not for the time of an own pause")
{
    FailureDetector detector;
    detector.heard("s", 1, at(0));
    REQUIRE(detector.poll(at(kSuspicionTimeout.count() - 1)).empty());
    detector.forgive(at(kSuspicionTimeout.count()));
    REQUIRE(detector.poll(at(kSuspicionTimeout.count() + 1)).empty());
    REQUIRE(detector.poll(at(2 * kSuspicionTimeout.count())).size() == 1);
    REQUIRE(detector.poll(at(3 * kSuspicionTimeout.count())).empty());
    detector.heard("s", 1, at(4 * kSuspicionTimeout.count()));
    detector.refused("s");
    REQUIRE(detector.poll(at(4 * kSuspicionTimeout.count())).size() == 1);
    REQUIRE(detector.poll(at(9 * kSuspicionTimeout.count())).empty());
}
