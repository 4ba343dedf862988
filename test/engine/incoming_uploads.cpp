#include "engine/incoming_uploads.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::engine;

namespace {

const TimePoint kStart{std::chrono::hours{1}};

proxy::CallFrame call(std::uint64_t id, std::uint64_t bytes)
{
    proxy::CallFrame frame;
    frame.id = id;
    frame.uploadBytes = bytes;
    frame.deadline = Millis{1000};
    frame.target = Millis{300};
    return frame;
}

} // namespace

TEST_CASE("Uploads: a call is complete with its last part and its times have gone on")
{
    admission::BodyBudget budget{1'000'000};
    IncomingUploads uploads{budget};
    REQUIRE(uploads.begin("peer", call(1, 10), kStart));
    REQUIRE(budget.heldBytes() == 10);
    const auto first = uploads.add("peer", {1, 0, "hello"}, kStart + Millis{10});
    REQUIRE(first);
    REQUIRE_FALSE(first->call);
    REQUIRE_FALSE(uploads.add("other", {1, 5, "there"}, kStart));
    auto last = uploads.add("peer", {1, 5, "there"}, kStart + Millis{40});
    REQUIRE(last->call->longBody->bytes == "hellothere");
    REQUIRE(last->call->deadline == Millis{960});
    REQUIRE(last->call->target == Millis{260});
    REQUIRE(last->call->uploadBytes == 0);
    REQUIRE(budget.heldBytes() == 10);
    last.reset();
    REQUIRE(budget.heldBytes() == 0);
}

TEST_CASE("Uploads: a body with a missing or surplus part never becomes a call")
{
    admission::BodyBudget budget{1'000'000};
    IncomingUploads uploads{budget};
    const auto [offset, bytes] = GENERATE(
            table<std::uint64_t, std::string>({{6, "xxxx"}, {4, "xxxxxx"}, {5, "xxxxxx"}}));
    REQUIRE(uploads.begin("peer", call(1, 10), kStart));
    static_cast<void>(uploads.add("peer", {1, 0, "hello"}, kStart));
    const auto progress = uploads.add("peer", {1, offset, bytes}, kStart);
    REQUIRE(progress->isBroken);
    REQUIRE_FALSE(progress->call);
    REQUIRE(uploads.size() == 0);
    REQUIRE(budget.heldBytes() == 0);
}

TEST_CASE("Uploads: what does not fit is refused and what ends early is given back")
{
    admission::BodyBudget budget{1000};
    IncomingUploads uploads{budget};
    REQUIRE(uploads.begin("a", call(1, 600), kStart));
    REQUIRE_FALSE(uploads.begin("a", call(2, 600), kStart));
    REQUIRE_FALSE(uploads.begin("b", call(1, 0xffff'ffff'ffff'ffffU), kStart));
    uploads.cancel("a", 1);
    REQUIRE(uploads.begin("b", call(1, 300), kStart));
    REQUIRE(uploads.begin("b", call(2, 300), kStart));
    uploads.cancelAll("b");
    REQUIRE(budget.heldBytes() == 0);
    REQUIRE(uploads.begin("c", call(1, 600), kStart));
    uploads.sweep(kStart + Millis{1000});
    REQUIRE(uploads.size() == 0);
}
