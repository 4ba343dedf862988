/*! @file
 *  The lab: runs a scripted scenario over stand-ins and nodes as separate processes.
 */

#include <csignal>
#include <iostream>
#include <thread>

#include <unistd.h>

#include <cxxopts.hpp>

#include "common/wait_for_end.h"
#include "lab/report.h"
#include "lab/scenario.h"

namespace {

constexpr int kStartTimeoutMs = 30'000;
constexpr int kExitInterrupted = 130;

/*! Ends all children and this process when asked to, whatever the scenario is doing. */
void endOnSignal(standin::Site &site)
{
    std::thread{[&site] {
        standin::waitForEnd();
        site.processes().killAll();
        _exit(kExitInterrupted);
    }}.detach();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"standin-lab", "Runs a scenario over a whole site"};
    options.add_options()("scenario", "TOML file", cxxopts::value<std::string>())(
            "deployment", "souss or hokkaido", cxxopts::value<std::string>()->default_value(""))(
            "programs", "Folder of the programs",
            cxxopts::value<std::string>()->default_value("build/bin"))(
            "certs", "Folder of the certificates",
            cxxopts::value<std::string>()->default_value("out/certs"))(
            "out", "Folder for logs and journals",
            cxxopts::value<std::string>()->default_value("out/lab"))(
            "port", "First port", cxxopts::value<std::uint16_t>()->default_value("21000"))(
            "seed", "Seed of the load",
            cxxopts::value<std::uint64_t>()->default_value("1"))("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("scenario") == 0) {
        std::cout << options.help() << '\n';
        return parsed.count("help") > 0 ? 0 : 2;
    }
    standin::blockEndingSignals();
    try {
        standin::Scenario scenario{parsed["scenario"].as<std::string>()};
        auto name = parsed["deployment"].as<std::string>();
        name = !name.empty() ? name : scenario.deployment();
        auto shape = standin::knownShape(name.empty() ? "souss" : name);
        scenario.adjust(shape);
        standin::Site site{shape,
                           {parsed["programs"].as<std::string>(), parsed["certs"].as<std::string>(),
                            parsed["out"].as<std::string>()},
                           parsed["port"].as<std::uint16_t>(),
                           scenario.tuning()};
        endOnSignal(site);
        if (!site.start(kStartTimeoutMs)) {
            std::cerr << "standin-lab: the site did not become ready; see " << site.out() << '\n';
            return 1;
        }
        const auto report = scenario.run(site, parsed["seed"].as<std::uint64_t>());
        site.processes().killAll();
        standin::printReport(std::cout, report, site.history());
        return report.violations.empty() && report.failures.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "standin-lab: " << error.what() << '\n';
        return 2;
    }
}
