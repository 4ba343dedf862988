#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "directory/replica.h"
#include "directory/routing_table.h"
#include "store_item_decoder.h"

using namespace celeryramp;
using namespace celeryramp::directory;

namespace {

constexpr Millis kGracePeriod{1500};
constexpr Millis kNoRenewal{0};
const TimePoint kNow{std::chrono::hours{1}};

const std::string kMill = R"({"Name":"mill","ApiKeys":["k"],"RatePerS":10,"Burst":5})";

/*! @return A version with these further members. */
std::string document(int version, const std::string &members)
{
    return R"({"Version":)" + std::to_string(version)
            + R"(,"Routes":[{"Name":"keyed","Host":"a","Prefix":"/keyed/","Kind":"idempotent",)"
              R"("Timeout":"1s","MaxAttempts":1,"Service":"stock"},)"
              R"({"Name":"open","Host":"a","Prefix":"/open/","Kind":"idempotent","Timeout":"1s",)"
              R"("MaxAttempts":1,"AllowAnonymous":true,"Service":"stock"}],)"
              R"("Services":[{"Name":"stock"}])"
            + (members.empty() ? "" : "," + members) + "}";
}

std::string withAccounts(int version, const std::string &accounts)
{
    return document(version, R"("Tenants":)" + accounts);
}

Configuration decoded(const std::string &value)
{
    return std::get<Configuration>(platform::StoreItemDecoder{}.decode("op/config", value).value());
}

RoutingTable table(const std::string &value)
{
    return RoutingTable::build(decoded(value)).value();
}

KeyVerdict verdict(const RoutingTable &routing, std::optional<std::string_view> key,
                   const char *path = "/keyed/")
{
    return routing.checkKey(*routing.findRoute("a", path), key).verdict;
}

ItemChange configuration(std::string value, std::int64_t revision, std::int64_t era = 0)
{
    return {"op/config", std::move(value), revision, false, era};
}

bool has(const std::vector<ReplicaEvent> &events, const std::string &event)
{
    return std::any_of(events.begin(), events.end(),
                       [&event](const ReplicaEvent &it) { return it.event == event; });
}

/*! @brief Node with the platform's decoder, as its peers and the store inform it. */
struct ReplicaOfNode
{
    std::vector<ReplicaEvent> list(const std::string &value, std::int64_t revision,
                                   std::int64_t era = 0)
    {
        return replica.applyList({configuration(value, revision, era)}, {era, revision}, kNow,
                                 kNoRenewal, kNow);
    }

    [[nodiscard]] const RoutingTable &routing() const { return *replica.view()->routing; }

    platform::StoreItemDecoder decoder;
    Replica replica{decoder, kGracePeriod};
};

} // namespace

// Guards against requests that run without a valid key once the last account was removed.
TEST_CASE("Accounts: a list that has become empty requires keys and no list requires none")
{
    REQUIRE(table(withAccounts(7, "[" + kMill + "]")).needsKeys());
    REQUIRE(table(withAccounts(9, "[]")).needsKeys());
    REQUIRE(table(withAccounts(9, "[]")).findAccountByKey("k") == nullptr);
    REQUIRE_FALSE(table(document(9, "")).needsKeys());
}

