#include <catch2/catch.hpp>

#include <array>
#include <deque>
#include <set>
#include <tuple>

#include "config/acceptance.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;

/*
 * Every schedule of two nodes and a platform at small size: publications, a platform that turns
 * stale and recovers, reads, pulls between the nodes, a cut between them, restarts. A node that
 * restarts asks the platform and its peer before it serves, as the control duty does. What
 * acceptance does with each offer is taken from the real class.
 */

namespace {

constexpr int kVersions = 3;

/*! Version in force after an offer, by the real acceptance: rows have, columns offered. */
using OfferTable = std::array<std::array<int, kVersions + 1>, kVersions + 1>;

OfferTable tabulate()
{
    OfferTable table{};
    for (int have = 0; have <= kVersions; ++have) {
        for (int offered = 0; offered <= kVersions; ++offered) {
            Acceptance acceptance;
            if (have > 0) {
                static_cast<void>(acceptance.offer(
                        testsupport::sampleDocument(static_cast<std::uint64_t>(have)), at(0)));
            }
            if (offered > 0) {
                static_cast<void>(acceptance.offer(
                        testsupport::sampleDocument(static_cast<std::uint64_t>(offered)), at(1)));
            }
            table[static_cast<std::size_t>(have)][static_cast<std::size_t>(offered)]
                    = static_cast<int>(acceptance.stamp().version);
        }
    }
    return table;
}

struct NodeModel
{
    int inForce = 0;
    bool askedPlatform = false;
    bool askedPeer = false;
    int highestServed = 0; /*!< By any incarnation in this slot. */
    int inReach = 0; /*!< What the peer had at this start, if it stayed up and in reach since. */

    [[nodiscard]] auto key() const
    {
        return std::make_tuple(inForce, askedPlatform, askedPeer, highestServed, inReach);
    }
};

struct World
{
    int published = 1;
    int frozen = 0; /*!< What a stale platform serves; 0 when it is not stale. */
    bool cut = false;
    std::array<NodeModel, 2> nodes;

    [[nodiscard]] int served() const { return frozen == 0 ? published : frozen; }
    [[nodiscard]] auto key() const
    {
        return std::make_tuple(published, frozen, cut, nodes[0].key(), nodes[1].key());
    }
};

struct Findings
{
    std::size_t states = 0;
    int wentBack = 0; /*!< A slot served an older version though a source in reach knew better. */
    int dropped = 0; /*!< A running process lowered its version. */
};

class Search
{
public:
    explicit Search(bool peersFirst) : m_peersFirst{peersFirst} { }

    Findings run()
    {
        visit(World{});
        while (!m_open.empty()) {
            const auto world = m_open.front();
            m_open.pop_front();
            expand(world);
        }
        m_findings.states = m_seen.size();
        return m_findings;
    }

private:
    void visit(const World &world)
    {
        if (m_seen.insert(world.key()).second) {
            m_open.push_back(world);
        }
    }

    void expand(const World &world)
    {
        if (world.published < kVersions) {
            auto next = world;
            ++next.published;
            visit(next);
        }
        // A stale platform may serve any version it ever had, as a replica that lags.
        for (int version = 0; version < world.published; ++version) {
            auto stale = world;
            stale.frozen = version;
            visit(stale);
        }
        auto cut = world;
        cut.cut = !world.cut;
        for (auto &node : cut.nodes) {
            node.inReach = 0;
        }
        visit(cut);
        for (std::size_t i = 0; i < world.nodes.size(); ++i) {
            read(world, i);
            pull(world, i);
            restart(world, i);
        }
    }

    void offer(NodeModel &node, int version)
    {
        const auto before = node.inForce;
        node.inForce = m_table[static_cast<std::size_t>(before)][static_cast<std::size_t>(version)];
        m_findings.dropped += node.inForce < before ? 1 : 0;
    }

    void read(World world, std::size_t i)
    {
        auto &node = world.nodes[i];
        node.askedPlatform = true;
        offer(node, world.served());
        serve(world, i);
    }

    void pull(World world, std::size_t i)
    {
        if (world.cut) {
            return;
        }
        auto &node = world.nodes[i];
        node.askedPeer = true;
        offer(node, world.nodes[1 - i].inForce);
        serve(world, i);
    }

    void restart(World world, std::size_t i)
    {
        auto &node = world.nodes[i];
        auto &peer = world.nodes[1 - i];
        node = NodeModel{0, false, false, node.highestServed, world.cut ? 0 : peer.inForce};
        peer.inReach = 0;
        visit(world);
    }

    void serve(World &world, std::size_t i)
    {
        auto &node = world.nodes[i];
        const bool ready = node.askedPlatform && (node.askedPeer || world.cut || !m_peersFirst);
        if (ready && node.inForce > 0) {
            const bool wentBack = node.inForce < node.highestServed;
            m_findings.wentBack += wentBack && node.inReach >= node.highestServed ? 1 : 0;
            node.highestServed = std::max(node.highestServed, node.inForce);
        }
        visit(world);
    }

    bool m_peersFirst;
    OfferTable m_table = tabulate();
    std::set<decltype(World{}.key())> m_seen;
    std::deque<World> m_open;
    Findings m_findings;
};

} // namespace

TEST_CASE(
        "in every schedule of two nodes and a platform no process lowers its version, and no slot "
        "serves less than it did when a source in reach knew better")
{
    const auto findings = Search{true}.run();
    REQUIRE(findings.states > 1000);
    REQUIRE(findings.dropped == 0);
    REQUIRE(findings.wentBack == 0);
}

TEST_CASE("the same search finds slots that go back when peers are not asked first")
{
    const auto findings = Search{false}.run();
    REQUIRE(findings.dropped == 0);
    REQUIRE(findings.wentBack > 0);
}
