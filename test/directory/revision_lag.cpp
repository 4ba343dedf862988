#include "directory/revision_lag.h"

#include <catch2/catch.hpp>

using celeryramp::Millis;
using celeryramp::TimePoint;
using celeryramp::directory::RevisionLag;
using celeryramp::directory::SourcePosition;

namespace {

constexpr TimePoint kStart{std::chrono::hours{1}};

constexpr SourcePosition at(std::int64_t revision)
{
    return {0, revision};
}

} // namespace

TEST_CASE("Revision lag: it counts from the first announcement that the replica lacks")
{
    RevisionLag lag;
    CHECK(lag.lag(kStart) == Millis{0});
    lag.onAnnounced(at(5), kStart);
    lag.onAnnounced(at(5), kStart + Millis{100});
    lag.onAnnounced(at(4), kStart + Millis{100});
    CHECK(lag.lag(kStart + Millis{300}) == Millis{300});
    lag.onAnnounced(at(9), kStart + Millis{200});
    lag.onHeld(at(5));
    CHECK(lag.lag(kStart + Millis{300}) == Millis{100});
    lag.onHeld(at(9));
    CHECK(lag.lag(kStart + Millis{300}) == Millis{0});
    CHECK(lag.latest() == at(9));
}

TEST_CASE("Revision lag: a replica that follows a long series lags by one step")
{
    RevisionLag lag;
    for (int i = 1; i < 1000; ++i) {
        lag.onAnnounced(at(i), kStart + Millis{i * 100});
        lag.onHeld(at(i - 1));
        REQUIRE(lag.lag(kStart + Millis{i * 100 + 50}) == Millis{50});
    }
}

TEST_CASE("Revision lag: what it remembers is bounded and never looks younger than it is")
{
    RevisionLag lag;
    const int last = static_cast<int>(RevisionLag::kMaxPending) * 4;
    for (int i = 1; i <= last; ++i) {
        lag.onAnnounced(at(i), kStart + Millis{i});
    }
    CHECK(lag.lag(kStart + Millis{1000}) == Millis{999});
    lag.onHeld(at(last - 1));
    CHECK(lag.lag(kStart + Millis{1000}) >= Millis{1000 - last});
    lag.onHeld(at(last));
    CHECK(lag.lag(kStart + Millis{1000}) == Millis{0});
}
