#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>
#include <map>

#include "distribution/distributor.h"
#include "support/sample_config.h"

using namespace celeryramp;
using testsupport::at;
using testsupport::sampleDocument;

namespace {

const testsupport::SampleShape kShape{2, 6, 100.0, 50.0};

/*! Distributors connected by a message queue whose messages a test delivers, drops or delays. */
class SimulatedNetwork
{
public:
    explicit SimulatedNetwork(const testsupport::SampleShape &shape = kShape)
    {
        const auto snapshot = testsupport::sampleSnapshot(1, shape);
        for (const auto &[name, server] : snapshot->model().servers) {
            m_nodes.emplace(name, Distributor{name, server.zone, 1});
            m_zones[name] = server.zone;
        }
    }

    Distributor &node(const std::string &name) { return m_nodes.at(name); }
    std::map<std::string, Distributor> &nodes() { return m_nodes; }

    void restart(const std::string &name)
    {
        m_nodes.at(name) = Distributor{name, m_zones[name], 1000 + ++m_restarts};
    }

    void collect(const std::string &from, Outbox &out)
    {
        for (auto &[to, message] : out.takeAll()) {
            m_queue.push_back({from, to, std::move(message)});
        }
    }

    [[nodiscard]] std::size_t queuedCount() const { return m_queue.size(); }
    void drop(std::size_t i) { m_queue.erase(m_queue.begin() + std::ptrdiff_t(i)); }

    void deliver(std::size_t i, TimePoint now)
    {
        const auto queued = m_queue[i];
        drop(i);
        Outbox out;
        auto &node = m_nodes.at(queued.to);
        if (const auto *announce = std::get_if<AnnounceMessage>(&queued.message)) {
            node.onAnnounce(queued.from, *announce, m_usable, now, out);
        } else if (const auto *pull = std::get_if<PullMessage>(&queued.message)) {
            node.onPull(queued.from, *pull, now, out);
        } else if (const auto *document = std::get_if<DocumentMessage>(&queued.message)) {
            node.onDocument(queued.from, *document, m_usable, now, out);
        }
        collect(queued.to, out);
    }

    void deliverAll(TimePoint now)
    {
        while (queuedCount() > 0) {
            deliver(0, now);
        }
    }

    void publish(const std::string &reader, const ConfigDocument &document, TimePoint now)
    {
        Outbox out;
        node(reader).onPlatformDocument(document, now, m_usable, now, out);
        collect(reader, out);
    }

    /*! Sends a heartbeat from each node to its three successors and to the first reader of each
     * zone, then calls tick() on the node. */
    void exchangeHeartbeats(TimePoint now)
    {
        const Topology topology{*testsupport::sampleSnapshot(1, kShape)};
        for (auto &[name, distributor] : m_nodes) {
            auto targets = topology.successors(name, 3, m_usable);
            for (const auto &zone : topology.zones()) {
                targets.push_back(topology.readers(zone, m_usable).front());
            }
            const auto &stamp = distributor.acceptance().stamp();
            for (const auto &target : targets) {
                Outbox out;
                m_nodes.at(target).onHeartbeat({name, 1, stamp.version, stamp.digest, 0}, now, out);
                collect(target, out);
            }
            Outbox out;
            distributor.tick(ReaderRole::None, m_usable, now, out);
            collect(name, out);
        }
    }

    [[nodiscard]] bool allAt(std::uint64_t version) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &entry) {
            return entry.second.acceptance().stamp().version == version;
        });
    }

private:
    struct QueuedMessage
    {
        std::string from;
        std::string to;
        Message message;
    };

    IsUsable m_usable = [](const std::string &) { return true; };
    std::map<std::string, Distributor> m_nodes;
    std::map<std::string, std::string> m_zones;
    std::deque<QueuedMessage> m_queue;
    std::uint64_t m_restarts = 0;
};

std::string readerOf(const std::string &zone)
{
    const Topology topology{*testsupport::sampleSnapshot(1, kShape)};
    return topology.readers(zone, [](const std::string &) { return true; }).front();
}

void publishToAll(SimulatedNetwork &network, std::uint64_t version,
                  const testsupport::SampleShape &shape = kShape)
{
    const auto document = sampleDocument(version, shape);
    for (auto &[name, node] : network.nodes()) {
        network.publish(name, document, at(0));
    }
    network.deliverAll(at(0));
}

} // namespace

TEST_CASE("a version published by one reader reaches every node of every zone as a delta")
{
    SimulatedNetwork network;
    publishToAll(network, 1);
    network.publish(readerOf("z0"), sampleDocument(2, kShape), at(10));
    network.deliverAll(at(10));
    REQUIRE(network.allAt(2));
    std::uint64_t fullDocuments = 0;
    std::uint64_t deltas = 0;
    for (const auto &[name, node] : network.nodes()) {
        fullDocuments += node.counters().fullDocumentsSent;
        deltas += node.counters().deltasSent;
    }
    REQUIRE(fullDocuments == 0);
    REQUIRE(deltas == network.nodes().size() - 1);
}

TEST_CASE("a version from two readers reaches all nodes without heartbeats in any delivery order")
{
    REQUIRE(rc::check("delivery orders", [] {
        const testsupport::SampleShape large{1, 40, 100.0, 50.0};
        SimulatedNetwork network{large};
        publishToAll(network, 1, large);
        const Topology topology{*testsupport::sampleSnapshot(1, large)};
        const auto all = [](const std::string &) { return true; };
        for (const auto &reader : topology.readers("z0", all)) {
            network.publish(reader, sampleDocument(2, large), at(10));
        }
        const auto choices = *rc::gen::container<std::vector<std::size_t>>(
                400, rc::gen::inRange<std::size_t>(0, 1000));
        for (const auto choice : choices) {
            if (network.queuedCount() > 0) {
                network.deliver(choice % network.queuedCount(), at(10));
            }
        }
        network.deliverAll(at(10));
        RC_ASSERT(network.allAt(2));
    }));
}

