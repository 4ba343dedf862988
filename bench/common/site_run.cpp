#include "common/site_run.h"

#include <stdexcept>
#include <thread>

namespace bench {

namespace {

constexpr int kStartTimeoutMs = 60'000;
constexpr int kCallerTimeoutMs = 120'000;

nlohmann::json targetsOf(const standin::Site &site, const std::vector<std::string> &zones)
{
    auto all = site.targets();
    if (zones.empty()) {
        return all;
    }
    auto targets = nlohmann::json::object();
    for (const auto &zone : zones) {
        targets[zone] = all.at(zone);
    }
    return targets;
}

} // namespace

standin::RunHistory runSite(const std::string &name, const standin::DeploymentShape &shape,
                            const standin::BackendTuning &tuning, std::uint16_t port,
                            const std::function<LoadShape(standin::Site &)> &makeLoad,
                            const std::function<void(standin::Site &)> &meanwhile)
{
    standin::Site site{shape, {"build/bin", "out/certs", "out/bench-" + name}, port, tuning};
    if (!site.start(kStartTimeoutMs)) {
        throw std::runtime_error{name + ": the site did not become ready"};
    }
    const auto load = makeLoad(site);
    const auto start = [&](const std::string &caller, const std::vector<nlohmann::json> &accounts) {
        site.startCaller(caller,
                         {{"name", caller},
                          {"targets", targetsOf(site, load.entryZones)},
                          {"accounts", accounts},
                          {"kinds", load.kinds},
                          {"seconds", load.seconds},
                          {"seed", 1},
                          {"threads_per_zone", load.threadsPerZone}});
    };
    std::vector<std::string> callers{"caller"};
    start(callers.front(), load.accounts);
    for (const auto &account : load.apart) {
        callers.push_back("caller-" + account.at("name").get<std::string>());
        start(callers.back(), {account});
    }
    meanwhile(site);
    for (const auto &caller : callers) {
        if (site.processes().wait(caller, kCallerTimeoutMs) != 0) {
            throw std::runtime_error{"a caller did not end well"};
        }
    }
    site.processes().killAll();
    site.readJournals();
    return site.history();
}

LoadShape lookupLoad(standin::Site &site, double seconds, double rateShare)
{
    LoadShape load;
    load.seconds = seconds;
    load.kinds = {{{"name", "lookup"},
                   {"path", "/" + site.deployment().shape().services[0]},
                   {"target_ms", 50.0}}};
    for (const auto &account : site.deployment().accounts()) {
        load.accounts.push_back(
                {{"name", account.name}, {"key", account.key}, {"rate", account.rate * rateShare}});
    }
    return load;
}

void forEachSite(const std::string &mechanism,
                 const std::function<void(const std::string &site, bool with,
                                          const standin::DeploymentShape &shape)> &measure)
{
    for (const auto *name : {"souss", "hokkaido"}) {
        for (const bool with : {true, false}) {
            auto shape = standin::knownShape(name);
            if (!with) {
                shape.without = {mechanism};
            }
            measure(name, with, shape);
        }
    }
}

double inTargetShare(const standin::RunHistory &history, const std::string &account)
{
    double all = 0.0;
    double good = 0.0;
    for (const auto &send : history.sends) {
        if (!account.empty() && send.account != account) {
            continue;
        }
        all += 1.0;
        const auto ms = double(send.endAt - send.dueAt) / 1000.0;
        good += send.outcome == "answered" && send.status < 500 && ms <= send.targetMs ? 1.0 : 0.0;
    }
    return all > 0.0 ? good / all : 1.0;
}

double countRuns(const standin::RunHistory &history, const std::string &event)
{
    double n = 0.0;
    for (const auto &run : history.runs) {
        n += run.event == event ? 1.0 : 0.0;
    }
    return n;
}

void Pace::until(int millis) const
{
    std::this_thread::sleep_until(m_start + std::chrono::milliseconds{millis});
}

} // namespace bench
