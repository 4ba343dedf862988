#include "lab/deployment.h"

#include <sstream>
#include <stdexcept>

#include "core/hash.h"

namespace standin {

namespace {

constexpr int kLargeAccounts = 3;
constexpr double kLargeFactor = 4.0;
constexpr std::uint16_t kPortsPerServer = 5;
constexpr int kChainLatencies = 100; /*!< Values that touch() goes through. */
constexpr const char *kHost = "127.0.0.1";

struct ClassShape
{
    const char *name;
    int latencyMs;
    double success;
    const char *repeat;
    int deadlineMs;
};

constexpr ClassShape kIdempotentClass{"lookup", 50, 0.999, "idempotent", 1000};
constexpr ClassShape kOnceClass{"record", 150, 0.999, "at-most-once", 3000};
constexpr ClassShape kChainClass{"chain", 400, 0.99, "idempotent", 5000};

nlohmann::json classJson(const ClassShape &shape)
{
    return {{"latency_ms", shape.latencyMs},
            {"success", shape.success},
            {"repeat", shape.repeat},
            {"deadline_ms", shape.deadlineMs}};
}

celeryramp::Address at(std::uint16_t port)
{
    return {kHost, port};
}

} // namespace

DeploymentShape knownShape(const std::string &name)
{
    DeploymentShape shape;
    shape.name = name;
    if (name == "souss") {
        shape.zones = {"a", "b", "c"};
        shape.services = {"stock", "deposits", "orders", "collection"};
        shape.zoneDelayMs = 1;
        return shape;
    }
    if (name == "hokkaido") {
        shape.zones = {"a", "b", "c", "d"};
        shape.services = {"catalogue", "batches", "orders", "billing"};
        shape.serversPerService = 4;
        shape.slots = 18;
        return shape;
    }
    throw std::invalid_argument{"no deployment named " + name + "; known: souss, hokkaido"};
}

DeploymentShape fleetShape(int nodes)
{
    DeploymentShape shape;
    shape.name = "fleet";
    shape.zones = {"a", "b", "c"};
    shape.services = {"stock"};
    shape.serversPerService = nodes;
    shape.slots = 1;
    shape.callerThreads = 1;
    return shape;
}

Deployment::Deployment(DeploymentShape shape, std::uint16_t basePort) : m_shape{std::move(shape)}
{
    m_platform = at(basePort);
    auto port = static_cast<std::uint16_t>(basePort + 1);
    auto servers = nlohmann::json::object();
    for (const auto &service : m_shape.services) {
        for (int i = 0; i < m_shape.serversPerService; ++i) {
            const auto &zone = m_shape.zones[static_cast<std::size_t>(i) % m_shape.zones.size()];
            ServerPlace place;
            const auto round = static_cast<std::size_t>(i) / m_shape.zones.size() + 1;
            place.name = service;
            place.name.append("-").append(zone).append("-").append(std::to_string(round));
            place.service = service;
            place.zone = zone;
            place.callers = at(port);
            place.inside = at(static_cast<std::uint16_t>(port + 1));
            place.peers = at(static_cast<std::uint16_t>(port + 2));
            place.operators = at(static_cast<std::uint16_t>(port + 3));
            place.backend = at(static_cast<std::uint16_t>(port + 4));
            port = static_cast<std::uint16_t>(port + kPortsPerServer);
            servers[place.name] = {{"service", service},
                                   {"zone", zone},
                                   {"node", place.peers.text()},
                                   {"operator", place.operators.text()},
                                   {"slots", m_shape.slots}};
            m_servers.push_back(std::move(place));
        }
    }
    m_serverPart = {{"servers", servers}};
    auto zones = nlohmann::json::object();
    for (const auto &zone : m_shape.zones) {
        zones[zone] = {{"region", "r1"}, {"status", "in"}};
    }
    m_zones = {{"zones", zones}};
    auto services = nlohmann::json::object();
    auto routes = nlohmann::json::array();
    for (std::size_t i = 0; i < m_shape.services.size(); ++i) {
        const auto &service = m_shape.services[i];
        services[service] = nlohmann::json::object();
        const auto *workClass = i == 0 ? kIdempotentClass.name : kOnceClass.name;
        routes.push_back({{"path", "/" + service},
                          {"service", service},
                          {"class", workClass},
                          {"access", "account"}});
    }
    const auto &first = m_shape.services.front();
    for (std::size_t i = 0; i < m_shape.services.size(); ++i) {
        routes.push_back({{"path", "/chain/" + std::to_string(i)},
                          {"service", m_shape.services[i]},
                          {"class", "chain"},
                          {"access", "account"}});
    }
    routes.push_back(
            {{"path", "/public"}, {"service", first}, {"class", "lookup"}, {"access", "open"}});
    routes.push_back({{"path", "/internal"},
                      {"service", first},
                      {"class", "lookup"},
                      {"access", "internal"}});
    m_servicePart = {{"services", services},
                     {"routes", routes},
                     {"classes",
                      {{kIdempotentClass.name, classJson(kIdempotentClass)},
                       {kOnceClass.name, classJson(kOnceClass)},
                       {kChainClass.name, classJson(kChainClass)}}}};
    auto accounts = nlohmann::json::object();
    auto keys = nlohmann::json::object();
    for (int i = 0; i < m_shape.accounts; ++i) {
        AccountPlace account;
        account.name = "account-" + std::to_string(i + 1);
        account.keyId = "k" + std::to_string(i + 1);
        const auto secret = celeryramp::randomHex(12);
        const auto salt = celeryramp::randomHex(8);
        account.key = account.keyId + "." + secret;
        account.rate = m_shape.rate * (i < kLargeAccounts ? kLargeFactor : 1.0);
        account.burst = account.rate * m_shape.burstSeconds;
        accounts[account.name] = {{"rate", account.rate}, {"burst", account.burst}};
        keys[account.keyId] = {{"account", account.name},
                               {"salt", salt},
                               {"hash", celeryramp::sha256Hex(salt + secret)}};
        m_accounts.push_back(std::move(account));
    }
    m_accountPart = {{"accounts", accounts}};
    m_keyPart = {{"keys", keys}};
}

const ServerPlace &Deployment::server(const std::string &name) const
{
    for (const auto &place : m_servers) {
        if (place.name == name) {
            return place;
        }
    }
    throw std::invalid_argument{"no server named " + name};
}

std::map<std::string, std::string> Deployment::parts() const
{
    return {{"zones", m_zones.dump()},
            {"services", m_servicePart.dump()},
            {"accounts", m_accountPart.dump()},
            {"keys", m_keyPart.dump()},
            {"servers", m_serverPart.dump()}};
}

void Deployment::setZoneStatus(const std::string &zone, bool inService)
{
    m_zones["zones"].at(zone)["status"] = inService ? "in" : "out";
}

void Deployment::withdrawKey(const std::string &account)
{
    for (const auto &place : m_accounts) {
        if (place.name == account) {
            m_keyPart["keys"].erase(place.keyId);
        }
    }
}

void Deployment::setRate(const std::string &account, double rate, double burst)
{
    m_accountPart["accounts"].at(account) = {{"rate", rate}, {"burst", burst}};
    for (auto &place : m_accounts) {
        if (place.name == account) {
            place.rate = rate;
            place.burst = burst;
        }
    }
}

void Deployment::touch()
{
    auto &latency = m_servicePart["classes"]["chain"]["latency_ms"];
    const auto past = latency.get<int>() - kChainClass.latencyMs;
    latency = kChainClass.latencyMs + (past + 1) % kChainLatencies;
}

std::string Deployment::settings(const ServerPlace &place, const std::string &certs,
                                 bool firstStart, const std::string &logLevel) const
{
    std::ostringstream out;
    out << "[node]\nserver = \"" << place.name << "\"\nzone = \"" << place.zone << "\"\n\n";
    out << "[callers]\nlisten = \"" << place.callers.text()
        << "\"\nthreads = " << m_shape.callerThreads << "\n\n";
    out << "[inside]\nlisten = \"" << place.inside.text()
        << "\"\nthreads = " << m_shape.callerThreads << "\n\n";
    out << "[peers]\nlisten = \"" << place.peers.text() << "\"\nseeds = [";
    // Seeds: the next servers in the list, which lie in other zones too.
    std::size_t own = 0;
    while (m_servers[own].name != place.name) {
        ++own;
    }
    for (int i = 1; i <= m_shape.peerSeeds && m_servers.size() > 1; ++i) {
        const auto &seed = m_servers[(own + static_cast<std::size_t>(i)) % m_servers.size()];
        out << (i > 1 ? ", " : "") << '"' << seed.peers.text() << '"';
    }
    out << "]\nauthority = \"" << certs << "/authority.pem\"\ncertificate = \"" << certs
        << "/node.pem\"\nprivate_key = \"" << certs << "/node.key\"\n\n";
    out << "[operator]\nlisten = \"" << place.operators.text() << "\"\n\n";
    out << "[server]\naddress = \"" << place.backend.text() << "\"\nslots = " << m_shape.slots
        << "\n\n";
    out << "[platform]\naddress = \"" << m_platform.text() << "\"\n\n";
    out << "[ledger]\nfirst_start = " << (firstStart ? "true" : "false") << "\n\n";
    out << "[log]\nlevel = \"" << logLevel << "\"\n\n[testing]\nfaults = true\ndistribution = \""
        << m_shape.distribution << "\"\nwithout = [";
    for (std::size_t i = 0; i < m_shape.without.size(); ++i) {
        out << (i > 0 ? ", " : "") << '"' << m_shape.without[i] << '"';
    }
    out << "]\n";
    return out.str();
}

} // namespace standin
