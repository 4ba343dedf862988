#include "lab/site.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include <httplib.h>

#include "common/journal.h"
#include "config/manifest.h"
#include "core/hash.h"

namespace standin {

namespace {

constexpr std::chrono::milliseconds kPoll{30};
constexpr std::chrono::milliseconds kHttpTimeout{1500};
constexpr int kOk = 200;

void pauseBriefly()
{
    std::this_thread::sleep_for(kPoll);
}

httplib::Client clientOf(const celeryramp::Address &address)
{
    httplib::Client client{address.host, address.port};
    client.set_connection_timeout(kHttpTimeout);
    client.set_read_timeout(kHttpTimeout);
    return client;
}

std::int64_t nowMillis()
{
    return wallMicros() / 1000;
}

} // namespace

double Convergence::quantile(double q) const
{
    if (millis.empty()) {
        return -1.0;
    }
    std::vector<double> sorted;
    sorted.reserve(millis.size());
    for (const auto &[server, ms] : millis) {
        sorted.push_back(ms);
    }
    std::sort(sorted.begin(), sorted.end());
    const auto last = double(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(std::lround(q * last))];
}

Site::Site(DeploymentShape shape, SitePaths paths, std::uint16_t basePort, BackendTuning tuning)
    : m_deployment{std::move(shape), basePort}, m_paths{std::move(paths)}, m_tuning{tuning}
{
    std::filesystem::remove_all(m_paths.out);
    std::filesystem::create_directories(m_paths.out);
    m_paths.certs = std::filesystem::absolute(m_paths.certs).string();
    for (const auto &account : m_deployment.accounts()) {
        m_history.limits[account.name] = {account.rate, account.burst};
    }
}

bool Site::start(int timeoutMs, bool withBackends)
{
    const auto &platformAddress = m_deployment.platform();
    const auto watchers = std::max<std::size_t>(64, m_deployment.servers().size() * 2 + 32);
    m_processes.start("platform",
                      {m_paths.programs + "/standin-platform", "--listen", platformAddress.text(),
                       "--threads", std::to_string(watchers)},
                      m_paths.out + "/platform.log");
    if (!awaitPort(platformAddress, "/admin/stats", timeoutMs)) {
        return false;
    }
    publish();
    for (const auto &place : m_deployment.servers()) {
        if (withBackends) {
            startBackend(place.name);
        }
        startNode(place.name, true);
    }
    const auto until = nowMillis() + timeoutMs;
    for (const auto &place : m_deployment.servers()) {
        while (!isReady(place.name)) {
            if (nowMillis() > until || !m_processes.isRunning(nodeName(place.name))) {
                return false;
            }
            pauseBriefly();
        }
    }
    const auto delay = m_deployment.shape().zoneDelayMs;
    for (const auto &place : m_deployment.servers()) {
        if (delay > 0) {
            setFaults(place.name, "delay_ms=" + std::to_string(delay));
        }
    }
    return true;
}

std::uint64_t Site::publish()
{
    auto parts = nlohmann::json::object();
    for (const auto &[name, text] : m_deployment.parts()) {
        parts[name] = text;
    }
    return publishRaw({{"parts", parts}}).at("version").get<std::uint64_t>();
}

nlohmann::json Site::publishRaw(const nlohmann::json &body)
{
    auto answer = askPlatform("/admin/publish", body.dump());
    if (!answer.is_object()) {
        throw std::runtime_error{"the platform stand-in does not answer"};
    }
    m_published[answer.at("version").get<std::uint64_t>()]
            = {answer.at("unix_ms").get<std::int64_t>(), answer.at("digest").get<std::string>()};
    return answer;
}

Convergence Site::awaitVersion(const std::string &change, std::uint64_t version, int timeoutMs,
                               const std::vector<std::string> &servers)
{
    Convergence convergence{change, version, {}};
    std::vector<std::string> waiting = servers;
    if (waiting.empty()) {
        for (const auto &place : m_deployment.servers()) {
            waiting.push_back(place.name);
        }
    }
    const auto until = nowMillis() + timeoutMs;
    while (!waiting.empty() && nowMillis() < until) {
        pauseBriefly();
        waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                     [&](const std::string &server) {
                                         const auto seen = status(server);
                                         if (!seen.is_object() || !hasReached(seen, version)) {
                                             return false;
                                         }
                                         const auto since = seen.value("in_force_since_unix_ms",
                                                                       std::int64_t{0});
                                         convergence.millis[server]
                                                 = double(since - m_published[version].unixMillis);
                                         return true;
                                     }),
                      waiting.end());
    }
    return convergence;
}

bool Site::hasReached(const nlohmann::json &status, std::uint64_t version) const
{
    const auto inForce = status.value("version", std::uint64_t{0});
    const auto it = m_published.find(version);
    const bool sameContent
            = it == m_published.end() || status.value("digest", "") == it->second.digest;
    return inForce > version || (inForce == version && sameContent);
}

