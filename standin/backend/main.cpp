/*! @file
 *  Program around the backend server stand-in.
 */

#include <iostream>

#include <unistd.h>

#include <cxxopts.hpp>

#include "backend/backend.h"
#include "common/wait_for_end.h"

int main(int argc, char **argv)
{
    cxxopts::Options options{"standin-backend", "Stand-in of a backend server"};
    options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
            "server", "Its name", cxxopts::value<std::string>())(
            "zone", "Its zone", cxxopts::value<std::string>()->default_value(""))(
            "inside", "IP:port of its node's loopback listener",
            cxxopts::value<std::string>()->default_value(""))(
            "journal", "File to append what it runs to",
            cxxopts::value<std::string>()->default_value(""))(
            "slots", "Requests at a time when warm", cxxopts::value<int>()->default_value("12"))(
            "connections", "Connections at a time", cxxopts::value<int>()->default_value("110"))(
            "work-us", "Time of a request when warm", cxxopts::value<int>()->default_value("2000"))(
            "cold-factor", "Slowness when cold", cxxopts::value<double>()->default_value("8"))(
            "cold-slots", "Requests it bears when cold", cxxopts::value<int>()->default_value("2"))(
            "warm-ms", "Time until warm",
            cxxopts::value<int>()->default_value("2000"))("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("listen") == 0 || parsed.count("server") == 0) {
        std::cout << options.help() << '\n';
        return parsed.count("help") > 0 ? 0 : 2;
    }
    const auto address = celeryramp::parseAddress(parsed["listen"].as<std::string>());
    if (!address) {
        std::cerr << "standin-backend: --listen accepts an IP number with a port\n";
        return 2;
    }
    standin::blockEndingSignals();
    standin::BackendSettings settings;
    settings.server = parsed["server"].as<std::string>();
    settings.zone = parsed["zone"].as<std::string>();
    settings.journal = parsed["journal"].as<std::string>();
    if (const auto inside = celeryramp::parseAddress(parsed["inside"].as<std::string>())) {
        settings.inside = *inside;
    }
    settings.model.slots = parsed["slots"].as<int>();
    settings.model.work = celeryramp::Micros{parsed["work-us"].as<int>()};
    settings.model.coldFactor = parsed["cold-factor"].as<double>();
    settings.model.coldSlots = parsed["cold-slots"].as<int>();
    settings.model.warmTime = celeryramp::Millis{parsed["warm-ms"].as<int>()};
    standin::Backend backend{settings};
    celeryramp::HttpListenerSettings listener;
    listener.address = *address;
    listener.threads = static_cast<std::size_t>(parsed["connections"].as<int>());
    celeryramp::HttpListener server{listener, [&](const celeryramp::HttpRequest &request) {
                                        return backend.serve(request);
                                    }};
    if (const auto started = server.start(); !started) {
        std::cerr << "standin-backend: " << started.error().reason << '\n';
        return 1;
    }
    standin::waitForEnd();
    _exit(0);
}
