/*! @file
 *  Added latency of the path: caller, entry node, gate, server against caller, server, side by side
 * in one run; CPU per call and memory per node; and the most one node serves.
 */

#include <csignal>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <httplib.h>

#include "common/figure.h"
#include "common/open_loop.h"
#include "common/quantiles.h"
#include "lab/site.h"
#include "transport/headers.h"

namespace {

constexpr double kRate = 2000.0;
constexpr std::size_t kWorkers = 48;
constexpr int kStartTimeoutMs = 30'000;
constexpr double kAddedBoundMs = 1.1;
constexpr double kFullRate = 8000.0;
constexpr double kMicros = 1e6;

/*! One zone, two services, so that each call goes from an entry node to another server's gate. */
standin::DeploymentShape shape()
{
    standin::DeploymentShape shape;
    shape.name = "path";
    shape.zones = {"a"};
    shape.services = {"stock", "orders"};
    shape.serversPerService = 1;
    shape.slots = 32;
    shape.rate = 1e6;
    shape.callerThreads = 128;
    return shape;
}

bench::SendCall senderTo(const celeryramp::Address &address, const std::string &path,
                         const std::string &key)
{
    auto client = std::make_shared<httplib::Client>(address.host, address.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_read_timeout(std::chrono::seconds{5});
    const httplib::Headers headers{{celeryramp::kKeyHeader, "Bearer " + key}, {"X-Call-Id", "b"}};
    return [client, path, headers] {
        const auto result = client->Get(path, headers);
        return result && result->status == 200 && !result->has_header(celeryramp::kOutcomeHeader);
    };
}

struct Spent
{
    double cpu = 0.0;
    double memory = 0.0;
};

Spent spentBy(const standin::Site &site, const std::string &server)
{
    const auto state = site.state(server);
    return {state.at("process").at("cpu_seconds").get<double>(),
            state.at("process").at("resident_bytes").get<double>()};
}

void warmUp(standin::Site &site, const std::string &key, const standin::ServerPlace &entry)
{
    // The gate's limit grows by one in 400 ms when it is in use.
    static_cast<void>(bench::runOpenLoop(kRate, 8.0, kWorkers,
                                         [&] { return senderTo(entry.callers, "/orders", key); }));
    static_cast<void>(site);
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"bench-path", "Added latency of the path"};
    options.add_options()("seconds", "Length of one run",
                          cxxopts::value<double>()->default_value("6"))(
            "programs", "", cxxopts::value<std::string>()->default_value("build/bin"))(
            "certs", "", cxxopts::value<std::string>()->default_value("out/certs"))(
            "port", "", cxxopts::value<std::uint16_t>()->default_value("25500"));
    const auto parsed = options.parse(argc, argv);
    const auto seconds = parsed["seconds"].as<double>();
    std::signal(SIGPIPE, SIG_IGN);
    standin::Site site{shape(),
                       {parsed["programs"].as<std::string>(), parsed["certs"].as<std::string>(),
                        "out/bench-path"},
                       parsed["port"].as<std::uint16_t>(),
                       {0, 0, 1.0}};
    if (!site.start(kStartTimeoutMs)) {
        std::cerr << "bench-path: the site did not become ready\n";
        return 1;
    }
    bench::FigureList figures;
    const auto &entry = site.deployment().server("stock-a-1");
    const auto &gate = site.deployment().server("orders-a-1");
    const auto &key = site.deployment().accounts().front().key;
    std::this_thread::sleep_for(std::chrono::seconds{2});
    warmUp(site, key, entry);

    const auto entryBefore = spentBy(site, entry.name);
    const auto gateBefore = spentBy(site, gate.name);
    auto direct = bench::runOpenLoop(kRate, seconds, kWorkers,
                                     [&] { return senderTo(gate.backend, "/orders", key); });
    const auto entryMiddle = spentBy(site, entry.name);
    auto mesh = bench::runOpenLoop(kRate, seconds, kWorkers,
                                   [&] { return senderTo(entry.callers, "/orders", key); });
    const auto entryAfter = spentBy(site, entry.name);
    const auto gateAfter = spentBy(site, gate.name);
    const auto calls = double(mesh.millis.size());
    figures.tell("path calls sent each way", kRate * seconds, "calls");
    figures.atMost("path failed calls through the mesh", double(mesh.failed), "calls", 0.0);
    for (const auto q : {0.5, 0.99, 0.999}) {
        const auto name = "p" + std::to_string(q * 100).substr(0, q < 0.999 ? 2 : 4);
        const auto own = bench::quantile(direct.millis, q);
        const auto through = bench::quantile(mesh.millis, q);
        figures.tell("path direct " + name, own, "ms");
        figures.tell("path through the mesh " + name, through, "ms");
        if (q == 0.99) {
            figures.atMost("path added " + name, through - own, "ms", kAddedBoundMs);
        } else {
            figures.tell("path added " + name, through - own, "ms");
        }
    }
    figures.tell("path CPU of the entry node per call",
                 (entryAfter.cpu - entryMiddle.cpu) / calls * kMicros, "us");
    figures.tell("path CPU of the gate node per call",
                 (gateAfter.cpu - gateBefore.cpu) / calls * kMicros, "us");
    figures.tell("path idle CPU of the entry node",
                 (entryMiddle.cpu - entryBefore.cpu) / seconds * 100.0, "%core");
    figures.atMost("path memory of the entry node", entryAfter.memory / 1048576.0, "MiB", 256.0);
    figures.atMost("path memory of the gate node", gateAfter.memory / 1048576.0, "MiB", 256.0);

    const auto full = bench::runOpenLoop(kFullRate, seconds, 112,
                                         [&] { return senderTo(entry.callers, "/orders", key); });
    figures.atLeast("path calls answered per second, 8000 asked",
                    double(full.millis.size()) / full.seconds, "1/s", kFullRate * 0.99);
    figures.tell("path refused or failed at 8000 per second", double(full.failed), "calls");
    return figures.exitCode();
}
