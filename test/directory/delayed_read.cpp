#include "directory/delayed_read.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using directory::decideDelayedRead;
using directory::DelayedRead;
using directory::ReadProgress;

namespace {

constexpr TimePoint kRequested{std::chrono::hours{1}};

TimePoint at(int millis)
{
    return kRequested + Millis{millis};
}

} // namespace

TEST_CASE("Delayed read: it goes on while bytes arrive and ends when they stop")
{
    const ReadProgress progress{kRequested, at(1000), false, 400'000, 500'000};
    CHECK(decideDelayedRead(progress, at(1100)) == DelayedRead::Wait);
    CHECK(decideDelayedRead(progress, at(1599)) == DelayedRead::Wait);
    CHECK(decideDelayedRead(progress, at(1600)) == DelayedRead::GiveUp);
    const ReadProgress endless{kRequested, at(5999), false, std::nullopt, 0};
    CHECK(decideDelayedRead(endless, at(5999)) == DelayedRead::Wait);
    CHECK(decideDelayedRead(endless, at(6000)) == DelayedRead::GiveUp);
}

TEST_CASE("Delayed read: bytes of an earlier response are no progress")
{
    const ReadProgress progress{kRequested, at(-10), true, std::nullopt, 0};
    CHECK(decideDelayedRead(progress, at(300)) == DelayedRead::GiveUp);
}

TEST_CASE("Delayed read: a list replaces a watch only if it is shorter than what is to come")
{
    ReadProgress progress{kRequested, at(1000), true, 500'001, 500'000};
    CHECK(decideDelayedRead(progress, at(1100)) == DelayedRead::List);
    progress.bytesToCome = 500'000;
    CHECK(decideDelayedRead(progress, at(1100)) == DelayedRead::Wait);
    progress.bytesToCome = std::nullopt;
    CHECK(decideDelayedRead(progress, at(1100)) == DelayedRead::Wait);
    progress = {kRequested, at(1000), false, 500'001, 500'000};
    CHECK(decideDelayedRead(progress, at(1100)) == DelayedRead::Wait);
}
