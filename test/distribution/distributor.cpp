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

/*! Distributors joined by messages that a test delivers, loses or holds back. */
class Mail
{
public:
    explicit Mail(const testsupport::SampleShape &shape = kShape)
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
        for (auto &[to, message] : out.take()) {
            m_letters.push_back({from, to, std::move(message)});
        }
    }

    [[nodiscard]] std::size_t waiting() const { return m_letters.size(); }
    void lose(std::size_t i) { m_letters.erase(m_letters.begin() + std::ptrdiff_t(i)); }

    void deliver(std::size_t i, TimePoint now)
    {
        const auto letter = m_letters[i];
        lose(i);
        Outbox out;
        auto &node = m_nodes.at(letter.to);
        if (const auto *announce = std::get_if<AnnounceMessage>(&letter.message)) {
            node.onAnnounce(letter.from, *announce, m_usable, now, out);
        } else if (const auto *pull = std::get_if<PullMessage>(&letter.message)) {
            node.onPull(letter.from, *pull, now, out);
        } else if (const auto *document = std::get_if<DocumentMessage>(&letter.message)) {
            node.onDocument(letter.from, *document, m_usable, now, out);
        }
        collect(letter.to, out);
    }

    void deliverAll(TimePoint now)
    {
        while (waiting() > 0) {
            deliver(0, now);
        }
    }

    void platform(const std::string &reader, const ConfigDocument &document, TimePoint now)
    {
        Outbox out;
        node(reader).onPlatformDocument(document, m_usable, now, out);
        collect(reader, out);
    }

    /*! One round of heartbeats of everybody to the three successors, and across zones. */
    void heartbeats(TimePoint now)
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
    struct Letter
    {
        std::string from;
        std::string to;
        Message message;
    };

    IsUsable m_usable = [](const std::string &) { return true; };
    std::map<std::string, Distributor> m_nodes;
    std::map<std::string, std::string> m_zones;
    std::deque<Letter> m_letters;
    std::uint64_t m_restarts = 0;
};

std::string readerOf(const std::string &zone)
{
    const Topology topology{*testsupport::sampleSnapshot(1, kShape)};
    return topology.readers(zone, [](const std::string &) { return true; }).front();
}

void giveAll(Mail &mail, std::uint64_t version, const testsupport::SampleShape &shape = kShape)
{
    const auto document = sampleDocument(version, shape);
    for (auto &[name, node] : mail.nodes()) {
        mail.platform(name, document, at(0));
    }
    mail.deliverAll(at(0));
}

} // namespace

TEST_CASE("one reader's version reaches every node of every zone, by deltas")
{
    Mail mail;
    giveAll(mail, 1);
    mail.platform(readerOf("z0"), sampleDocument(2, kShape), at(10));
    mail.deliverAll(at(10));
    REQUIRE(mail.allAt(2));
    std::uint64_t wholes = 0;
    std::uint64_t deltas = 0;
    for (const auto &[name, node] : mail.nodes()) {
        wholes += node.counters().wholesSent;
        deltas += node.counters().deltasSent;
    }
    REQUIRE(wholes == 0);
    REQUIRE(deltas == mail.nodes().size() - 1);
}

TEST_CASE("two readers at once reach every node in any order of delivery, without heartbeats")
{
    REQUIRE(rc::check("orders of delivery", [] {
        const testsupport::SampleShape large{1, 40, 100.0, 50.0};
        Mail mail{large};
        giveAll(mail, 1, large);
        const Topology topology{*testsupport::sampleSnapshot(1, large)};
        const auto all = [](const std::string &) { return true; };
        for (const auto &reader : topology.readers("z0", all)) {
            mail.platform(reader, sampleDocument(2, large), at(10));
        }
        const auto picks = *rc::gen::container<std::vector<std::size_t>>(
                400, rc::gen::inRange<std::size_t>(0, 1000));
        for (const auto pick : picks) {
            if (mail.waiting() > 0) {
                mail.deliver(pick % mail.waiting(), at(10));
            }
        }
        mail.deliverAll(at(10));
        RC_ASSERT(mail.allAt(2));
    }));
}

TEST_CASE("a node that starts empty pulls the whole from a peer")
{
    Mail mail;
    giveAll(mail, 3);
    const auto name = mail.nodes().begin()->first;
    mail.restart(name);
    Outbox out;
    mail.node(name).pullFrom(readerOf("z1"), at(10), out);
    mail.collect(name, out);
    mail.deliverAll(at(10));
    REQUIRE(mail.allAt(3));
}

