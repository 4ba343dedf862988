#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "routing/picker.h"
#include "routing/retry_budget.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

struct Desk
{
    SnapshotPtr snapshot = testsupport::sampleSnapshot(1, {3, 3, 100.0, 50.0});
    Picker picker{"z0", 1};
    LoadTable loads;
    ZoneRamp zones;
    std::vector<std::string> excluded;
    std::set<std::string> closed;

    Desk() { zones.onSnapshot(*snapshot, at(0)); }

    std::string pick(std::int64_t now)
    {
        const auto isOpen = [&](const std::string &server) { return closed.count(server) == 0; };
        return picker.pick(*snapshot, "stock", excluded, isOpen, loads, zones, at(now));
    }

    std::map<std::string, int> picks(int n, std::int64_t now)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i) {
            ++counts[pick(now)];
        }
        return counts;
    }
};

} // namespace

TEST_CASE("calls stay in their zone and spread over it")
{
    Desk desk;
    const auto counts = desk.picks(3000, 0);
    REQUIRE(counts.size() == 3);
    for (const auto &[server, n] : counts) {
        REQUIRE(server.rfind("s-z0-", 0) == 0);
        REQUIRE(n > 700);
    }
}

TEST_CASE("calls spill when home is full and others are not")
{
    Desk desk;
    for (int i = 0; i < 3; ++i) {
        desk.loads.sent("s-z0-" + std::to_string(i));
        desk.loads.answered("s-z0-" + std::to_string(i), {4, 4, 4}, at(0));
    }
    REQUIRE(desk.pick(1).rfind("s-z0-", 0) == std::string::npos);
    // Old figures fade: nobody is shunned for long for having been busy once.
    REQUIRE(desk.pick(5000).rfind("s-z0-", 0) == 0);
}

TEST_CASE("closed, excluded and failing servers are passed over")
{
    Desk desk;
    desk.closed = {"s-z0-0"};
    desk.excluded = {"s-z0-1"};
    REQUIRE(desk.picks(100, 0) == std::map<std::string, int>{{"s-z0-2", 100}});
    desk.loads.sent("s-z0-2");
    desk.loads.failed("s-z0-2", at(0));
    REQUIRE(desk.pick(1).rfind("s-z0-", 0) == std::string::npos);
    REQUIRE(desk.pick(10'000) == "s-z0-2");
}

TEST_CASE("when every server fails, one is tried all the same")
{
    Desk desk;
    for (const auto &[name, server] : desk.snapshot->model().servers) {
        desk.loads.sent(name);
        desk.loads.failed(name, at(0));
    }
    REQUIRE_FALSE(desk.pick(1).empty());
    for (const auto &[name, server] : desk.snapshot->model().servers) {
        desk.excluded.push_back(name);
    }
    REQUIRE(desk.pick(1).empty());
}

TEST_CASE("a zone out of service gets nothing, a returning one little at first")
{
    Desk desk;
    auto parts = testsupport::sampleParts({3, 3, 100.0, 50.0});
    const auto in = parts["zones"];
    auto &zones = parts["zones"];
    zones.replace(zones.find("\"in\""), 4, "\"out\"");
    const auto out = buildSnapshot(makeDocument(2, parts)).value();
    desk.snapshot = out;
    desk.zones.onSnapshot(*out, at(0));
    for (const auto &[server, n] : desk.picks(500, 1)) {
        REQUIRE(server.rfind("s-z0-", 0) == std::string::npos);
    }
    parts["zones"] = in;
    desk.snapshot = buildSnapshot(makeDocument(3, parts)).value();
    desk.zones.onSnapshot(*desk.snapshot, at(1000));
    const auto homeShare = [&](std::int64_t now) {
        int home = 0;
        for (const auto &[server, n] : desk.picks(1000, now)) {
            home += server.rfind("s-z0-", 0) == 0 ? n : 0;
        }
        return home;
    };
    REQUIRE(homeShare(1000) < 200);
    REQUIRE(homeShare(3500) > 350);
    REQUIRE(homeShare(1000 + kZoneRampTime.count()) == 1000);
}

TEST_CASE("repetitions are a share of first attempts")
{
    RetryBudget budget{0.05, 10.0};
    REQUIRE_FALSE(budget.trySpend("stock"));
    int spent = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.onFirstAttempt("stock");
        spent += budget.trySpend("stock") ? 1 : 0;
    }
    REQUIRE(spent <= 500);
    REQUIRE(spent >= 490);
    REQUIRE_FALSE(budget.trySpend("orders"));
}
