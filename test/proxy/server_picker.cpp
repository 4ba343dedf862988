#include "proxy/server_picker.h"

#include <map>
#include <vector>

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::proxy;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
const PickRequirements kRequirements{Millis{500}, true};

directory::BackendServer server(const char *id, int slots = 10)
{
    directory::BackendServer it;
    it.id = id;
    it.slots = slots;
    return it;
}

} // namespace

TEST_CASE("The local zone is preferred")
{
    const auto near = server("near");
    const auto far = server("far");
    const std::vector<Candidate> candidates{{&far, false, false}, {&near, true, false}};
    ServerPicker picker{1};
    for (int i = 0; i < 20; ++i) {
        REQUIRE(picker.pick(candidates, kRequirements, kStart).server->id == "near");
    }
    REQUIRE(picker.pick({candidates.data(), 1}, kRequirements, kStart).server->id == "far");
    REQUIRE(picker.pick({}, kRequirements, kStart).server == nullptr);
}

TEST_CASE("Pattern: a partly failing server gets fewer calls until it has recovered")
{
    const auto good = server("good");
    const auto bad = server("bad");
    const std::vector<Candidate> candidates{{&good, true, false}, {&bad, true, false}};
    ServerPicker picker{1};
    const GateLoad load{1, 0, 10, 100, -1, 0};
    std::map<std::string, int> counts;
    RandomEngine outcomes{3};
    auto now = kStart;
    for (int i = 0; i < 300; ++i) {
        now += Millis{10};
        const auto id = picker.pick(candidates, kRequirements, now).server->id;
        ++counts[id];
        picker.onSent(id);
        picker.onReply(id, load, id == "good" || outcomes.unit() < 0.5, now);
    }
    REQUIRE(counts["bad"] < counts["good"] / 4);
    counts.clear();
    for (int i = 0; i < 2000; ++i) {
        now += Millis{10};
        const auto id = picker.pick(candidates, kRequirements, now).server->id;
        ++counts[id];
        picker.onSent(id);
        picker.onReply(id, load, true, now);
    }
    REQUIRE(counts["bad"] > 300);
}

TEST_CASE("Pattern: servers with unequal slots - a small server is not overloaded")
{
    const auto big = server("big", 30);
    const auto small = server("small", 5);
    const std::vector<Candidate> candidates{{&big, true, false}, {&small, true, false}};
    ServerPicker picker{1};
    std::map<std::string, int> inFlight;
    for (int i = 0; i < 30; ++i) {
        const auto id = picker.pick(candidates, kRequirements, kStart).server->id;
        picker.onSent(id);
        ++inFlight[id];
    }
    REQUIRE(inFlight["small"] <= 5);
}

TEST_CASE("Pattern: servers of unequal speed - the faster one is preferred until it is full")
{
    const auto fast = server("fast", 16);
    const auto slow = server("slow", 16);
    const std::vector<Candidate> candidates{{&fast, true, false}, {&slow, true, false}};
    ServerPicker picker{1};
    const auto report = [&picker](const char *id, int running, int millis) {
        picker.onSent(id);
        picker.onReply(id, {running, 0, 16, millis, -1, 0}, true, kStart);
    };
    report("fast", 6, 140);
    report("slow", 2, 420);
    for (int i = 0; i < 20; ++i) {
        REQUIRE(picker.pick(candidates, kRequirements, kStart).server->id == "fast");
    }
    report("fast", 60, 140);
    for (int i = 0; i < 20; ++i) {
        REQUIRE(picker.pick(candidates, kRequirements, kStart).server->id == "slow");
    }
}

TEST_CASE("Pattern: the only server of a zone is overloaded - calls spill to another zone")
{
    const auto near = server("near", 16);
    const auto far = server("far", 16);
    const std::vector<Candidate> candidates{{&near, true, false}, {&far, false, false}};
    ServerPicker picker{1};
    const auto report = [&picker](const char *id, int running) {
        picker.onSent(id);
        picker.onReply(id, {running, 0, 16, 150, -1, 0}, true, kStart);
    };
    report("near", 15);
    report("far", 4);
    // A nearly full server still meets the target, so the call does not spill.
    REQUIRE(picker.pick(candidates, kRequirements, kStart).server->id == "near");
    report("near", 70);
    REQUIRE(picker.pick(candidates, kRequirements, kStart).server->id == "far");
    // A call that may not spill stays in the zone.
    REQUIRE(picker.pick(candidates, {Millis{500}, false}, kStart).server->id == "near");
    // With enough time left, the local server still meets the target.
    REQUIRE(picker.pick(candidates, {Millis{5000}, true}, kStart).server->id == "near");
}

TEST_CASE("Pattern: the servers of a zone fail partly - healthy ones elsewhere are found")
{
    std::vector<directory::BackendServer> servers;
    for (const char *id : {"grey-1", "grey-2", "grey-3", "grey-4", "sound"}) {
        servers.push_back(server(id));
    }
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        candidates.push_back({&servers[i], i < 4, false});
    }
    ServerPicker picker{1};
    for (const auto &it : servers) {
        picker.onSent(it.id);
        picker.onReply(it.id, {1, 0, 10, 50, -1, it.id == "sound" ? 0 : 50}, true, kStart);
    }
    for (int i = 0; i < 20; ++i) {
        REQUIRE(picker.pick(candidates, kRequirements, kStart).server->id == "sound");
    }
    // All servers fail alike, so the call stays in the local zone.
    picker.onSent("sound");
    picker.onReply("sound", {1, 0, 10, 50, -1, 50}, true, kStart);
    int near = 0;
    for (int i = 0; i < 20; ++i) {
        near += picker.pick(candidates, kRequirements, kStart).server->id == "sound" ? 0 : 1;
    }
    REQUIRE(near == 20);
}

TEST_CASE("A call cancelled by its caller does not count against the server")
{
    const auto one = server("one");
    const auto other = server("other");
    const std::vector<Candidate> candidates{{&one, true, false}, {&other, true, false}};
    ServerPicker picker{1};
    for (int i = 0; i < 20; ++i) {
        picker.onSent("one");
        picker.onAbandoned("one");
    }
    int chosen = 0;
    for (int i = 0; i < 100; ++i) {
        chosen += picker.pick(candidates, kRequirements, kStart).server->id == "one" ? 1 : 0;
    }
    REQUIRE(chosen > 20);
}

TEST_CASE("Pattern: downloads from a server on a slow link - other servers are preferred for them")
{
    ServerPicker picker{7};
    const directory::BackendServer slow = [] {
        directory::BackendServer it;
        it.id = "slow";
        it.slots = 10;
        return it;
    }();
    auto fast = slow;
    fast.id = "fast";
    const std::vector<Candidate> candidates{{&slow, true, false}, {&fast, true, false}};
    const TimePoint now{std::chrono::hours{1}};
    for (const auto *id : {"slow", "fast"}) {
        picker.onSent(id);
        picker.onReply(id, {1, 0, 10, 100, -1, 0}, true, now);
        for (int i = 0; i < 10; ++i) {
            picker.onDelivered(id, 100'000, Millis{std::string{id} == "slow" ? 800 : 20}, now);
        }
    }
    for (int i = 0; i < 6; ++i) {
        picker.onSent("fast"); // it is busier
    }
    for (int i = 0; i < 50; ++i) {
        REQUIRE(picker.pick(candidates, {Millis{500}, true, 100'000}, now).server->id == "fast");
        REQUIRE(picker.pick(candidates, {Millis{500}, true, 500}, now).server->id == "slow");
    }
}