std::uint64_t Site::publishAgain(bool above)
{
    celeryramp::Manifest manifest;
    manifest.version = askPlatform("/admin/stats").at("version").get<std::uint64_t>() + 1;
    const auto former = m_published.at(manifest.version).digest;
    do {
        m_deployment.touch();
        for (const auto &[name, text] : m_deployment.parts()) {
            manifest.parts[name] = celeryramp::sha256Hex(text);
        }
    } while ((manifest.digest() > former) != above);
    return publish();
}

void Site::startNode(const std::string &server, bool firstStart)
{
    const auto path = m_paths.out + "/" + server + ".toml";
    std::ofstream{path} << m_deployment.settings(m_deployment.server(server), m_paths.certs,
                                                 firstStart, "info");
    m_processes.start(nodeName(server), {m_paths.programs + "/celeryrampd", "--settings", path},
                      m_paths.out + "/" + server + ".log");
}

void Site::startBackend(const std::string &server)
{
    const auto &place = m_deployment.server(server);
    m_processes.start(backendName(server),
                      {m_paths.programs + "/standin-backend", "--listen", place.backend.text(),
                       "--server", server, "--zone", place.zone, "--inside", place.inside.text(),
                       "--journal", m_paths.out + "/backend-" + server + ".jsonl", "--slots",
                       std::to_string(m_deployment.shape().slots), "--work-us",
                       std::to_string(m_tuning.workMicros), "--warm-ms",
                       std::to_string(m_tuning.warmMs), "--cold-factor",
                       std::to_string(m_tuning.coldFactor)},
                      m_paths.out + "/backend-" + server + ".log");
}

bool Site::isReady(const std::string &server) const
{
    auto client = clientOf(m_deployment.server(server).operators);
    const auto result = client.Get("/readyz");
    return result && result->status == kOk;
}

nlohmann::json Site::state(const std::string &server) const
{
    return get(m_deployment.server(server).operators, "/state");
}

nlohmann::json Site::status(const std::string &server) const
{
    return get(m_deployment.server(server).operators, "/status");
}

void Site::setFaults(const std::string &server, const std::string &query) const
{
    auto client = clientOf(m_deployment.server(server).operators);
    client.Put("/faults?" + query, "", "text/plain");
}

nlohmann::json Site::askPlatform(const std::string &pathAndQuery, const std::string &body)
{
    auto client = clientOf(m_deployment.platform());
    const auto result = client.Put(pathAndQuery, body, "application/json");
    return result ? nlohmann::json::parse(result->body, nullptr, false) : nlohmann::json{};
}

void Site::backendControl(const std::string &server, const std::string &what) const
{
    auto client = clientOf(m_deployment.server(server).backend);
    client.Post("/_control/" + what);
}

void Site::startCaller(const std::string &name, const nlohmann::json &plan)
{
    const auto path = m_paths.out + "/" + name + ".json";
    std::ofstream{path} << plan.dump(2);
    m_processes.start(name,
                      {m_paths.programs + "/standin-caller", "--plan", path, "--journal",
                       m_paths.out + "/" + name + ".jsonl"},
                      m_paths.out + "/" + name + ".log");
}

nlohmann::json Site::targets() const
{
    auto targets = nlohmann::json::object();
    for (const auto &place : m_deployment.servers()) {
        targets[place.zone].push_back(place.callers.text());
    }
    return targets;
}

void Site::readJournals()
{
    for (const auto &entry : std::filesystem::directory_iterator{m_paths.out}) {
        if (entry.path().extension() == ".jsonl") {
            readJournal(entry.path().string(), m_history);
        }
    }
}

std::map<std::string, std::vector<std::uint64_t>> Site::versionsInForce() const
{
    const std::string mark = "config-in-force version=";
    std::map<std::string, std::vector<std::uint64_t>> versions;
    for (const auto &place : m_deployment.servers()) {
        std::ifstream in{m_paths.out + "/" + place.name + ".log"};
        for (std::string line; std::getline(in, line);) {
            if (const auto at = line.find(mark); at != std::string::npos) {
                versions[place.name].push_back(std::stoull(line.substr(at + mark.size())));
            }
        }
    }
    return versions;
}

nlohmann::json Site::get(const celeryramp::Address &address, const std::string &path) const
{
    auto client = clientOf(address);
    const auto result = client.Get(path);
    return result && result->status == kOk ? nlohmann::json::parse(result->body, nullptr, false)
                                           : nlohmann::json{};
}

bool Site::awaitPort(const celeryramp::Address &address, const std::string &path,
                     int timeoutMs) const
{
    const auto until = nowMillis() + timeoutMs;
    while (nowMillis() < until) {
        if (get(address, path).is_object()) {
            return true;
        }
        pauseBriefly();
    }
    return false;
}

} // namespace standin
