#include "directory/reader_selection.h"

#include <catch2/catch.hpp>

#include "directory/freshness_schedule.h"

using celeryramp::Millis;
using celeryramp::directory::readPause;

namespace {

/*! Time within which a configuration must be in force everywhere, less its propagation delay. */
constexpr Millis kApplyDeadline{1900};
/*! Interval at which nodes check the age of their replica. */
constexpr Millis kCheckInterval{250};

} // namespace

TEST_CASE("One node of a zone reads for the others")
{
    CHECK(readPause({0, Millis{0}, false}));
    for (std::size_t rank = 1; rank < 30; ++rank) {
        CHECK_FALSE(readPause({rank, Millis{1000}, false}));
    }
}

TEST_CASE("A node reads if its replica is empty or misses an announced revision")
{
    CHECK(readPause({20, Millis::max(), true}));
    CHECK(readPause({20, Millis{100}, true}));
}

TEST_CASE("Pattern: the reader and the second node fail and the third takes over in time")
{
    // The worst case is a change right after the last confirmation, when replicas are 1 s old.
    for (std::size_t rank = 1; rank <= 2; ++rank) {
        bool hasRead = false;
        for (Millis age{0}; age + kCheckInterval <= kApplyDeadline; age += Millis{10}) {
            hasRead = hasRead || readPause({rank, age, false}).has_value();
        }
        CHECK(hasRead);
    }
    // Nodes take over one by one, since the platform sustains the requests of a whole fleet only
    // briefly.
    CHECK_FALSE(readPause({5, Millis{1500}, false}));
}

TEST_CASE("Every node reads if the replicas of the whole zone are too old")
{
    CHECK(readPause({50, Millis{3001}, false}));
}

// Guards against steps that begin only after a configuration has to be in force.
TEST_CASE("Freshness schedule: each step leaves time for a read within the bound")
{
    const auto bound = GENERATE(Millis{2000}, Millis{2500}, Millis{3000});
    const celeryramp::directory::FreshnessSchedule schedule{bound};
    // A change published right after the replica was confirmed is noticed by its age only.
    constexpr Millis kPropagation = Millis{2000} - kApplyDeadline;
    CHECK(schedule.askPeerAge < schedule.selfReadAge);
    CHECK(schedule.selfReadAge + kCheckInterval + kPropagation <= bound);
    CHECK(schedule.maxLag + kCheckInterval < bound / 2);
    CHECK(readPause({50, schedule.selfReadAge + Millis{1}, false, schedule.selfReadAge}));
    CHECK_FALSE(readPause({50, schedule.selfReadAge, false, schedule.selfReadAge}));
}

TEST_CASE("Failure: the platform turns a whole zone away - its nodes together try it like a few")
{
    using celeryramp::directory::readBackoff;
    CHECK(readBackoff(1, 0) == Millis{100});
    CHECK(readBackoff(2, 3) == Millis{200});
    CHECK(readBackoff(9, 0) == Millis{800});
    for (const std::size_t nodes : {4U, 18U, 230U}) {
        // A node waits for half of its backoff on average.
        const auto pause = static_cast<double>(readBackoff(9, nodes - 1).count()) / 2000.0;
        const double perSecond = static_cast<double>(nodes) / pause;
        CHECK(perSecond <= 10.1);
        CHECK(perSecond >= 9.9);
    }
}
