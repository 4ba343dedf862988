/*! @file
 *  Program around the caller stand-in.
 */

#include <csignal>
#include <fstream>
#include <iostream>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "caller/caller.h"

int main(int argc, char **argv)
{
    cxxopts::Options options{"standin-caller", "Open-loop load of client accounts"};
    options.add_options()("plan", "JSON file that says what to send",
                          cxxopts::value<std::string>())(
            "journal", "File to append each send to",
            cxxopts::value<std::string>()->default_value(""))("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("plan") == 0) {
        std::cout << options.help() << '\n';
        return parsed.count("help") > 0 ? 0 : 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        std::ifstream in{parsed["plan"].as<std::string>()};
        auto plan = standin::readCallPlan(nlohmann::json::parse(in));
        standin::Caller caller{std::move(plan), parsed["journal"].as<std::string>()};
        caller.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "standin-caller: " << error.what() << '\n';
        return 2;
    }
}
