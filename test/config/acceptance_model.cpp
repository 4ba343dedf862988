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
 * Explores every interleaving of a small model of two nodes and a platform: publications, a
 * platform that serves an old version and recovers, reads from the platform, pulls between the
 * nodes, a partition between the nodes, and restarts. A restarted node asks the platform and its
 * peer before it serves, as the control service of a node does. The result of each offer comes
 * from the real Acceptance class.
 *
 * The test guards against a slot that serves an older version after a restart: a stale platform
 * offers an old version, and the node uses it although its peer has a newer one.
 */

namespace {

constexpr int kVersions = 3;

/*! Version in force after an offer to the real Acceptance, by version in force and version offered.
 */
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

struct NodeState
{
    int inForce = 0;
    bool askedPlatform = false;
    bool askedPeer = false;
    int highestServed = 0; /*!< Highest version served by any incarnation in this slot. */
    /*! Version of the peer when this node started; 0 if the peer has restarted or been partitioned
     * since. */
    int reachablePeerVersion = 0;

    [[nodiscard]] auto key() const
    {
        return std::make_tuple(inForce, askedPlatform, askedPeer, highestServed,
                               reachablePeerVersion);
    }
};

struct SystemState
{
    int published = 1;
    int staleVersion = 0; /*!< Version that a stale platform serves; 0 if it is not stale. */
    bool partitioned = false;
    std::array<NodeState, 2> nodes;

    [[nodiscard]] int served() const { return staleVersion == 0 ? published : staleVersion; }
    [[nodiscard]] auto key() const
    {
        return std::make_tuple(published, staleVersion, partitioned, nodes[0].key(),
                               nodes[1].key());
    }
};

struct SearchResult
{
    std::size_t states = 0;
    int regressions = 0; /*!< Times a slot served an older version although its reachable peer had a
                            newer one. */
    int downgrades = 0; /*!< Times a running process lowered its version. */
};

class StateSearch
{
public:
    explicit StateSearch(bool askPeerFirst) : m_askPeerFirst{askPeerFirst} { }

    SearchResult run()
    {
        visit(SystemState{});
        while (!m_frontier.empty()) {
            const auto state = m_frontier.front();
            m_frontier.pop_front();
            expand(state);
        }
        m_result.states = m_visited.size();
        return m_result;
    }

private:
    void visit(const SystemState &state)
    {
        if (m_visited.insert(state.key()).second) {
            m_frontier.push_back(state);
        }
    }

    void expand(const SystemState &state)
    {
        if (state.published < kVersions) {
            auto next = state;
            ++next.published;
            visit(next);
        }
        // A stale platform may serve any earlier version, like a lagging replica.
        for (int version = 0; version < state.published; ++version) {
            auto stale = state;
            stale.staleVersion = version;
            visit(stale);
        }
        auto toggled = state;
        toggled.partitioned = !state.partitioned;
        for (auto &node : toggled.nodes) {
            node.reachablePeerVersion = 0;
        }
        visit(toggled);
        for (std::size_t i = 0; i < state.nodes.size(); ++i) {
            read(state, i);
            pull(state, i);
            restart(state, i);
        }
    }

    void offer(NodeState &node, int version)
    {
        const auto before = node.inForce;
        node.inForce = m_table[static_cast<std::size_t>(before)][static_cast<std::size_t>(version)];
        m_result.downgrades += node.inForce < before ? 1 : 0;
    }

    void read(SystemState state, std::size_t i)
    {
        auto &node = state.nodes[i];
        node.askedPlatform = true;
        offer(node, state.served());
        serve(state, i);
    }

    void pull(SystemState state, std::size_t i)
    {
        if (state.partitioned) {
            return;
        }
        auto &node = state.nodes[i];
        node.askedPeer = true;
        offer(node, state.nodes[1 - i].inForce);
        serve(state, i);
    }

    void restart(SystemState state, std::size_t i)
    {
        auto &node = state.nodes[i];
        auto &peer = state.nodes[1 - i];
        node = NodeState{0, false, false, node.highestServed, state.partitioned ? 0 : peer.inForce};
        peer.reachablePeerVersion = 0;
        visit(state);
    }

    void serve(SystemState &state, std::size_t i)
    {
        auto &node = state.nodes[i];
        const bool ready
                = node.askedPlatform && (node.askedPeer || state.partitioned || !m_askPeerFirst);
        if (ready && node.inForce > 0) {
            const bool isOlder = node.inForce < node.highestServed;
            m_result.regressions
                    += isOlder && node.reachablePeerVersion >= node.highestServed ? 1 : 0;
            node.highestServed = std::max(node.highestServed, node.inForce);
        }
        visit(state);
    }

    bool m_askPeerFirst;
    OfferTable m_table = tabulate();
    std::set<decltype(SystemState{}.key())> m_visited;
    std::deque<SystemState> m_frontier;
    SearchResult m_result;
};

} // namespace

TEST_CASE("in every interleaving of two nodes and a platform no process lowers its version and no "
          "slot "
          "serves an older version than before while its reachable peer has a newer one")
{
    const auto result = StateSearch{true}.run();
    REQUIRE(result.states > 1000);
    REQUIRE(result.downgrades == 0);
    REQUIRE(result.regressions == 0);
}

TEST_CASE("the same search finds slots that serve an older version if peers are not asked first")
{
    const auto result = StateSearch{false}.run();
    REQUIRE(result.downgrades == 0);
    REQUIRE(result.regressions > 0);
}
