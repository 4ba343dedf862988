#include "lab/scenario.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <limits>
#include <stdexcept>
#include <thread>

#include <httplib.h>

#include "common/journal.h"
#include "lab/step_values.h"
#include "transport/headers.h"

namespace standin {

namespace {

constexpr int kConvergeTimeoutMs = 10'000;
constexpr int kCallerEndMs = 60'000;
constexpr int kStopTimeoutMs = 40'000;

/*! `{first}`, `{second}` and so on stand for the services of the deployment. */
std::string fillServices(std::string path, const DeploymentShape &shape)
{
    constexpr std::array kNames{"{first}", "{second}", "{third}", "{fourth}"};
    for (std::size_t i = 0; i < kNames.size() && i < shape.services.size(); ++i) {
        const std::string name{kNames[i]};
        if (const auto at = path.find(name); at != std::string::npos) {
            path.replace(at, name.size(), shape.services[i]);
        }
    }
    return path;
}

nlohmann::json kindOf(const toml::table &table, const DeploymentShape &shape)
{
    return {{"name", text(table, "name")},
            {"weight", real(table, "weight", 1.0)},
            {"method", text(table, "method", "GET")},
            {"path", fillServices(text(table, "path"), shape)},
            {"at_most_once", table["at_most_once"].value_or(false)},
            {"target_ms", real(table, "target_ms", 50.0)},
            {"body_bytes", integer(table, "body_bytes", 0)}};
}

} // namespace

Scenario::Scenario(const std::string &path) : m_table{toml::parse_file(path)} { }

std::string Scenario::deployment() const
{
    return text(m_table, "deployment");
}

BackendTuning Scenario::tuning() const
{
    BackendTuning tuning;
    if (const auto *table = m_table["backend"].as_table()) {
        tuning.workMicros = static_cast<int>(integer(*table, "work_us", tuning.workMicros));
        tuning.warmMs = static_cast<int>(integer(*table, "warm_ms", tuning.warmMs));
        tuning.coldFactor = real(*table, "cold_factor", tuning.coldFactor);
    }
    return tuning;
}

void Scenario::adjust(DeploymentShape &shape) const
{
    shape.without = list(m_table, "without");
    if (const auto *table = m_table["shape"].as_table()) {
        shape.rate = real(*table, "rate", shape.rate);
        shape.burstSeconds = real(*table, "burst_seconds", shape.burstSeconds);
        shape.zoneDelayMs = static_cast<int>(integer(*table, "zone_delay_ms", shape.zoneDelayMs));
    }
}

ScenarioReport Scenario::run(Site &site, std::uint64_t seed)
{
    m_version = 1;
    startLoad(site, seed);
    const auto start = std::chrono::steady_clock::now();
    if (const auto *steps = m_table["step"].as_array()) {
        for (const auto &entry : *steps) {
            const auto &step = *entry.as_table();
            const std::chrono::milliseconds at{integer(step, "at_ms", 0)};
            std::this_thread::sleep_until(start + at);
            perform(site, step);
        }
    }
    for (const auto &caller : m_callers) {
        if (site.processes().wait(caller, kCallerEndMs) != 0) {
            fail("caller " + caller + " did not end well");
        }
    }
    site.readJournals();
    site.history().versions = site.versionsInForce();
    m_report.violations = checkHistory(site.history());
    checkExpectations(site);
    checkExpectedViolation();
    return m_report;
}

void Scenario::startLoad(Site &site, std::uint64_t seed)
{
    const auto *load = m_table["load"].as_table();
    if (load == nullptr) {
        return;
    }
    auto accounts = nlohmann::json::array();
    const auto share = real(*load, "rate_share", 0.5);
    const auto flooder = text(*load, "flooder");
    for (const auto &account : site.deployment().accounts()) {
        const auto factor = account.name == flooder ? real(*load, "flood_factor", 5.0) : share;
        accounts.push_back({{"name", account.name},
                            {"key", account.key},
                            {"rate", account.rate * factor},
                            {"zone", text(*load, "entry_zone")}});
    }
    auto kinds = nlohmann::json::array();
    if (const auto *array = (*load)["kind"].as_array()) {
        for (const auto &kind : *array) {
            kinds.push_back(kindOf(*kind.as_table(), site.deployment().shape()));
        }
    }
    site.startCaller("caller",
                     {{"name", "c" + std::to_string(seed)},
                      {"targets", site.targets()},
                      {"accounts", accounts},
                      {"kinds", kinds},
                      {"seconds", real(*load, "seconds", 5.0)},
                      {"seed", seed},
                      {"threads_per_zone", integer(*load, "threads_per_zone", 32)},
                      {"resend_share", real(*load, "resend_share", 0.0)},
                      {"retries_of_unknown", integer(*load, "retries_of_unknown", 0)}});
    m_callers.emplace_back("caller");
}

void Scenario::perform(Site &site, const toml::table &step)
{
    struct Entry
    {
        const char *name;
        Action action;
    };
    static constexpr std::array kActions{Entry{"publish", &Scenario::publish},
                                         Entry{"publish-bad", &Scenario::publishBad},
                                         Entry{"withdraw-key", &Scenario::withdrawKey},
                                         Entry{"zone-out", &Scenario::zoneOut},
                                         Entry{"zone-in", &Scenario::zoneIn},
                                         Entry{"set-rate", &Scenario::setRate},
                                         Entry{"kill-nodes", &Scenario::killNodes},
                                         Entry{"start-nodes", &Scenario::startNodes},
                                         Entry{"stop-nodes", &Scenario::stopNodes},
                                         Entry{"freeze-nodes", &Scenario::freezeNodes},
                                         Entry{"thaw-nodes", &Scenario::thawNodes},
                                         Entry{"kill-backends", &Scenario::killBackends},
                                         Entry{"start-backends", &Scenario::startBackends},
                                         Entry{"turn-cold", &Scenario::turnCold},
                                         Entry{"cut", &Scenario::cut},
                                         Entry{"heal", &Scenario::heal},
                                         Entry{"platform", &Scenario::platformFault},
                                         Entry{"restore", &Scenario::restore},
                                         Entry{"expect-reads", &Scenario::expectReads},
                                         Entry{"list-leaving", &Scenario::listLeaving},
                                         Entry{"expect-version", &Scenario::expectVersion},
                                         Entry{"expect-state", &Scenario::expectState},
                                         Entry{"call", &Scenario::call}};
    const auto name = text(step, "do");
    for (const auto &entry : kActions) {
        if (name == entry.name) {
            (this->*entry.action)(site, step);
            return;
        }
    }
    throw std::invalid_argument{"no step named " + name};
}

std::vector<std::string> Scenario::servers(const Site &site, const toml::table &step) const
{
    auto names = list(step, "servers");
    const auto zones = list(step, "zones");
    const auto half = step["half"].value_or(false);
    std::size_t i = 0;
    for (const auto &place : const_cast<Site &>(site).deployment().servers()) {
        const bool inZone = std::find(zones.begin(), zones.end(), place.zone) != zones.end();
        if (inZone || (half && i++ % 2 == 0)) {
            names.push_back(place.name);
        }
    }
    return names;
}

void Scenario::converge(Site &site, const std::string &change, std::uint64_t version,
                        const toml::table &step)
{
    m_version = version;
    if (step["wait"].value_or(true)) {
        const auto within = static_cast<int>(integer(step, "within_ms", kConvergeTimeoutMs));
        auto convergence = site.awaitVersion(change, version, within, servers(site, step));
        const auto wanted = servers(site, step).empty() ? site.deployment().servers().size()
                                                        : servers(site, step).size();
        if (convergence.millis.size() != wanted) {
            fail(change + " version " + std::to_string(version) + " is in force on "
                 + std::to_string(convergence.millis.size()) + " of " + std::to_string(wanted)
                 + " nodes after " + std::to_string(within) + " ms");
        }
        m_report.convergences.push_back(std::move(convergence));
    }
}

void Scenario::killNodes(Site &site, const toml::table &step)
{
    for (const auto &server : servers(site, step)) {
        site.killNode(server);
    }
}

void Scenario::startNodes(Site &site, const toml::table &step)
{
    for (const auto &server : servers(site, step)) {
        site.startNode(server, step["first_start"].value_or(false));
    }
}

void Scenario::stopNodes(Site &site, const toml::table &step)
{
    const auto names = servers(site, step);
    const auto at = wallMicros();
    for (const auto &server : names) {
        site.processes().signal(Site::nodeName(server), SIGTERM);
        site.history().serversLeaving.push_back(
                {server, at, std::numeric_limits<std::int64_t>::max()});
    }
    for (const auto &server : names) {
        if (const auto code = site.processes().wait(Site::nodeName(server), kStopTimeoutMs);
            code != 0) {
            fail("planned stop of " + server + " ended with " + std::to_string(code));
        }
    }
}

void Scenario::freezeNodes(Site &site, const toml::table &step)
{
    for (const auto &server : servers(site, step)) {
        site.processes().signal(Site::nodeName(server), SIGSTOP);
    }
}

void Scenario::thawNodes(Site &site, const toml::table &step)
{
    for (const auto &server : servers(site, step)) {
        site.processes().signal(Site::nodeName(server), SIGCONT);
    }
}

void Scenario::killBackends(Site &site, const toml::table &step)
{
    for (const auto &server : servers(site, step)) {
        site.killBackend(server);
    }
}

void Scenario::startBackends(Site &site, const toml::table &step)
{
    for (const auto &server : servers(site, step)) {
        site.startBackend(server);
    }
}

void Scenario::turnCold(Site &site, const toml::table &step)
{
    for (const auto &server : servers(site, step)) {
        site.backendControl(server, "cold");
    }
}

/*! Cuts the zones in `apart` from all others, and from the platform when `platform` is true. */
void Scenario::cut(Site &site, const toml::table &step)
{
    const auto apart = list(step, "apart");
    const bool platform = step["platform"].value_or(false);
    const auto isApart = [&](const std::string &zone) {
        return std::find(apart.begin(), apart.end(), zone) != apart.end();
    };
    if (platform) {
        beginBlind(site, "cut");
    }
    std::string inside;
    std::string outside;
    for (const auto &zone : site.deployment().shape().zones) {
        (isApart(zone) ? inside : outside) += zone + ",";
    }
    for (const auto &place : site.deployment().servers()) {
        const bool own = isApart(place.zone);
        const auto delay = site.deployment().shape().zoneDelayMs;
        auto query = "cut_zones=" + (own ? outside : inside) + "&delay_ms=" + std::to_string(delay);
        if (own && platform) {
            query += "&cut_platform=1";
        }
        site.setFaults(place.name, query);
    }
}

void Scenario::heal(Site &site, const toml::table & /*step*/)
{
    endBlind(site, "cut");
    const auto delay = site.deployment().shape().zoneDelayMs;
    for (const auto &place : site.deployment().servers()) {
        site.setFaults(place.name, "delay_ms=" + std::to_string(delay));
    }
}

void Scenario::beginBlind(Site &site, const std::string &cause)
{
    endBlind(site, cause);
    site.history().blind.push_back({cause, wallMicros(), std::numeric_limits<std::int64_t>::max()});
}

void Scenario::endBlind(Site &site, const std::string &cause)
{
    for (auto &span : site.history().blind) {
        if (span.name == cause && span.until == std::numeric_limits<std::int64_t>::max()) {
            span.until = wallMicros();
        }
    }
}

void Scenario::expectVersion(Site &site, const toml::table &step)
{
    const auto within = static_cast<int>(integer(step, "within_ms", kConvergeTimeoutMs));
    const auto names = servers(site, step);
    const auto wanted = names.empty() ? site.deployment().servers().size() : names.size();
    const auto seen
            = site.awaitVersion(text(step, "name", "expected version"), m_version, within, names);
    if (seen.millis.size() != wanted) {
        fail("version " + std::to_string(m_version) + " is in force on "
             + std::to_string(seen.millis.size()) + " of " + std::to_string(wanted) + " nodes");
    }
    m_report.convergences.push_back(seen);
}

/*! Compares a member of `/state`, by JSON pointer, with `equals`, `at_least` or `at_most`. */
void Scenario::expectState(Site &site, const toml::table &step)
{
    const auto pointer = nlohmann::json::json_pointer{text(step, "pointer")};
    for (const auto &server : servers(site, step)) {
        const auto state = site.state(server);
        const auto value = state.is_object() && state.contains(pointer) ? state.at(pointer)
                                                                        : nlohmann::json{};
        const auto place = server + " " + text(step, "pointer") + " is " + value.dump();
        if (const auto wanted = step["equals"].value<std::string>();
            wanted && value.dump() != *wanted) {
            fail(place + ", wanted " + *wanted);
        }
        const auto number = value.is_number() ? value.get<double>() : -1.0;
        if (const auto least = step["at_least"].value<double>(); least && number < *least) {
            fail(place + ", wanted at least " + std::to_string(*least));
        }
        if (const auto most = step["at_most"].value<double>();
            most && (number > *most || !value.is_number())) {
            fail(place + ", wanted at most " + std::to_string(*most));
        }
    }
}

/*! Sends one call by hand and compares status and reason. */
void Scenario::call(Site &site, const toml::table &step)
{
    const auto &place = site.deployment().server(text(step, "server"));
    httplib::Client client{place.callers.host, place.callers.port};
    client.set_read_timeout(std::chrono::seconds{10});
    const auto id = "hand-" + std::to_string(++m_calls);
    httplib::Headers headers{{"X-Call-Id", id}};
    for (const auto &account : site.deployment().accounts()) {
        if (account.name == text(step, "account")) {
            headers.emplace(celeryramp::kKeyHeader, "Bearer " + account.key);
        }
    }
    if (const auto key = text(step, "idempotency_key"); !key.empty()) {
        headers.emplace(celeryramp::kIdempotencyHeader, key);
    }
    const auto method = text(step, "method", "GET");
    const auto path = fillServices(text(step, "path"), site.deployment().shape());
    const auto result = method == "POST"
            ? client.Post(path, headers, text(step, "body"), "text/plain")
            : client.Get(path, headers);
    const auto status = result ? result->status : 0;
    const auto outcome
            = result ? result->get_header_value(celeryramp::kOutcomeHeader) : std::string{"lost"};
    const auto wanted = integer(step, "status", 200);
    if (status != wanted) {
        fail("call " + method + " " + path + " got " + std::to_string(status) + " " + outcome
             + ", wanted " + std::to_string(wanted));
    }
    if (const auto part = text(step, "outcome");
        !part.empty() && outcome.find(part) == std::string::npos) {
        fail("call " + method + " " + path + " got outcome '" + outcome + "', wanted " + part);
    }
}

/*! A scenario without a mechanism is good when the promise is seen broken. */
void Scenario::checkExpectedViolation()
{
    const auto wanted = m_table["expect"]["violation"].value_or(std::string{});
    if (wanted.empty()) {
        return;
    }
    auto &violations = m_report.violations;
    const auto isWanted = [&](const Violation &violation) { return violation.promise == wanted; };
    const auto n = std::count_if(violations.begin(), violations.end(), isWanted);
    if (n == 0) {
        fail("the promise " + wanted + " was kept without its mechanism");
    }
    m_report.expected = static_cast<std::size_t>(n);
    violations.erase(std::remove_if(violations.begin(), violations.end(), isWanted),
                     violations.end());
}

void Scenario::checkExpectations(Site &site)
{
    const auto *expect = m_table["expect"].as_table();
    if (expect == nullptr) {
        return;
    }
    double answered = 0;
    double lost = 0;
    double total = 0;
    for (const auto &send : site.history().sends) {
        total += 1;
        answered += send.outcome == "answered" && send.status < 500 ? 1 : 0;
        lost += send.outcome == "lost" ? 1 : 0;
    }
    const auto share = total > 0 ? answered / total : 0.0;
    if (const auto least = (*expect)["answered_share"].value<double>(); least && share < *least) {
        fail("answered share " + std::to_string(share) + ", wanted at least "
             + std::to_string(*least));
    }
    if (const auto most = (*expect)["lost"].value<double>(); most && lost > *most) {
        fail(std::to_string(lost) + " sends were lost, wanted at most " + std::to_string(*most));
    }
    if (const auto least = (*expect)["sends"].value<double>(); least && total < *least) {
        fail(std::to_string(total) + " sends, wanted at least " + std::to_string(*least));
    }
}

} // namespace standin