// Guards against a member that is there and cannot be used being taken for one that is not there.
TEST_CASE("Accounts: whatever the list holds no key becomes valid that a sound list does not have")
{
    struct Case
    {
        std::string members;
        KeyVerdict known; /*!< Of a key that some entry has. */
        KeyVerdict unknown;
        bool isNamed; /*!< A problem is reported. */
    };
    constexpr auto kAccepted = KeyVerdict::Accepted;
    constexpr auto kUndecided = KeyVerdict::Undecided;
    constexpr auto kRejected = KeyVerdict::Rejected;
    const std::vector<Case> cases{
            {R"("Tenants":[])", kRejected, kRejected, false},
            {R"("Tenants" : [ ] )", kRejected, kRejected, false},
            {R"("Tenants":null)", kUndecided, kUndecided, true},
            {R"("Tenants":{})", kUndecided, kUndecided, true},
            {R"("Tenants":7)", kUndecided, kUndecided, true},
            {R"("Tenants":false)", kUndecided, kUndecided, true},
            {R"("Tenants":"")", kUndecided, kUndecided, true},
            {R"("Tenants":)", kUndecided, kUndecided, true},
            {R"("Tenants":[] [])", kUndecided, kUndecided, true},
            {R"("Tenants":[null])", kUndecided, kUndecided, true},
            {R"("Tenants":[7,)" + kMill + "]", kAccepted, kUndecided, true},
            {R"("Tenants":[)" + kMill + ",]", kUndecided, kUndecided, true},
            {R"("Tenants":[{"Name":"mill"}])", kRejected, kRejected, false},
            {R"("Tenants":[{"Name":"mill","ApiKeys":[]}])", kRejected, kRejected, false},
            {R"("Tenants":[{"Name":"mill","ApiKeys":null}])", kUndecided, kUndecided, true},
            {R"("Tenants":[{"Name":"mill","ApiKeys":{}}])", kUndecided, kUndecided, true},
            {R"("Tenants":[{"Name":"mill","ApiKeys":"k"}])", kUndecided, kUndecided, true},
            {R"("Tenants":[{"Name":"mill","ApiKeys":["k",7]}])", kUndecided, kUndecided, true},
            {R"("Tenants":[{"Name":"mill","ApiKeys":["k","k"]}])", kAccepted, kRejected, false},
            {R"("Tenants":[{"Name":"mill","ApiKeys":["",""]}])", kRejected, kRejected, true},
            {R"("Tenants":[{"Name":"","ApiKeys":["k"]}])", kUndecided, kUndecided, true},
            {R"("Tenants":[{"ApiKeys":["k"]}])", kUndecided, kUndecided, true},
            {R"("Tenants":[{"Name":"mill","ApiKeys":[],"ApiKeys":["k"]}])", kUndecided, kUndecided,
             true},
            {R"("Tenants":[{"Name":"mill","ApiKeys":["k"],"\u0041piKeys":[]}])", kUndecided,
             kUndecided, true},
            {R"("Tenants":[{"Name":"mill","ApiKeys":["k"],"RatePerS":null}])", kUndecided,
             kRejected, true},
            {R"("Tenants":[)" + kMill + R"(],"Tenants":[])", kUndecided, kUndecided, true},
            {R"("Tenants":[],"Tenants":[)" + kMill + "]", kUndecided, kUndecided, true},
            {R"("T\u0065nants":[])", kRejected, kRejected, false}};
    for (const auto &it : cases) {
        CAPTURE(it.members);
        const auto routing = table(document(9, it.members));
        CHECK(routing.needsKeys());
        CHECK(verdict(routing, "k") == it.known);
        CHECK(verdict(routing, "never held") == it.unknown);
        CHECK(verdict(routing, "") != kAccepted);
        CHECK(verdict(routing, std::nullopt) == kRejected);
        CHECK(verdict(routing, std::nullopt, "/open/") == kAccepted);
        CHECK(routing.problems().empty() != it.isNamed);

        // In force and named in the log, and so is the sound version after it.
        ReplicaOfNode node;
        static_cast<void>(node.list(withAccounts(7, "[" + kMill + "]"), 1));
        const auto events = node.list(document(9, it.members), 2);
        CHECK(node.routing().version() == 9);
        CHECK(has(events, "configuration-entry-unreadable") == it.isNamed);
        static_cast<void>(node.list(withAccounts(11, "[" + kMill + "]"), 3));
        CHECK(node.routing().version() == 11);
        CHECK(verdict(node.routing(), "k") == kAccepted);
        CHECK(verdict(node.routing(), "never held") == kRejected);
    }
}

TEST_CASE("Accounts: an account whose limits cannot be read is refused on open routes as well")
{
    const auto routing
            = table(withAccounts(9, R"([{"Name":"mill","ApiKeys":["k"],"RatePerS":"10"}])"));
    REQUIRE(verdict(routing, "k", "/open/") == KeyVerdict::Undecided);
    REQUIRE(verdict(routing, "other", "/open/") == KeyVerdict::Accepted);
}

