#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

#include "membership/topology.h"
#include "support/sample_config.h"

using namespace celeryramp;

namespace {

Topology topologyOf(int servers)
{
    return Topology{*testsupport::sampleSnapshot(1, {2, servers, 100.0, 50.0})};
}

/*! Returns the servers that an announcement from the root reaches. Raises `maxChildren` to the
 *  largest number of children of any of them. */
std::set<std::string> reachedServers(const Topology &topology, const std::string &root,
                                     const IsUsable &isUsable, int &maxChildren)
{
    std::set<std::string> reached{root};
    std::vector<std::string> pending{root};
    while (!pending.empty()) {
        const auto server = pending.back();
        pending.pop_back();
        const auto children = topology.children(root, server, isUsable);
        maxChildren = std::max(maxChildren, static_cast<int>(children.size()));
        for (const auto &child : children) {
            REQUIRE(reached.insert(child).second); // no server is reached twice
            pending.push_back(child);
        }
    }
    return reached;
}

} // namespace

TEST_CASE("a tree from any root reaches its whole zone once with at most four children each")
{
    const auto topology = topologyOf(37);
    const auto usable = [](const std::string &) { return true; };
    for (const auto &root : topology.ring("z0")) {
        int maxChildren = 0;
        REQUIRE(reachedServers(topology, root, usable, maxChildren).size() == 37);
        REQUIRE(maxChildren <= 4);
    }
}

TEST_CASE("children of unusable members are attached to the nearest usable ancestor")
{
    REQUIRE(rc::check("any set of members down", [] {
        const auto topology = topologyOf(23);
        const auto down = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 23));
        const auto ring = topology.ring("z0");
        const auto isDown = [&](const std::string &server) {
            const auto it = std::find(ring.begin(), ring.end(), server);
            return down.count(static_cast<int>(it - ring.begin())) > 0;
        };
        RC_PRE(down.size() < 23U);
        std::string root;
        for (const auto &server : ring) {
            root = isDown(server) ? root : server;
        }
        int maxChildren = 0;
        const auto usable = [&](const std::string &server) { return !isDown(server); };
        RC_ASSERT(reachedServers(topology, root, usable, maxChildren).size() == 23U - down.size());
    }));
}

TEST_CASE("the platform readers are the first usable members of the ring")
{
    const auto topology = topologyOf(5);
    const auto all = topology.readers("z0", [](const std::string &) { return true; });
    REQUIRE(all.size() == 2);
    const auto rest = topology.readers("z0", [&](const std::string &s) { return s != all[0]; });
    REQUIRE(rest[0] == all[1]);
    REQUIRE(topology.readers("nowhere", [](const std::string &) { return true; }).empty());
}
