#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "routing/picker.h"
#include "routing/retry_budget.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

struct Fixture
{
    SnapshotPtr snapshot = testsupport::sampleSnapshot(1, {3, 3, 100.0, 50.0});
    Picker picker{"z0", 1};
    LoadTable loads;
    ZoneRamp zones;
    std::vector<std::string> excluded;
    std::set<std::string> closed;

    Fixture() { zones.onSnapshot(*snapshot, at(0)); }

    std::string pick(std::int64_t now)
    {
        const auto isOpen = [&](const std::string &server) { return closed.count(server) == 0; };
        return picker.pick(*snapshot, "stock", excluded, isOpen, loads, zones, at(now));
    }

    std::map<std::string, int> picks(int count, std::int64_t now)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            ++counts[pick(now)];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("calls stay in their zone and are distributed over its servers")
{
    Fixture fixture;
    const auto counts = fixture.picks(3000, 0);
    REQUIRE(counts.size() == 3);
    for (const auto &[server, count] : counts) {
        REQUIRE(server.rfind("s-z0-", 0) == 0);
        REQUIRE(count > 700);
    }
}

TEST_CASE("calls spill over to another zone when the local servers are full")
{
    Fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.loads.sent("s-z0-" + std::to_string(i));
        fixture.loads.answered("s-z0-" + std::to_string(i), {4, 4, 4}, at(0));
    }
    REQUIRE(fixture.pick(1).rfind("s-z0-", 0) == std::string::npos);
    // The reported load decays, so a server that was busy once is picked again.
    REQUIRE(fixture.pick(5000).rfind("s-z0-", 0) == 0);
}

TEST_CASE("closed or excluded or failing servers are not picked")
{
    Fixture fixture;
    fixture.closed = {"s-z0-0"};
    fixture.excluded = {"s-z0-1"};
    REQUIRE(fixture.picks(100, 0) == std::map<std::string, int>{{"s-z0-2", 100}});
    fixture.loads.sent("s-z0-2");
    fixture.loads.failed("s-z0-2", at(0));
    REQUIRE(fixture.pick(1).rfind("s-z0-", 0) == std::string::npos);
    REQUIRE(fixture.pick(10'000) == "s-z0-2");
}

TEST_CASE("a server is picked even when all servers fail")
{
    Fixture fixture;
    for (const auto &[name, server] : fixture.snapshot->model().servers) {
        fixture.loads.sent(name);
        fixture.loads.failed(name, at(0));
    }
    REQUIRE_FALSE(fixture.pick(1).empty());
    for (const auto &[name, server] : fixture.snapshot->model().servers) {
        fixture.excluded.push_back(name);
    }
    REQUIRE(fixture.pick(1).empty());
}

TEST_CASE("a zone out of service gets no calls and a returning one few at first")
{
    Fixture fixture;
    auto parts = testsupport::sampleParts({3, 3, 100.0, 50.0});
    const auto in = parts["zones"];
    auto &zones = parts["zones"];
    zones.replace(zones.find("\"in\""), 4, "\"out\"");
    const auto out = buildSnapshot(makeDocument(2, parts)).value();
    fixture.snapshot = out;
    fixture.zones.onSnapshot(*out, at(0));
    for (const auto &[server, count] : fixture.picks(500, 1)) {
        REQUIRE(server.rfind("s-z0-", 0) == std::string::npos);
    }
    parts["zones"] = in;
    fixture.snapshot = buildSnapshot(makeDocument(3, parts)).value();
    fixture.zones.onSnapshot(*fixture.snapshot, at(1000));
    const auto localPicksAt = [&](std::int64_t now) {
        int localPicks = 0;
        for (const auto &[server, count] : fixture.picks(1000, now)) {
            localPicks += server.rfind("s-z0-", 0) == 0 ? count : 0;
        }
        return localPicks;
    };
    REQUIRE(localPicksAt(1000) < 200);
    REQUIRE(localPicksAt(3500) > 350);
    REQUIRE(localPicksAt(1000 + kZoneRampTime.count()) == 1000);
}

TEST_CASE("retries are limited to a fraction of first attempts")
{
    RetryBudget budget{0.05, 10.0};
    REQUIRE_FALSE(budget.trySpend("stock"));
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.onFirstAttempt("stock");
        retries += budget.trySpend("stock") ? 1 : 0;
    }
    REQUIRE(retries <= 500);
    REQUIRE(retries >= 490);
    REQUIRE_FALSE(budget.trySpend("orders"));
}
