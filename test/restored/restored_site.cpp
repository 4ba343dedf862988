#include "restored/restored_site.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "core/boot_clock.h"
#include "names.h"
#include "support/event_loop.h"

namespace celeryramp::test {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t kCallerPort = 9310;
constexpr std::uint16_t kLinkPort = 9311;
constexpr std::uint16_t kReadinessPort = 9312;
constexpr std::uint16_t kBackendPort = 9313;
constexpr std::uint16_t kStorePort = 9314;
constexpr int kZones = 3;
constexpr Millis kServedTimeout{10'000};
/*! Time between the first requests of probers of a node. */
constexpr Millis kProberOffset{30};

/*! Pairs of networks of addresses; each process of the test has its own pair. */
constexpr int kNetworks = 128;

std::string host(int network, int index)
{
    return "127.18." + std::to_string(getpid() % kNetworks * 2 + network) + "."
            + std::to_string(index + 1);
}

/*! @return Address at which a node finds the store, which differs from node to node. */
Address storeAddress(int node)
{
    return {host(0, node), kStorePort};
}

Address nodeAddress(int node, std::uint16_t port)
{
    return {host(1, node), port};
}

std::string quoted(const Address &address)
{
    return "\"" + address.text() + "\"\n";
}

std::string zoneOf(int node)
{
    return std::string(1, static_cast<char>('a' + node % kZones));
}

std::string nodeName(int node)
{
    return "node-" + std::to_string(node);
}

Json routeJson(const std::string &prefix)
{
    return {{"Name", "route-" + prefix.substr(1, prefix.size() - 2)},
            {"Host", "restored.example"},
            {"Prefix", prefix},
            {"Service", "stock"},
            {"Kind", "idempotent"},
            {"Timeout", "1s"},
            {"TargetLatency", "500ms"},
            {"MaxAttempts", 2},
            {"AllowAnonymous", prefix != RestoredSite::kKeyedRoute}};
}

} // namespace

RestoredSite::RestoredSite(const std::string &name, const SiteVersion &first,
                           const std::vector<std::string> &routes, const std::string &key)
    : m_directory{CELERYRAMP_RESTORED_OUT "/" + name}, m_store{m_context, storeAddress(0)},
      m_servers(kNodes)
{
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    publish(first);
    for (int i = 0; i < kNodes; ++i) {
        if (i > 0) {
            m_store.listen(storeAddress(i));
        }
        addServer(i);
    }
    m_copy = m_store.copy();
    m_copiedAt = bootNow();
    for (int i = 0; i < kNodes; ++i) {
        startNode(i);
        const auto probe = [&](const std::string &route, const std::string &withKey) {
            const auto delay = kProberOffset * static_cast<int>(m_probers.size() % 7);
            m_probers.push_back(std::make_unique<Prober>(
                    m_context, nodeAddress(i, kCallerPort),
                    ProbeResult{i, 0, route, withKey, {}, {}, 0},
                    [this](ProbeResult result) { m_probes.add(std::move(result)); }));
            m_probers.back()->start(delay);
        };
        for (const auto &route : routes) {
            probe(route, {});
        }
        probe(kKeyedRoute, key);
    }
}

RestoredSite::~RestoredSite() = default;

void RestoredSite::addServer(int index)
{
    auto &server = m_servers.at(static_cast<std::size_t>(index));
    server.backend = std::make_unique<standin::soak::Backend>(
            m_context, nodeAddress(index, kBackendPort), zoneOf(index),
            static_cast<std::uint64_t>(index) + 1,
            [this](const standin::soak::Execution &execution) {
                if (execution.endedAt == TimePoint{}) {
                    m_executions.push_back(execution);
                }
            });
    replaceServer(index);
}

void RestoredSite::startNode(int index)
{
    const auto path = m_directory + "/" + nodeName(index) + ".toml";
    std::ofstream{path} << "name = \"" + nodeName(index) + "\"\nzone = \"" + zoneOf(index)
                    + "\"\nservice = \"stock\"\ncallers = "
                    + quoted(nodeAddress(index, kCallerPort))
                    + "links = " + quoted(nodeAddress(index, kLinkPort))
                    + "readiness = " + quoted(nodeAddress(index, kReadinessPort))
                    + "backend = " + quoted(nodeAddress(index, kBackendPort))
                    + "source = " + quoted(storeAddress(index))
                    + "log_level = \"info\"\n[bounds]\nrevocation = \"5s\"\n";
    m_processes.start(nodeName(index), {CELERYRAMP_NODE, "--settings", path},
                      m_directory + "/" + nodeName(index) + ".log");
}

void RestoredSite::run(Millis time)
{
    m_context.restart();
    m_context.run_for(time);
}

void RestoredSite::runUntil(TimePoint time)
{
    run(std::max(millisBetween(bootNow(), time), Millis{0}));
}

bool RestoredSite::runUntil(const std::function<bool()> &condition, Millis most)
{
    return test::runUntil(m_context, condition, most);
}

bool RestoredSite::runUntilServed(const std::string &route)
{
    const auto since = bootNow();
    return runUntil([&] { return m_probes.isServedByAll(route, kNodes, since); }, kServedTimeout);
}

TimePoint RestoredSite::publish(const SiteVersion &version)
{
    Json configuration{{"Version", version.number}};
    configuration["Routes"] = {routeJson(kKeyedRoute)};
    for (const auto &route : version.routes) {
        configuration["Routes"].push_back(routeJson(route));
    }
    configuration["Services"] = {{{"Name", "stock"}, {"HealthPath", "/health"}}};
    configuration["Tenants"] = Json::array();
    for (const auto &key : version.keys) {
        configuration["Tenants"].push_back({{"Name", "account-" + key}, {"ApiKeys", {key}}});
    }
    m_store.put(std::string{platform::kConfigurationKey}, configuration.dump());
    return bootNow();
}

TimePoint RestoredSite::publishServer(int server, const char *state)
{
    auto &it = m_servers.at(static_cast<std::size_t>(server));
    constexpr std::uint64_t kFirstStart = 1'700'000'000'000ULL;
    m_store.put(std::string{platform::kServerPrefix} + it.id,
                Json{{"Address", nodeAddress(server, kBackendPort).text()},
                     {"Info",
                      {{"Service", "stock"},
                       {"Zone", zoneOf(server)},
                       {"Version", "v1"},
                       {"Slots", 12}}},
                     {"Status",
                      {{"State", state}, {"Sequence", ++it.sequence}, {"ColdRemaining", "0ms"}}},
                     {"born", kFirstStart + static_cast<std::uint64_t>(it.starts) * 1000}}
                        .dump());
    return bootNow();
}

TimePoint RestoredSite::removeServer(int server)
{
    m_store.remove(std::string{platform::kServerPrefix}
                   + m_servers.at(static_cast<std::size_t>(server)).id);
    return bootNow();
}

TimePoint RestoredSite::replaceServer(int server)
{
    auto &it = m_servers.at(static_cast<std::size_t>(server));
    it.id = "s" + std::to_string(server) + "-" + std::to_string(++it.starts);
    it.sequence = 0;
    it.backend->setId(it.id);
    return publishServer(server, "ready");
}

TimePoint RestoredSite::evacuate(const std::string &zone)
{
    m_store.put(std::string{platform::kEvacuationPrefix} + zone, "{}");
    return bootNow();
}

TimePoint RestoredSite::takeBack(const std::string &zone)
{
    m_store.remove(std::string{platform::kEvacuationPrefix} + zone);
    return bootNow();
}

void RestoredSite::writeServers(int times)
{
    for (int i = 0; i < times; ++i) {
        publishServer(i % kNodes, "ready");
    }
}

TimePoint RestoredSite::restoreStore()
{
    standin::soak::StoreState away;
    away.isAway = true;
    m_store.setState(away);
    run(kAway);
    m_store.setState({});
    m_store.restore(m_copy);
    return bootNow();
}

void RestoredSite::turnAway(const std::vector<int> &nodes)
{
    standin::soak::StoreState state;
    for (const int node : nodes) {
        state.refusedAt.insert(storeAddress(node).host);
    }
    m_store.setState(state);
}

void RestoredSite::restart(int node)
{
    m_processes.kill(nodeName(node));
    const auto perNode = m_probers.size() / kNodes;
    for (std::size_t i = 0; i < perNode; ++i) {
        m_probers.at(static_cast<std::size_t>(node) * perNode + i)->beginIncarnation();
    }
    startNode(node);
}

int RestoredSite::executionsAt(int server, TimePoint from, TimePoint to) const
{
    const auto &id = m_servers.at(static_cast<std::size_t>(server)).id;
    return static_cast<int>(std::count_if(m_executions.begin(), m_executions.end(),
                                          [&](const standin::soak::Execution &it) {
                                              return it.server == id && it.at >= from && it.at < to;
                                          }));
}

int RestoredSite::executionsIn(const std::string &zone, TimePoint from, TimePoint to) const
{
    return static_cast<int>(std::count_if(m_executions.begin(), m_executions.end(),
                                          [&](const standin::soak::Execution &it) {
                                              return it.zone == zone && it.at >= from && it.at < to;
                                          }));
}

bool RestoredSite::areAllRunning()
{
    for (int i = 0; i < kNodes; ++i) {
        if (!m_processes.isRunning(nodeName(i))) {
            return false;
        }
    }
    return true;
}

} // namespace celeryramp::test