// Guards against a peer or a node that starts taking an empty list for none.
TEST_CASE("Accounts: an empty list reaches peers whole and as a delta")
{
    const auto before = withAccounts(7, "[" + kMill + "]");
    const auto after = withAccounts(9, "[]");
    ReplicaOfNode reader;
    ReplicaOfNode peer;
    static_cast<void>(reader.list(before, 1));
    static_cast<void>(peer.list(before, 1));

    SECTION("as a pushed delta")
    {
        const auto [change, base] = reader.replica.asDelta(configuration(after, 2));
        REQUIRE(base == SourcePosition{0, 1});
        const auto whole = peer.replica.fromDelta(change, base);
        REQUIRE(whole);
        static_cast<void>(peer.replica.applyChanges({*whole}, {0, 2}, kNow, kNoRenewal, kNow));
    }
    SECTION("as the state of the reader")
    {
        static_cast<void>(reader.list(after, 2));
        const auto since = peer.replica.position();
        const auto items = peer.replica.restoreItems(
                {reader.replica.position(), since, reader.replica.itemsSince({since, 7, true})});
        REQUIRE(items);
        static_cast<void>(peer.replica.applyList(items.value(), {0, 2}, kNow, kNoRenewal, kNow));
    }
    SECTION("at a node that starts")
    {
        static_cast<void>(reader.list(after, 2));
        ReplicaOfNode started;
        const auto items = started.replica.restoreItems(
                {reader.replica.position(), {}, reader.replica.itemsSince({})});
        REQUIRE(items);
        static_cast<void>(started.replica.applyList(items.value(), {0, 2}, kNow, kNoRenewal, kNow));
        REQUIRE(started.routing().version() == 9);
        REQUIRE(verdict(started.routing(), "k") == KeyVerdict::Rejected);
    }
    if (peer.replica.position() == SourcePosition{0, 2}) {
        REQUIRE(peer.routing().version() == 9);
        REQUIRE(verdict(peer.routing(), "k") == KeyVerdict::Rejected);
        REQUIRE(verdict(peer.routing(), "never held") == KeyVerdict::Rejected);
    }
}

TEST_CASE("Accounts: a store that comes back from a copy with accounts does not bring them back")
{
    ReplicaOfNode node;
    static_cast<void>(node.list(withAccounts(7, "[" + kMill + "]"), 10, 1));
    static_cast<void>(node.list(withAccounts(9, "[]"), 12, 1));
    static_cast<void>(node.list(withAccounts(7, "[" + kMill + "]"), 10, 2));
    REQUIRE(node.routing().version() == 9);
    REQUIRE(verdict(node.routing(), "k") == KeyVerdict::Rejected);
    static_cast<void>(node.list(withAccounts(9, "[]"), 13, 2));
    REQUIRE(verdict(node.routing(), "k") == KeyVerdict::Rejected);
    static_cast<void>(node.list(withAccounts(11, "[" + kMill + "]"), 14, 2));
    REQUIRE(verdict(node.routing(), "k") == KeyVerdict::Accepted);
}

TEST_CASE("Accounts: the log of a version tells an empty list from none")
{
    const auto logged = [](const std::string &value) {
        ReplicaOfNode node;
        std::string text;
        for (const auto &event : node.list(value, 1)) {
            text += event.event + " " + event.detail + "\n";
        }
        return text;
    };
    REQUIRE(logged(document(9, ""))
            == "configuration-accepted keys=not-required accounts=0 known_keys=0 "
               "unknown_keys=no\n");
    REQUIRE(logged(withAccounts(9, "[]"))
            == "no-valid-key only open routes are served\n"
               "configuration-accepted keys=required accounts=0 known_keys=0 unknown_keys=no\n");
    REQUIRE(logged(withAccounts(9, "[" + kMill + "]"))
            == "configuration-accepted keys=required accounts=1 known_keys=1 unknown_keys=no\n");
}