TEST_CASE("a pull without an answer goes to the next announcer")
{
    Mail mail;
    giveAll(mail, 1);
    Mail ahead;
    giveAll(ahead, 2);
    const auto stamp = ahead.nodes().begin()->second.acceptance().stamp();
    auto &node = mail.nodes().begin()->second;
    const auto usable = [](const std::string &) { return true; };
    Outbox out;
    node.onAnnounce("first", {stamp.version, stamp.digest, "", 0, 0}, usable, at(0), out);
    node.onAnnounce("second", {stamp.version, stamp.digest, "", 0, 0}, usable, at(1), out);
    REQUIRE(out.take().size() == 1);
    node.tick(ReaderRole::None, usable, at(kPullTimeout.count()), out);
    const auto items = out.take();
    REQUIRE(items.size() == 1);
    REQUIRE(items.front().first == "second");
}

TEST_CASE("a reader confirms to its zone often and to other zones seldom, a change to all at once")
{
    Mail mail;
    giveAll(mail, 1);
    const auto usable = [](const std::string &) { return true; };
    auto &first = mail.node(readerOf("z0"));
    const auto farAnnouncements = [&](ReaderRole role, int confirmations) {
        int far = 0;
        for (int i = 0; i < confirmations; ++i) {
            Outbox out;
            static std::int64_t now = 0;
            now += kConfirmInterval.count();
            first.tick(role, usable, at(now), out);
            for (const auto &[to, message] : out.take()) {
                far += first.topology().zoneOf(to) == "z1" ? 1 : 0;
            }
        }
        return far;
    };
    REQUIRE(farAnnouncements(ReaderRole::First, 10) == 2);
    REQUIRE(farAnnouncements(ReaderRole::Reader, 10) == 0);
    Outbox out;
    first.onPlatformDocument(sampleDocument(2, kShape), usable, at(0), out);
    int far = 0;
    for (const auto &[to, message] : out.take()) {
        far += first.topology().zoneOf(to) == "z1" ? 1 : 0;
    }
    REQUIRE(far == 1);
}

TEST_CASE("a refused version is not pulled again and reaches nobody")
{
    Mail mail;
    giveAll(mail, 1);
    auto bad = sampleDocument(2, kShape);
    bad.parts["zones"] = "{";
    mail.platform(readerOf("z0"), bad, at(1));
    mail.deliverAll(at(1));
    mail.heartbeats(at(2));
    mail.deliverAll(at(2));
    REQUIRE(mail.allAt(1));
    REQUIRE(mail.node(readerOf("z0")).acceptance().rejections().size() == 1);
}

TEST_CASE("with messages lost and nodes restarted, versions never go back, and heartbeats bring "
          "all up")
{
    REQUIRE(rc::check("lossy delivery", [] {
        Mail mail;
        giveAll(mail, 1);
        std::vector<std::string> names;
        for (const auto &[name, node] : mail.nodes()) {
            names.push_back(name);
        }
        std::map<std::string, std::uint64_t> seen;
        std::uint64_t version = 1;
        std::int64_t now = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (const auto step : steps) {
            now += 50;
            if (step < 8) {
                const auto reader = step % 2 == 0 ? readerOf("z0") : readerOf("z1");
                mail.platform(reader, sampleDocument(++version, kShape), at(now));
            } else if (step < 12) {
                const auto &name = names[static_cast<std::size_t>(step) % names.size()];
                mail.restart(name);
                seen[name] = 0; // a new process; it may not serve before it asked its peers
            } else if (step < 20) {
                mail.heartbeats(at(now));
            } else if (mail.waiting() > 0) {
                const auto i = static_cast<std::size_t>(step) * 7 % mail.waiting();
                step % 4 == 0 ? mail.lose(i) : mail.deliver(i, at(now));
            }
            for (const auto &[name, node] : mail.nodes()) {
                RC_ASSERT(node.acceptance().stamp().version >= seen[name]);
                seen[name] = node.acceptance().stamp().version;
            }
        }
        // A reader confirms what the platform has now; ten rounds of heartbeats repair the rest.
        mail.platform(readerOf("z0"), sampleDocument(version, kShape), at(now));
        for (int round = 0; round < 10; ++round) {
            now += 2000;
            mail.deliverAll(at(now));
            mail.heartbeats(at(now));
        }
        mail.deliverAll(at(now));
        RC_ASSERT(mail.allAt(version));
    }));
}
