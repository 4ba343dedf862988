/*! @file
 *  Program around the platform stand-in.
 */

#include <iostream>

#include <unistd.h>

#include <cxxopts.hpp>

#include "common/wait_for_end.h"
#include "core/address.h"
#include "platform/platform.h"

int main(int argc, char **argv)
{
    cxxopts::Options options{"standin-platform", "Stand-in of the configuration service"};
    options.add_options()("listen", "IP:port", cxxopts::value<std::string>())(
            "threads", "Requests and watches held at a time",
            cxxopts::value<std::size_t>()->default_value("64"))("help", "Print this help");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0 || parsed.count("listen") == 0) {
        std::cout << options.help() << '\n';
        return parsed.count("help") > 0 ? 0 : 2;
    }
    const auto address = celeryramp::parseAddress(parsed["listen"].as<std::string>());
    if (!address) {
        std::cerr << "standin-platform: --listen accepts an IP number with a port\n";
        return 2;
    }
    standin::blockEndingSignals();
    standin::Platform platform;
    celeryramp::HttpListenerSettings settings;
    settings.address = *address;
    settings.threads = parsed["threads"].as<std::size_t>();
    settings.maxBodyBytes = 16 * 1024 * 1024;
    settings.keepAlive = celeryramp::Millis{30'000};
    celeryramp::HttpListener listener{settings, [&](const celeryramp::HttpRequest &request) {
                                          return platform.serve(request);
                                      }};
    if (const auto started = listener.start(); !started) {
        std::cerr << "standin-platform: " << started.error().reason << '\n';
        return 1;
    }
    standin::waitForEnd();
    _exit(0); // watches may still wait; nothing here is worth keeping
}
