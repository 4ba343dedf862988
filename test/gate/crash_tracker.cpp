#include <catch2/catch.hpp>

#include "gate/crash_tracker.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

namespace {

void applyAll(RumourStore &store, const std::vector<Rumour> &rumours)
{
    for (const auto &rumour : rumours) {
        store.apply(rumour, at(0));
    }
}

} // namespace

TEST_CASE("a request in flight on one crashed server is suspect and on two it is quarantined")
{
    RumourStore store;
    applyAll(store, CrashTracker{"s1"}.onCrash({"poison", "bystander"}, 1));
    REQUIRE(quarantinedDigests(store).empty());
    REQUIRE(suspectDigests(store).size() == 2);
    applyAll(store, CrashTracker{"s2"}.onCrash({"poison"}, 1));
    REQUIRE(quarantinedDigests(store) == std::set<std::string>{"poison"});
    REQUIRE(crashCount(store, "poison") == 2);
}

TEST_CASE("two crashes of the same server do not quarantine")
{
    RumourStore store;
    applyAll(store, CrashTracker{"s1"}.onCrash({"d"}, 1));
    applyAll(store, CrashTracker{"s1"}.onCrash({"d"}, 2));
    REQUIRE(quarantinedDigests(store).empty());
}

TEST_CASE("requests that were answered before are not suspect after a crash")
{
    RumourStore store;
    CrashTracker one{"s1"};
    CrashTracker two{"s2"};
    one.onAnswered("common");
    two.onAnswered("common");
    applyAll(store, one.onCrash({"common", "new"}, 1));
    applyAll(store, two.onCrash({"common"}, 1));
    REQUIRE(quarantinedDigests(store).empty());
    REQUIRE(suspectDigests(store) == std::set<std::string>{"new"});
}

TEST_CASE("a quarantine expires")
{
    RumourStore store;
    applyAll(store, CrashTracker{"s1"}.onCrash({"d"}, 1));
    applyAll(store, CrashTracker{"s2"}.onCrash({"d"}, 1));
    store.expire(at(kCrashRumourTtl.count() - 1));
    REQUIRE(quarantinedDigests(store).size() == 1);
    store.expire(at(kCrashRumourTtl.count()));
    REQUIRE(quarantinedDigests(store).empty());
}
