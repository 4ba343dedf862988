/*! @file
 *  The node daemon: reads settings, wires the duties, waits for signals.
 */

#include <csignal>
#include <iostream>
#include <thread>

#include <unistd.h>

#include <cxxopts.hpp>

#include "node/node.h"
#include "observe/log.h"

namespace {

constexpr int kExitSettings = 2;
constexpr int kExitStart = 1;
constexpr int kExitSuperseded = 3;
constexpr celeryramp::Millis kSupersededPoll{200};

/*! Waits for a signal of the set, at most as long as told. @return The signal, or 0. */
int waitForSignal(const sigset_t &signals, celeryramp::Millis timeout)
{
    const auto n = timeout.count();
    const timespec wait{static_cast<time_t>(n / 1000), static_cast<long>(n % 1000) * 1'000'000};
    const int signal = sigtimedwait(&signals, nullptr, &wait);
    return signal > 0 ? signal : 0;
}

int run(celeryramp::NodeSettings settings, const sigset_t &signals)
{
    celeryramp::startLog(settings.logLevel);
    celeryramp::Node node{std::move(settings)};
    if (const auto started = node.start(); !started) {
        std::cerr << "celeryrampd: " << started.error().reason << '\n';
        return kExitStart;
    }
    while (waitForSignal(signals, kSupersededPoll) == 0) {
        if (node.isSuperseded()) {
            std::cerr << "celeryrampd: another process holds this slot\n";
            return kExitSuperseded;
        }
    }
    std::thread second{[&signals] {
        int signal = 0;
        sigwait(&signals, &signal);
        _exit(kExitStart);
    }};
    second.detach();
    node.leave();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"celeryrampd", "The node beside one backend server"};
    options.add_options()("settings", "Settings file (TOML)", cxxopts::value<std::string>())(
            "check-settings", "Check the settings file and end")("version", "Print the version")(
            "help", "Print this help");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            std::cout << options.help() << '\n';
            return 0;
        }
        if (parsed.count("version") > 0) {
            std::cout << "celeryrampd " << CELERYRAMP_VERSION << '\n';
            return 0;
        }
        if (parsed.count("settings") == 0) {
            std::cerr << "celeryrampd: --settings FILE is needed; see --help\n";
            return kExitSettings;
        }
        auto settings = celeryramp::loadNodeSettings(parsed["settings"].as<std::string>());
        if (!settings) {
            std::cerr << settings.error().text << '\n';
            return kExitSettings;
        }
        if (parsed.count("check-settings") > 0) {
            std::cout << "settings are good\n";
            return 0;
        }
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        std::signal(SIGPIPE, SIG_IGN);
        return run(std::move(settings.value()), signals);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "celeryrampd: " << error.what() << "; see --help\n";
        return kExitSettings;
    }
}
