#include "directory/replica.h"

#include <catch2/catch.hpp>

#include "support/text_decoder.h"

using namespace celeryramp;
using namespace celeryramp::directory;

namespace {

constexpr Millis kGracePeriod{1500};
/*! Renewal time when a missing entry means that its server has left. */
constexpr Millis kLeft{0};
const TimePoint kStart{std::chrono::hours{1}};

ItemChange server(const char *id, std::int64_t revision, const char *state = "ready")
{
    return {std::string{"server/"} + id,
            std::string{id} + " stock north 10.0.0.1:80 4 " + state + " 0 1", revision, false};
}

ItemChange version(int number, std::int64_t revision)
{
    return {"configuration", std::to_string(number), revision, false};
}

/*! @return Position in a source that names no eras. */
constexpr SourcePosition at(std::int64_t revision)
{
    return {0, revision};
}

bool has(const std::vector<ReplicaEvent> &events, const std::string &event)
{
    return std::any_of(events.begin(), events.end(),
                       [&event](const ReplicaEvent &it) { return it.event == event; });
}

} // namespace

TEST_CASE("A list fills the replica and a newer list removes missing items")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    REQUIRE(replica.age(kStart) == Millis::max());
    static_cast<void>(replica.applyList({version(1, 2), server("a", 3), server("b", 4)}, at(4),
                                        kStart, kLeft, kStart));
    REQUIRE(replica.view()->servers.size() == 2);
    REQUIRE(replica.view()->routing->version() == 1);
    const auto events
            = replica.applyList({version(1, 2), server("b", 4)}, at(9), kStart, kLeft, kStart);
    REQUIRE(has(events, "server-gone"));
    REQUIRE(replica.view()->findServer("a") == nullptr);
    REQUIRE(replica.view()->findServer("b") != nullptr);
}

TEST_CASE("The replica ignores outdated lists and changes")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    static_cast<void>(replica.applyList({version(7, 10), server("a", 11, "draining")}, at(11),
                                        kStart, kLeft, kStart));
    SECTION("a list with an older revision")
    {
        const auto events
                = replica.applyList({version(6, 5), server("a", 6)}, at(8), kStart, kLeft, kStart);
        REQUIRE(has(events, "list-ignored"));
    }
    SECTION("a change with an older revision")
    {
        static_cast<void>(replica.applyChanges({server("a", 6)}, at(12), kStart, kLeft, kStart));
    }
    SECTION("a newer item with an older configuration version")
    {
        const auto events = replica.applyChanges({version(6, 12)}, at(12), kStart, kLeft, kStart);
        REQUIRE(has(events, "configuration-ignored"));
    }
    REQUIRE(replica.view()->routing->version() == 7);
    REQUIRE(replica.view()->findServer("a")->isDraining);
}

TEST_CASE("An unreadable item removes its server and no other")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    static_cast<void>(
            replica.applyList({server("a", 3), server("b", 4)}, at(4), kStart, kLeft, kStart));
    const auto events = replica.applyChanges({{"server/a", "nonsense", 5, false}}, at(5), kStart,
                                             kLeft, kStart);
    REQUIRE(has(events, "item-unreadable"));
    REQUIRE(replica.view()->findServer("a") == nullptr);
    REQUIRE(replica.view()->findServer("b") != nullptr);
    static_cast<void>(replica.applyChanges({server("a", 6)}, at(6), kStart, kLeft, kStart));
    REQUIRE(replica.view()->findServer("a") != nullptr);
}

TEST_CASE(
        "A server entry that expires while the source is unavailable is kept for the grace period")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    static_cast<void>(replica.applyList({server("a", 3)}, at(3), kStart, kLeft, kStart));
    const auto back = kStart + Millis{10'000};
    static_cast<void>(replica.applyList({}, at(9), back, kGracePeriod * 2, back));
    REQUIRE(replica.view()->findServer("a") != nullptr);
    SECTION("the entry is published again")
    {
        static_cast<void>(replica.applyChanges({server("a", 12)}, at(12), back, kGracePeriod,
                                               back + Millis{1000}));
        static_cast<void>(replica.expire(back + kGracePeriod * 2));
        REQUIRE(replica.view()->findServer("a") != nullptr);
    }
    SECTION("the entry is not published again")
    {
        static_cast<void>(replica.expire(back + kGracePeriod - Millis{1}));
        REQUIRE(replica.view()->findServer("a") != nullptr);
        REQUIRE(has(replica.expire(back + kGracePeriod), "server-gone"));
        REQUIRE(replica.view()->findServer("a") == nullptr);
    }
}

TEST_CASE("A missing entry is kept no longer than servers have time to renew it")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    static_cast<void>(replica.applyList({server("a", 3)}, at(3), kStart, kLeft, kStart));
    SECTION("time is left")
    {
        const Millis left{400};
        static_cast<void>(replica.applyList({}, at(9), kStart, left, kStart));
        REQUIRE_FALSE(has(replica.expire(kStart + left - Millis{1}), "server-gone"));
        REQUIRE(has(replica.expire(kStart + left), "server-gone"));
    }
    SECTION("none is left")
    {
        REQUIRE(has(replica.applyList({}, at(9), kStart, Millis{0}, kStart), "server-gone"));
    }
    REQUIRE(replica.view()->findServer("a") == nullptr);
}