TEST_CASE("a node that starts without a configuration pulls the full document from a peer")
{
    SimulatedNetwork network;
    publishToAll(network, 3);
    const auto name = network.nodes().begin()->first;
    network.restart(name);
    Outbox out;
    network.node(name).pullFrom(readerOf("z1"), at(10), out);
    network.collect(name, out);
    network.deliverAll(at(10));
    REQUIRE(network.allAt(3));
}

TEST_CASE("an unanswered pull is sent to the next announcing peer")
{
    SimulatedNetwork network;
    publishToAll(network, 1);
    SimulatedNetwork aheadNetwork;
    publishToAll(aheadNetwork, 2);
    const auto stamp = aheadNetwork.nodes().begin()->second.acceptance().stamp();
    auto &node = network.nodes().begin()->second;
    const auto usable = [](const std::string &) { return true; };
    Outbox out;
    node.onAnnounce("first", {stamp.version, stamp.digest, "", 0, 0}, usable, at(0), out);
    node.onAnnounce("second", {stamp.version, stamp.digest, "", 0, 0}, usable, at(1), out);
    REQUIRE(out.takeAll().size() == 1);
    node.tick(ReaderRole::None, usable, at(kPullTimeout.count()), out);
    const auto items = out.takeAll();
    REQUIRE(items.size() == 1);
    REQUIRE(items.front().first == "second");
}

TEST_CASE("every fifth confirmation of the first reader goes to other zones and a change goes at "
          "once")
{
    SimulatedNetwork network;
    publishToAll(network, 1);
    const auto usable = [](const std::string &) { return true; };
    auto &first = network.node(readerOf("z0"));
    const auto crossZoneAnnouncements = [&](ReaderRole role, int confirmations) {
        int crossZoneCount = 0;
        for (int i = 0; i < confirmations; ++i) {
            Outbox out;
            static std::int64_t now = 0;
            now += kConfirmInterval.count();
            first.tick(role, usable, at(now), out);
            for (const auto &[to, message] : out.takeAll()) {
                crossZoneCount += first.topology().zoneOf(to) == "z1" ? 1 : 0;
            }
        }
        return crossZoneCount;
    };
    REQUIRE(crossZoneAnnouncements(ReaderRole::First, 10) == 2);
    REQUIRE(crossZoneAnnouncements(ReaderRole::Reader, 10) == 0);
    Outbox out;
    first.onPlatformDocument(sampleDocument(2, kShape), at(0), usable, at(0), out);
    int crossZoneCount = 0;
    for (const auto &[to, message] : out.takeAll()) {
        crossZoneCount += first.topology().zoneOf(to) == "z1" ? 1 : 0;
    }
    REQUIRE(crossZoneCount == 1);
}

TEST_CASE("a rejected version is not pulled again and reaches no other node")
{
    SimulatedNetwork network;
    publishToAll(network, 1);
    auto bad = sampleDocument(2, kShape);
    bad.parts["zones"] = "{";
    network.publish(readerOf("z0"), bad, at(1));
    network.deliverAll(at(1));
    network.exchangeHeartbeats(at(2));
    network.deliverAll(at(2));
    REQUIRE(network.allAt(1));
    REQUIRE(network.node(readerOf("z0")).acceptance().rejections().size() == 1);
}

TEST_CASE("versions never decrease with lost messages and restarts and heartbeats bring all nodes "
          "up to date")
{
    REQUIRE(rc::check("lossy delivery", [] {
        SimulatedNetwork network;
        publishToAll(network, 1);
        std::vector<std::string> names;
        for (const auto &[name, node] : network.nodes()) {
            names.push_back(name);
        }
        std::map<std::string, std::uint64_t> lastVersions;
        std::uint64_t version = 1;
        std::int64_t now = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const auto step : steps) {
            now += 50;
            if (step < 8) {
                const auto reader = step % 2 == 0 ? readerOf("z0") : readerOf("z1");
                network.publish(reader, sampleDocument(++version, kShape), at(now));
            } else if (step < 12) {
                const auto &name = names[static_cast<std::size_t>(step) % names.size()];
                network.restart(name);
                // A new process serves no requests before it has asked its peers.
                lastVersions[name] = 0;
            } else if (step < 20) {
                network.exchangeHeartbeats(at(now));
            } else if (network.queuedCount() > 0) {
                const auto i = static_cast<std::size_t>(step) * 7 % network.queuedCount();
                step % 4 == 0 ? network.drop(i) : network.deliver(i, at(now));
            }
            for (const auto &[name, node] : network.nodes()) {
                RC_ASSERT(node.acceptance().stamp().version >= lastVersions[name]);
                lastVersions[name] = node.acceptance().stamp().version;
            }
        }
        // A reader publishes the current version; ten heartbeat rounds repair the other nodes.
        network.publish(readerOf("z0"), sampleDocument(version, kShape), at(now));
        for (int round = 0; round < 10; ++round) {
            now += 2000;
            network.deliverAll(at(now));
            network.exchangeHeartbeats(at(now));
        }
        network.deliverAll(at(now));
        RC_ASSERT(network.allAt(version));
    }));
}
