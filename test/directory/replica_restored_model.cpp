#include "directory/replica.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>

#include <catch2/catch.hpp>

#include "support/replica_steps.h"
#include <rapidcheck/catch.h>

using namespace celeryramp;
using namespace celeryramp::directory;
using test::kGracePeriod;
using test::kNoRenewal;

namespace {

const TimePoint kStart{std::chrono::hours{1}};
const std::vector<std::string> kServers{"a", "b", "c"};
const std::vector<std::string> kZones{"north", "south"};

/*! @brief What the operator and the servers want published. */
struct Wanted
{
    int version = 1;
    std::map<std::string, test::ServerState> servers; /*!< Those that have not left. */
    std::set<std::string> zones;
};

/*! @brief A source that can return to an earlier moment. */
class Source
{
public:
    void put(const ItemChange &change)
    {
        auto it = change;
        it.era = position.era;
        it.revision = ++position.revision;
        m_moments.push_back({position.revision, m_items});
        if (it.isRemoved) {
            m_items.erase(it.key);
        } else {
            m_items[it.key] = it;
        }
        m_changes.push_back(it);
    }

    /*! @param count Number of changes that are lost. */
    void goBack(std::size_t count)
    {
        for (; count > 0 && !m_moments.empty(); --count) {
            position.revision = m_moments.back().first - 1;
            m_items = std::move(m_moments.back().second);
            m_moments.pop_back();
            m_changes.pop_back();
        }
        ++position.era;
    }

    [[nodiscard]] const ItemChange *find(const std::string &key) const
    {
        const auto it = m_items.find(key);
        return it == m_items.end() ? nullptr : &it->second;
    }
    [[nodiscard]] std::vector<ItemChange> list() const
    {
        std::vector<ItemChange> items;
        for (const auto &[key, it] : m_items) {
            items.push_back(it);
            items.back().era = position.era;
        }
        return items;
    }
    [[nodiscard]] std::vector<ItemChange> changesAfter(std::int64_t revision) const
    {
        std::vector<ItemChange> changes;
        for (const auto &it : m_changes) {
            if (it.revision > revision) {
                changes.push_back(it);
                changes.back().era = position.era;
            }
        }
        return changes;
    }

    SourcePosition position{1, 10};

private:
    std::map<std::string, ItemChange> m_items;
    std::vector<ItemChange> m_changes;
    /*! Items before each change, by its revision. */
    std::vector<std::pair<std::int64_t, std::map<std::string, ItemChange>>> m_moments;
};

/*! @brief Takes random numbers for choices; zero when they are used up. */
class Choices
{
public:
    explicit Choices(const std::vector<std::uint8_t> &numbers) : m_numbers{numbers} { }

    [[nodiscard]] bool isEmpty() const { return m_next >= m_numbers.size(); }
    std::size_t below(std::size_t n) { return isEmpty() ? 0 : m_numbers[m_next++] % n; }
    template <typename Value>
    const Value &of(const std::vector<Value> &values)
    {
        return values[below(values.size())];
    }

private:
    const std::vector<std::uint8_t> &m_numbers;
    std::size_t m_next = 0;
};

/*! @brief Replicas that read a source and hear of one another, late or not at all. */
class World
{
public:
    explicit World(const std::vector<std::uint8_t> &numbers) : m_choices{numbers}
    {
        m_source.put(test::version(m_wanted.version, {}, kContent));
        for (auto &it : m_nodes) {
            it = std::make_unique<Replica>(m_decoder, kGracePeriod);
        }
    }

    void run()
    {
        using Step = void (World::*)();
        const std::vector<Step> steps{
                &World::write, &World::write,   &World::goBack,  &World::rewrite, &World::rewrite,
                &World::list,  &World::watch,   &World::watch,   &World::sync,    &World::deliver,
                &World::drop,  &World::deliver, &World::restart, &World::passTime};
        while (!m_choices.isEmpty()) {
            (this->*m_choices.of(steps))();
            checkVersions();
        }
    }

