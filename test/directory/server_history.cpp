#include "directory/server_history.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::directory;

namespace {

constexpr TimePoint kNow{std::chrono::hours{1}};
/*! Longer than any copy of a source is old. */
constexpr Millis kLongAgo{150'000};

BackendServer state(std::uint64_t startedMillis, std::uint64_t sequence)
{
    BackendServer server;
    server.startedMillis = startedMillis;
    server.sequence = sequence;
    return server;
}

} // namespace

TEST_CASE("Server history: only a later era can list a state that is outdated")
{
    ServerHistory history;
    history.onPublished("a", state(1000, 7), 2);
    CHECK(history.compare("a", state(1000, 6), 3) == EntryAge::Outdated);
    CHECK(history.compare("a", state(900, 9), 3) == EntryAge::Outdated);
    CHECK(history.compare("a", state(1000, 7), 3) == EntryAge::Current);
    CHECK(history.compare("a", state(1000, 8), 3) == EntryAge::Current);
    CHECK(history.compare("a", state(1100, 1), 3) == EntryAge::Current);
    CHECK(history.compare("a", state(1000, 6), 2) == EntryAge::Current);
    CHECK(history.compare("b", state(1000, 6), 3) == EntryAge::Current);
}

TEST_CASE("Server history: a removed server needs a later state or start")
{
    ServerHistory history;
    history.onPublished("a", state(1000, 7), 2);
    history.onRemoved("a", 2, kNow);
    CHECK(history.compare("a", state(1000, 7), 3) == EntryAge::Withdrawn);
    CHECK(history.compare("a", state(1000, 6), 3) == EntryAge::Withdrawn);
    CHECK(history.compare("a", state(1000, 8), 3) == EntryAge::Current);
    CHECK(history.compare("a", state(1100, 1), 3) == EntryAge::Current);
    history.onPublished("a", state(1000, 8), 3);
    CHECK(history.compare("a", state(1000, 8), 4) == EntryAge::Current);
}

TEST_CASE("Server history: a removal belongs to the era that shows it")
{
    ServerHistory history;
    history.onPublished("a", state(1000, 7), 2);
    history.onRemoved("a", 3, kNow);
    CHECK(history.compare("a", state(1000, 7), 3) == EntryAge::Current);
    CHECK(history.compare("a", state(1000, 7), 4) == EntryAge::Withdrawn);
}

TEST_CASE("Server history: states without a start are not compared")
{
    ServerHistory history;
    history.onPublished("a", state(0, 7), 2);
    history.onPublished("b", state(1000, 7), 2);
    CHECK(history.compare("a", state(0, 6), 3) == EntryAge::Current);
    CHECK(history.compare("b", state(0, 6), 3) == EntryAge::Current);
}

TEST_CASE("Server history: servers that left are forgotten in time and others are not")
{
    ServerHistory history;
    history.onPublished("left", state(1000, 7), 2);
    history.onPublished("here", state(1000, 7), 2);
    history.onRemoved("left", 2, kNow);
    history.onRemoved("unknown", 2, kNow);
    history.expire(kNow + Millis{10'000});
    CHECK(history.compare("left", state(1000, 7), 3) == EntryAge::Withdrawn);
    history.expire(kNow + kLongAgo);
    CHECK(history.compare("left", state(1000, 7), 3) == EntryAge::Current);
    CHECK(history.compare("here", state(1000, 6), 3) == EntryAge::Outdated);
}