TEST_CASE("The age of the replica counts from the request rather than the response")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    static_cast<void>(replica.applyList({}, at(3), kStart, kLeft, kStart + Millis{900}));
    REQUIRE(replica.age(kStart + Millis{1000}) == Millis{1000});
    static_cast<void>(
            replica.applyChanges({}, at(3), kStart + Millis{500}, kLeft, kStart + Millis{2500}));
    REQUIRE(replica.age(kStart + Millis{2500}) == Millis{2000});
    // Changes of unknown age are applied but do not make the replica younger.
    static_cast<void>(replica.applyChanges({server("a", 4)}, at(4), TimePoint{}, kLeft,
                                           kStart + Millis{3000}));
    REQUIRE(replica.age(kStart + Millis{3000}) == Millis{2500});
    REQUIRE(replica.view()->findServer("a") != nullptr);
}

TEST_CASE("A list from a peer may omit values that are already held")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    static_cast<void>(
            replica.applyList({version(1, 2), server("a", 3)}, at(3), kStart, kLeft, kStart));
    auto withoutValue = server("a", 3);
    withoutValue.value.clear();
    static_cast<void>(
            replica.applyList({withoutValue, version(2, 5)}, at(5), kStart, kLeft, kStart));
    REQUIRE(replica.view()->findServer("a") != nullptr);
    REQUIRE(replica.view()->routing->version() == 2);
}

TEST_CASE("Pattern: deltas of two readers that read at different times are applicable")
{
    const test::TextDecoder decoder;
    Replica reader{decoder, kGracePeriod};
    Replica other{decoder, kGracePeriod};
    Replica node{decoder, kGracePeriod};
    const auto item = [](int number) {
        return ItemChange{"configuration", std::to_string(number) + std::string(200, '{'),
                          number + 1, false};
    };
    for (auto *replica : {&reader, &other, &node}) {
        static_cast<void>(replica->applyList({item(1)}, at(2), kStart, kLeft, kStart));
    }
    const auto apply = [&](Replica &from, int number) {
        auto [delta, base] = from.asDelta(item(number));
        REQUIRE(base > at(0));
        static_cast<void>(from.applyChanges({item(number)}, at(number + 1), kStart, kLeft, kStart));
        const auto change = node.fromDelta(std::move(delta), base);
        REQUIRE(change);
        static_cast<void>(node.applyChanges({*change}, at(number + 1), kStart, kLeft, kStart));
    };
    apply(reader, 2);
    apply(other, 3);
    apply(reader, 4);
    REQUIRE(node.view()->routing->version() == 4);
    auto unknown = reader.asDelta(item(9)).first;
    REQUIRE_FALSE(node.fromDelta(unknown, at(77)));
}

TEST_CASE("Pattern: after a power loss old server entries coexist with those of the new servers")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    const ItemChange before{"server/old", "old stock north 10.0.0.1:80 4 ready 0 1000", 3, false};
    const ItemChange after{"server/new", "new stock north 10.0.0.1:80 4 ready 0 5000", 4, false};
    const ItemChange other{"server/other", "other stock north 10.0.0.2:80 4 ready 0 1000", 5,
                           false};
    static_cast<void>(
            replica.applyList({version(1, 2), before, after, other}, at(5), kStart, kLeft, kStart));
    const auto &servers = replica.view()->byService.at("stock");
    REQUIRE(servers.size() == 2);
    REQUIRE(servers.front()->id == "new");
    REQUIRE(servers.back()->id == "other");
}

TEST_CASE("The state for a peer has deltas against what the peer holds")
{
    const test::TextDecoder decoder;
    Replica replica{decoder, kGracePeriod};
    Replica peer{decoder, kGracePeriod};
    const auto item = [](int number) {
        return ItemChange{"configuration", std::to_string(number) + std::string(200, '{'), number,
                          false};
    };
    for (auto *it : {&replica, &peer}) {
        static_cast<void>(it->applyList({item(1), server("a", 1)}, at(1), kStart, kLeft, kStart));
    }
    for (int number = 2; number <= 4; ++number) {
        static_cast<void>(replica.applyChanges({item(number)}, at(number), kStart, kLeft, kStart));
    }
    const auto valueOf = [&](std::int64_t revision, bool takesDeltas) {
        const auto items = replica.itemsSince({at(revision), 0, takesDeltas});
        const auto it = std::find_if(items.begin(), items.end(), [](const auto &entry) {
            return entry.item.key == "configuration";
        });
        REQUIRE(it != items.end());
        return *it;
    };
    // Only the peer's revision decides; versions between were never at the peer.
    const auto delta = valueOf(1, true);
    REQUIRE(delta.base == at(1));
    REQUIRE(delta.item.value.size() < 100);
    REQUIRE(peer.fromDelta(delta.item, delta.base)->value == item(4).value);
    REQUIRE_FALSE(replica.holds("configuration", at(5)));
    REQUIRE(replica.holds("configuration", at(4)));
    REQUIRE(valueOf(1, false).item.value == item(4).value);
    REQUIRE(valueOf(4, true).item.value.empty());
    // A peer that holds nothing, or a value that is no longer kept, gets the whole one.
    REQUIRE(valueOf(0, true).base == at(0));
    static_cast<void>(replica.applyChanges({item(5)}, at(5), kStart, kLeft, kStart));
    REQUIRE(valueOf(1, true).base == at(0));
    REQUIRE(valueOf(1, true).item.value == item(5).value);
    REQUIRE(valueOf(2, true).base == at(2));
}
