/*! @file
 *  Cost of single decisions and its growth with the size of the configuration.
 */

#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>

#include "config/acceptance.h"
#include "config/parse.h"
#include "core/hash.h"
#include "gate/gate.h"
#include "gate/ledger_home.h"
#include "gate/ledger_homes.h"
#include "limits/minter.h"
#include "limits/token_cache.h"
#include "membership/topology.h"
#include "routing/picker.h"
#include "wire/codec.h"

namespace {

using namespace celeryramp;
using nlohmann::json;

constexpr int kZones = 6;

/*! A configuration of so many servers in 120 services (fewer when there are fewer servers). */
ConfigDocument documentOf(int servers, int accounts)
{
    json zones = json::object();
    json serverPart = json::object();
    json services = json::object();
    json routes = json::array();
    for (int z = 0; z < kZones; ++z) {
        zones["zone-" + std::to_string(z)] = {{"region", z < 3 ? "r1" : "r2"}, {"status", "in"}};
    }
    const auto kinds = std::min(120, std::max(1, servers / 12));
    for (int s = 0; s < kinds; ++s) {
        const auto name = "service-" + std::to_string(s);
        services[name] = json::object();
        routes.push_back(
                {{"path", "/" + name}, {"service", name}, {"class", "c"}, {"access", "account"}});
    }
    for (int i = 0; i < servers; ++i) {
        const auto node = "10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1);
        serverPart["server-" + std::to_string(i)]
                = {{"service", "service-" + std::to_string(i % kinds)},
                   {"zone", "zone-" + std::to_string(i / kinds % kZones)},
                   {"node", node + ":7000"},
                   {"operator", node + ":7001"},
                   {"slots", 12}};
    }
    json accountPart = json::object();
    json keys = json::object();
    for (int i = 0; i < accounts; ++i) {
        const auto name = "account-" + std::to_string(i);
        accountPart[name] = {{"rate", 100.0}, {"burst", 100.0}};
        keys["k" + std::to_string(i)]
                = {{"account", name}, {"salt", "00"}, {"hash", sha256Hex("00secret")}};
    }
    return makeDocument(1,
                        {{"zones", json{{"zones", zones}}.dump()},
                         {"services",
                          json{{"services", services},
                               {"routes", routes},
                               {"classes",
                                {{"c",
                                  {{"latency_ms", 50},
                                   {"success", 0.99},
                                   {"repeat", "idempotent"},
                                   {"deadline_ms", 500}}}}}}
                                  .dump()},
                         {"accounts", json{{"accounts", accountPart}}.dump()},
                         {"keys", json{{"keys", keys}}.dump()},
                         {"servers", json{{"servers", serverPart}}.dump()}});
}

SnapshotPtr snapshotOf(int servers, int accounts)
{
    return buildSnapshot(documentOf(servers, accounts)).value();
}

void buildWholeSnapshot(benchmark::State &state)
{
    const auto document = documentOf(static_cast<int>(state.range(0)), 1000);
    for (auto _ : state) {
        benchmark::DoNotOptimize(buildSnapshot(document));
    }
}
BENCHMARK(buildWholeSnapshot)->Arg(12)->Arg(350)->Arg(1400)->Unit(benchmark::kMillisecond);

void checkKey(benchmark::State &state)
{
    const auto snapshot = snapshotOf(12, static_cast<int>(state.range(0)));
    for (auto _ : state) {
        benchmark::DoNotOptimize(snapshot->findAccountByKey("k1.secret"));
    }
}
BENCHMARK(checkKey)->Arg(8)->Arg(1000);

void findRoute(benchmark::State &state)
{
    const auto snapshot = snapshotOf(static_cast<int>(state.range(0)), 8);
    for (auto _ : state) {
        benchmark::DoNotOptimize(snapshot->findRoute("/service-0/items/42?x=1"));
    }
}
BENCHMARK(findRoute)->Arg(12)->Arg(1400);

void pickServer(benchmark::State &state)
{
    const auto snapshot = snapshotOf(static_cast<int>(state.range(0)), 8);
    Picker picker{"zone-0", 1};
    LoadTable loads;
    ZoneRamp zones;
    const auto now = Clock::now();
    zones.onSnapshot(*snapshot, now);
    const auto isOpen = [](const std::string &) { return true; };
    for (auto _ : state) {
        benchmark::DoNotOptimize(
                picker.pick(*snapshot, "service-0", {}, isOpen, loads, zones, now));
    }
}
BENCHMARK(pickServer)->Arg(12)->Arg(350)->Arg(1400);

void admitFromPurse(benchmark::State &state)
{
    const auto snapshot = snapshotOf(1400, static_cast<int>(state.range(0)));
    TokenCache tokenCache{"zone-0"};
    auto now = Clock::now();
    tokenCache.onSnapshot(snapshot, now);
    const auto &account = *snapshot->findAccount("account-1");
    std::vector<std::string> tried;
    for (auto _ : state) {
        tried.clear();
        now += Micros{1};
        auto result = tokenCache.admit(account, tried, now);
        if (result.request) {
            tokenCache.onGrant(result.request->id, {result.request->amount, 0, Millis{500}}, now);
        }
    }
}
BENCHMARK(admitFromPurse)->Arg(8)->Arg(1000);

void mintShares(benchmark::State &state)
{
    const auto snapshot = snapshotOf(static_cast<int>(state.range(0)), 1000);
    const auto now = Clock::now();
    for (auto _ : state) {
        Minter minter{"server-0"};
        minter.onSnapshot(snapshot, now);
        benchmark::DoNotOptimize(minter.size());
    }
}
BENCHMARK(mintShares)->Arg(12)->Arg(350)->Arg(1400)->Unit(benchmark::kMillisecond);

void gateOfferAndRun(benchmark::State &state)
{
    const auto snapshot = snapshotOf(1400, 8);
    Gate gate{"server-0", 12, 256};
    const std::set<std::string> quarantined;
    const GateInputs inputs{snapshot.get(), false, &quarantined, 0};
    const auto now = Clock::now();
    QueuedCall call;
    call.call.service = "service-0";
    call.call.mayQueue = true;
    call.deadline = now + Millis{1000};
    std::vector<Refusal> refusals;
    for (auto _ : state) {
        benchmark::DoNotOptimize(gate.offer(call, inputs, now));
        const auto next = gate.next(inputs, now, refusals);
        benchmark::DoNotOptimize(next);
        gate.finished(Evidence::InTarget, Micros{1000}, 0, now);
    }
}
BENCHMARK(gateOfferAndRun);

void ledgerVote(benchmark::State &state)
{
    const auto snapshot = snapshotOf(static_cast<int>(state.range(0)), 8);
    const auto now = Clock::now();
    LedgerHome home{ledgerHomes(*snapshot, "a/k").front(), {Millis{300'000}, true}, now};
    home.onSnapshot(snapshot, now);
    std::uint64_t i = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(
                home.onReserve({++i, "a/" + std::to_string(i % 10'000), "d", "t"}, now));
    }
}
BENCHMARK(ledgerVote)->Arg(12)->Arg(350)->Arg(1400);

void encodeAndDecodeCall(benchmark::State &state)
{
    CallMessage call;
    call.request = randomHex(12);
    call.service = "service-0";
    call.account = "account-1";
    call.target = "/service-0/items/42";
    call.headers = {{"Accept", "application/json"}, {"User-Agent", "bench"}};
    call.body.data.assign(200, 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(decode(encode(call)));
    }
}
BENCHMARK(encodeAndDecodeCall);

void buildTopology(benchmark::State &state)
{
    const auto snapshot = snapshotOf(static_cast<int>(state.range(0)), 8);
    for (auto _ : state) {
        benchmark::DoNotOptimize(Topology{*snapshot});
    }
}
BENCHMARK(buildTopology)->Arg(12)->Arg(350)->Arg(1400)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