    /*! @brief Lets everything be written again, and each node hear of it. */
    void settle()
    {
        while (rewriteNext()) { }
        // Some read it, and the others hear of it from them.
        list(0);
        deliverAll();
        for (std::size_t i = 1; i < m_nodes.size(); ++i) {
            m_isReader[i] ? list(i) : sync(0, i);
            deliverAll();
        }
        pass(Replica::kRewriteTime);
        pass(Replica::kRewriteTime);
        checkVersions();
    }

    void check() const
    {
        for (const auto &it : m_nodes) {
            const auto &view = *it->view();
            RC_ASSERT(it->position() == m_source.position);
            RC_ASSERT(view.routing != nullptr);
            RC_ASSERT(view.routing->version() == static_cast<std::uint64_t>(m_wanted.version));
            RC_ASSERT(view.evacuatedZones == m_wanted.zones);
            RC_ASSERT(view.servers.size() == m_wanted.servers.size());
            for (const auto &[id, wanted] : m_wanted.servers) {
                const auto *server = view.findServer(id);
                RC_ASSERT(server != nullptr);
                RC_ASSERT(server->startedMillis
                          == static_cast<std::uint64_t>(wanted.startedMillis));
                RC_ASSERT(server->isDraining == wanted.isDraining);
            }
        }
    }

private:
    /*! Long enough for deltas of configurations. */
    inline static const std::string kContent = std::string(200, '{');
    static constexpr std::size_t kNodes = 4;

    void write()
    {
        const auto &id = m_choices.of(kServers);
        const auto &zone = m_choices.of(kZones);
        switch (m_choices.below(4)) {
        case 0:
            ++m_wanted.version;
            break;
        case 1:
            if (m_wanted.zones.erase(zone) == 0) {
                m_wanted.zones.insert(zone);
            }
            break;
        case 2: // started or restarted
            m_wanted.servers[id] = {1, false, ++m_lastStart};
            break;
        default: // draining, then gone
            if (const auto it = m_wanted.servers.find(id); it != m_wanted.servers.end()) {
                if (it->second.isDraining) {
                    m_wanted.servers.erase(it);
                } else {
                    it->second.isDraining = true;
                    ++it->second.sequence;
                }
            }
        }
        rewriteNext();
    }

    void goBack() { m_source.goBack(1 + m_choices.below(6)); }
    void rewrite() { rewriteNext(); }

    /*! @brief Writes the next item that differs from what is wanted. @return False if none does. */
    bool rewriteNext()
    {
        std::vector<ItemChange> changes{test::version(m_wanted.version, {}, kContent)};
        for (const auto &name : kZones) {
            changes.push_back(m_wanted.zones.count(name) > 0 ? test::zone(name, {})
                                                             : test::removal("zone/" + name, {}));
        }
        for (const auto &id : kServers) {
            const auto it = m_wanted.servers.find(id);
            changes.push_back(it != m_wanted.servers.end() ? test::server(id, it->second, {})
                                                           : test::removal("server/" + id, {}));
        }
        const auto isMissing = [this](const ItemChange &change) {
            const auto *held = m_source.find(change.key);
            return change.isRemoved ? held != nullptr
                                    : held == nullptr || held->value != change.value;
        };
        const auto it = std::find_if(changes.begin(), changes.end(), isMissing);
        if (it != changes.end()) {
            m_source.put(*it);
        }
        return it != changes.end();
    }

    void list() { list(m_choices.below(kNodes)); }
    void list(std::size_t i)
    {
        m_inFlight.push_back(
                [this, i, items = m_source.list(), position = m_source.position, askedAt = m_now] {
                    m_nodes[i]->applyList(items, position, askedAt, kNoRenewal, m_now);
                });
    }

