/*! @file
 *  Fault soak: runs nodes as processes, injects faults from outside and checks the promises of the
 *  mesh from what callers and backends have seen. Exits with 1 if a promise was broken.
 */

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <map>

#include <cxxopts.hpp>

#include "observe/log.h"
#include "soak/soak.h"

/*! Violations that are printed of each promise. */
constexpr int kPrintedOfEach = 10;

int main(int argc, char **argv)
{
    using namespace standin::soak;
    cxxopts::Options options{"standin-soak", "Runs nodes under random faults and checks promises"};
    options.add_options()("seed", "Seed of the faults and the load",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
            "program", "Node program",
            cxxopts::value<std::string>()->default_value("build/bin/celeryramp-node"))(
            "out", "Directory for settings and logs",
            cxxopts::value<std::string>()->default_value("out/soak"))(
            "nodes", "Number of nodes", cxxopts::value<int>()->default_value("9"))(
            "callers", "Number of callers", cxxopts::value<int>()->default_value("30"))(
            "seconds", "Time in which faults begin", cxxopts::value<int>()->default_value("18"))(
            "without", "Mechanisms to switch off, to prove that the checks notice",
            cxxopts::value<std::vector<std::string>>()->default_value(""))("help",
                                                                           "Print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        std::signal(SIGPIPE, SIG_IGN);
        SoakOptions soak;
        soak.seed = parsed["seed"].as<std::uint64_t>();
        soak.program = parsed["program"].as<std::string>();
        soak.directory = parsed["out"].as<std::string>() + "/" + std::to_string(soak.seed);
        soak.nodes = parsed["nodes"].as<int>();
        soak.callers = parsed["callers"].as<int>();
        soak.length = celeryramp::Millis{parsed["seconds"].as<int>() * 1000};
        if (parsed.count("without") > 0) {
            soak.without = parsed["without"].as<std::vector<std::string>>();
        }
        std::filesystem::remove_all(soak.directory);
        std::filesystem::create_directories(soak.directory);
        const auto result = Soak{soak}.run();
        std::map<std::string, int> printed;
        for (const auto &violation : result.violations) {
            if (++printed[violation.promise] <= kPrintedOfEach) {
                std::cout << "violation: " << violation.promise << ": " << violation.detail << '\n';
            }
        }
        std::cout << "soak: seed " << soak.seed << ", " << result.requests << " requests, "
                  << result.served << " served, " << result.executions << " executions, "
                  << result.violations.size() << " violations\n";
        return result.violations.empty() ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "standin-soak: " << error.what() << '\n';
        return 2;
    }
}