    /*! @brief A node reads changes and pushes them to each other node. */
    void watch()
    {
        auto &reader = *m_nodes[m_choices.below(kNodes)];
        const auto after = reader.position();
        if (!reader.isComplete() || after.era != m_source.position.era) {
            return;
        }
        std::vector<std::pair<ItemChange, SourcePosition>> deltas;
        const auto changes = m_source.changesAfter(after.revision);
        deltas.reserve(changes.size());
        for (const auto &it : changes) {
            deltas.push_back(reader.asDelta(it));
        }
        const auto position = m_source.position;
        reader.applyChanges(changes, position, m_now, kNoRenewal, m_now);
        for (auto &node : m_nodes) {
            m_inFlight.push_back([this, &node, deltas, after, position] {
                if (node->isComplete() && after <= node->position()) {
                    push(*node, deltas, position);
                }
            });
        }
    }
    void push(Replica &node, const std::vector<std::pair<ItemChange, SourcePosition>> &deltas,
              const SourcePosition &position)
    {
        std::vector<ItemChange> changes;
        for (const auto &[delta, base] : deltas) {
            if (auto whole = node.fromDelta(delta, base)) {
                changes.push_back(std::move(*whole));
            }
        }
        if (changes.size() == deltas.size()) {
            node.applyChanges(changes, position, TimePoint{}, kNoRenewal, m_now);
        }
    }

    void sync()
    {
        const auto from = m_choices.below(kNodes);
        sync(from, m_choices.below(kNodes));
    }
    void sync(std::size_t from, std::size_t to)
    {
        if (!m_nodes[from]->isComplete() || from == to) {
            return;
        }
        auto reply = test::stateFor(*m_nodes[from], *m_nodes[to], m_now);
        m_inFlight.push_back([this, from, to, reply = std::move(reply)] {
            if (!test::applyState(*m_nodes[to], reply, m_now)) {
                auto whole = test::stateFor(*m_nodes[from], *m_nodes[to], m_now, true);
                static_cast<void>(test::applyState(*m_nodes[to], whole, m_now));
            }
        });
    }

    void deliver()
    {
        if (const auto message = take()) {
            message();
        }
    }
    void drop() { take(); }
    void deliverAll()
    {
        while (!m_inFlight.empty()) {
            const auto message = std::move(m_inFlight.front());
            m_inFlight.erase(m_inFlight.begin());
            message();
        }
    }
    /*! @return A message on its way, in any order. */
    std::function<void()> take()
    {
        if (m_inFlight.empty()) {
            return {};
        }
        const auto it = m_inFlight.begin()
                + static_cast<std::ptrdiff_t>(m_choices.below(m_inFlight.size()));
        auto message = std::move(*it);
        m_inFlight.erase(it);
        return message;
    }

    void restart()
    {
        const auto i = m_choices.below(kNodes);
        m_nodes[i] = std::make_unique<Replica>(m_decoder, kGracePeriod);
        m_versions[i] = 0;
    }

    void passTime() { pass(Millis{400 * (1 + static_cast<int>(m_choices.below(10)))}); }
    void pass(Millis time)
    {
        m_now += time;
        for (const auto &it : m_nodes) {
            it->expire(m_now);
        }
    }

    void checkVersions()
    {
        for (std::size_t i = 0; i < kNodes; ++i) {
            const auto &routing = m_nodes[i]->view()->routing;
            const auto version = routing ? routing->version() : 0;
            RC_ASSERT(version >= m_versions[i]);
            m_versions[i] = version;
        }
    }

    const test::TextDecoder m_decoder{};
    Choices m_choices;
    Source m_source;
    Wanted m_wanted;
    std::array<std::unique_ptr<Replica>, kNodes> m_nodes;
    std::array<bool, kNodes> m_isReader{true, true, false, false};
    std::array<std::uint64_t, kNodes> m_versions{};
    std::vector<std::function<void()>> m_inFlight;
    TimePoint m_now = kStart;
    int m_lastStart = 1000;
};

} // namespace

// Guards against replicas that disagree for good after the source has come back from copies.
TEST_CASE("Restored source: replicas agree on the last state after any series of returns")
{
    rc::prop("version in force, servers and zones", [] {
        const auto numbers = *rc::gen::scale(4, rc::gen::arbitrary<std::vector<std::uint8_t>>());
        World world{numbers};
        world.run();
        world.settle();
        world.check();
    });
}
