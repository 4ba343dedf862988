/*! @file
 *  Control at several sizes: time until a version is in force everywhere, control bytes, platform
 * reads, processor time and memory per node, detection of dead nodes; and the slope of each over
 * the sizes. Baselines in the same run: every node watches the platform, and plain gossip.
 */

#include <array>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>

#include "common/figure.h"
#include "common/journal.h"
#include "common/quantiles.h"
#include "lab/site.h"

namespace {

using standin::Site;

constexpr int kStartTimeoutMs = 60'000;
constexpr int kConvergeTimeoutMs = 10'000;
constexpr double kConvergenceBoundMs = 10'000.0;
constexpr double kBytesBound = 2048.0;
constexpr double kCpuBound = 1.7;
constexpr double kMemoryBoundMiB = 256.0;
constexpr double kPlatformBound = 1000.0;
constexpr double kDetectionBoundMs = 10'000.0;
constexpr double kMebibyte = 1048576.0;

/*! Figures of one size and way of distribution. */
struct Measured
{
    int nodes = 0;
    double startSeconds = 0.0;
    double startReadsPerSecond = 0.0; /*!< Most in any second of a whole-fleet start. */
    double idleReadsPerSecond = 0.0;
    double bytesPerSecond = 0.0; /*!< Sent per node at rest, all headers included. */
    double changeBytes = 0.0; /*!< Sent per node and change. */
    double cpuPercent = 0.0;
    double memoryMiB = 0.0;
    double links = 0.0;
    double convergedP50 = 0.0;
    double convergedP99 = 0.0;
    double convergedMax = 0.0;
    double detectionMs = 0.0;
    double falseSuspicions = 0.0;
    double configBytes = 0.0;
    double framesPlain = 0.0; /*!< Sent and received per second by a node that reads no platform. */
    double framesReader = 0.0; /*!< The same by a reader. */
    double frameBytes
            = 0.0; /*!< On the wire per frame, all headers and acknowledgements included. */
};

/*! Bytes that the loopback interface sent so far: whole packets with TLS, TCP and IP. */
double loopbackBytes()
{
    std::ifstream in{"/proc/net/dev"};
    for (std::string line; std::getline(in, line);) {
        const auto at = line.find("lo:");
        if (at == std::string::npos) {
            continue;
        }
        std::istringstream fields{line.substr(at + 3)};
        double received = 0.0;
        fields >> received;
        return received;
    }
    return 0.0;
}

double readsOf(Site &site)
{
    return site.askPlatform("/admin/stats").at("reads").get<double>();
}

struct Totals
{
    double cpu = 0.0;
    double memory = 0.0;
    double links = 0.0;
    double suspicions = 0.0;
    double frames = 0.0; /*!< Sent. */
    double framesPlain = 0.0; /*!< Sent and received. */
    double framesReader = 0.0;
    double plain = 0.0; /*!< Nodes that read no platform. */
    double readers = 0.0;
};

Totals totalsOf(const Site &site, const std::vector<standin::ServerPlace> &servers)
{
    Totals totals;
    for (const auto &place : servers) {
        const auto state = site.state(place.name);
        if (!state.is_object()) {
            continue;
        }
        totals.cpu += state.at("process").at("cpu_seconds").get<double>();
        totals.memory += state.at("process").at("resident_bytes").get<double>();
        totals.links += state.at("links").get<double>();
        const auto &metrics = state.at("metrics");
        totals.suspicions += metrics.value("suspicions_total", 0.0);
        const auto sent = metrics.value("peer_frames_total{direction=\"sent\"}", 0.0);
        const auto both = sent + metrics.value("peer_frames_total{direction=\"received\"}", 0.0);
        const bool reads = state.at("reader").get<bool>();
        totals.frames += sent;
        (reads ? totals.framesReader : totals.framesPlain) += both;
        (reads ? totals.readers : totals.plain) += 1.0;
    }
    return totals;
}

void measureRest(Site &site, double seconds, Measured &measured)
{
    const auto &servers = site.deployment().servers();
    const auto before = totalsOf(site, servers);
    const auto readsBefore = readsOf(site);
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    const auto bytesBefore = loopbackBytes();
    std::this_thread::sleep_for(std::chrono::duration<double>{seconds});
    const auto bytes = loopbackBytes() - bytesBefore;
    measured.idleReadsPerSecond = (readsOf(site) - readsBefore) / (seconds + 0.5);
    const auto after = totalsOf(site, servers);
    const auto n = double(servers.size());
    measured.bytesPerSecond = bytes / seconds / n;
    measured.cpuPercent = (after.cpu - before.cpu) / (seconds + 0.5) / n * 100.0;
    measured.memoryMiB = after.memory / n / kMebibyte;
    measured.links = after.links / n;
    measured.falseSuspicions = after.suspicions;
    const auto time = seconds + 0.5;
    measured.framesPlain
            = (after.framesPlain - before.framesPlain) / time / std::max(1.0, after.plain);
    measured.framesReader
            = (after.framesReader - before.framesReader) / time / std::max(1.0, after.readers);
    measured.frameBytes = bytes / seconds / std::max(1.0, (after.frames - before.frames) / time);
}

void measureChanges(Site &site, int changes, Measured &measured)
{
    std::vector<double> all;
    double bytes = 0.0;
    for (int i = 0; i < changes; ++i) {
        site.deployment().touch();
        const auto before = loopbackBytes();
        const auto version = site.publish();
        // Nothing is asked of the nodes while the change travels; they tell its time afterwards.
        std::this_thread::sleep_for(std::chrono::milliseconds{1000});
        bytes += std::max(0.0, loopbackBytes() - before - measured.bytesPerSecond * measured.nodes);
        const auto seen = site.awaitVersion("change", version, kConvergeTimeoutMs, {});
        for (const auto &[server, ms] : seen.millis) {
            all.push_back(ms);
        }
        if (seen.millis.size() != site.deployment().servers().size()) {
            all.push_back(kConvergeTimeoutMs * 10.0); // somebody never got it
        }
    }
    measured.changeBytes = bytes / changes / measured.nodes;
    measured.convergedP50 = bench::quantile(all, 0.5);
    measured.convergedP99 = bench::quantile(all, 0.99);
    measured.convergedMax = bench::quantile(all, 1.0);
}

/*! Kills one node and waits until a node of the same zone counts it as down. */
void measureDetection(Site &site, Measured &measured)
{
    const auto &servers = site.deployment().servers();
    const auto &victim = servers[servers.size() / 2];
    std::string witness;
    for (const auto &place : servers) {
        if (place.zone == victim.zone && place.name != victim.name) {
            witness = place.name;
            break;
        }
    }
    const auto start = standin::wallMicros();
    site.killNode(victim.name);
    while (double(standin::wallMicros() - start) / 1000.0 < kDetectionBoundMs * 2) {
        const auto state = site.state(witness);
        if (state.is_object() && state.at("fleet").at("down").size() == 1) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{20});
    }
    measured.detectionMs = double(standin::wallMicros() - start) / 1000.0;
}

Measured measure(int nodes, const std::string &distribution, const cxxopts::ParseResult &options)
{
    auto shape = standin::fleetShape(nodes);
    shape.distribution = distribution;
    Site site{shape,
              {options["programs"].as<std::string>(), options["certs"].as<std::string>(),
               "out/bench-convergence"},
              options["port"].as<std::uint16_t>(),
              {}};
    Measured measured;
    measured.nodes = nodes;
    const auto start = standin::wallMicros();
    if (!site.start(kStartTimeoutMs, false)) {
        throw std::runtime_error{std::to_string(nodes) + " nodes did not become ready"};
    }
    measured.startSeconds = double(standin::wallMicros() - start) / 1e6;
    measured.startReadsPerSecond
            = site.askPlatform("/admin/stats").at("most_per_second").get<double>();
    for (const auto &[name, text] : site.deployment().parts()) {
        measured.configBytes += double(text.size());
    }
    std::this_thread::sleep_for(std::chrono::seconds{3});
    measureRest(site, options["rest"].as<double>(), measured);
    measureChanges(site, options["changes"].as<int>(), measured);
    if (distribution == "tree") {
        measureDetection(site, measured);
    }
    return measured;
}

void tell(bench::FigureList &figures, const Measured &m, const std::string &way)
{
    const auto name = way + " " + std::to_string(m.nodes) + " nodes ";
    const bool own = way == "tree";
    const auto bounded
            = [&](const std::string &what, double value, const std::string &unit, double bound) {
                  if (own) {
                      figures.atMost(name + what, value, unit, bound);
                  } else {
                      figures.tell(name + what, value, unit);
                  }
              };
    figures.tell(name + "in force p50", m.convergedP50, "ms");
    figures.tell(name + "in force p99", m.convergedP99, "ms");
    bounded("in force max", m.convergedMax, "ms", kConvergenceBoundMs);
    bounded("sent at rest", m.bytesPerSecond, "B/s", kBytesBound);
    figures.tell(name + "sent per change", m.changeBytes, "B");
    bounded("platform reads at rest", m.idleReadsPerSecond, "1/s", kPlatformBound);
    bounded("platform reads, most in a second of start", m.startReadsPerSecond, "1/s",
            kPlatformBound);
    figures.tell(name + "whole start", m.startSeconds, "s");
    bounded("CPU at rest", m.cpuPercent, "%core", kCpuBound);
    bounded("memory", m.memoryMiB, "MiB", kMemoryBoundMiB);
    figures.tell(name + "links", m.links, "links");
    bounded("sent and received, plain node", m.framesPlain * m.frameBytes, "B/s", kBytesBound);
    bounded("sent and received, reader", m.framesReader * m.frameBytes, "B/s", kBytesBound);
    if (own) {
        bounded("detection of a killed node", m.detectionMs, "ms", kDetectionBoundMs);
        figures.tell(name + "suspicions without cause", m.falseSuspicions, "");
    }
}

struct Slope
{
    const char *name;
    double Measured::*member;
    const char *unit;
};

constexpr std::array kSlopes{
        Slope{"sent at rest", &Measured::bytesPerSecond, "B/s"},
        Slope{"sent per change", &Measured::changeBytes, "B"},
        Slope{"CPU at rest", &Measured::cpuPercent, "%core"},
        Slope{"memory", &Measured::memoryMiB, "MiB"},
        Slope{"links", &Measured::links, "links"},
        Slope{"in force p99", &Measured::convergedP99, "ms"},
        Slope{"platform reads at rest", &Measured::idleReadsPerSecond, "1/s"},
        Slope{"platform reads at start", &Measured::startReadsPerSecond, "1/s"},
        Slope{"configuration size", &Measured::configBytes, "B"},
        Slope{"frames of a plain node", &Measured::framesPlain, "1/s"},
        Slope{"frames of a reader", &Measured::framesReader, "1/s"},
        Slope{"wire bytes of a frame", &Measured::frameBytes, "B"}};

/*! Writes `name, size, value` lines and the fitted line of each, for the capacity page. */
void writeSlopes(const std::string &path, const std::vector<Measured> &all,
                 bench::FigureList &figures)
{
    std::ofstream out{path};
    std::vector<double> sizes;
    sizes.reserve(all.size());
    for (const auto &m : all) {
        sizes.push_back(double(m.nodes));
    }
    for (const auto &slope : kSlopes) {
        std::vector<double> values;
        for (const auto &m : all) {
            values.push_back(m.*(slope.member));
            out << "point\t" << slope.name << '\t' << m.nodes << '\t' << values.back() << '\n';
        }
        if (all.size() < 2) {
            continue;
        }
        const auto line = bench::fitLine(sizes, values);
        out << "line\t" << slope.name << '\t' << line.slope << '\t' << line.offset << '\t'
            << line.residual << '\t' << slope.unit << '\n';
        figures.tell(std::string{"slope per node of "} + slope.name, line.slope, slope.unit);
    }
}

std::vector<int> sizesOf(const std::string &list)
{
    std::vector<int> sizes;
    std::istringstream in{list};
    for (std::string item; std::getline(in, item, ',');) {
        sizes.push_back(std::stoi(item));
    }
    return sizes;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"bench-convergence", "Control traffic at several sizes"};
    options.add_options()("sizes", "Numbers of nodes",
                          cxxopts::value<std::string>()->default_value("12,50,100,200"))(
            "ways", "tree, watch, gossip",
            cxxopts::value<std::string>()->default_value("tree,watch,gossip"))(
            "rest", "Seconds at rest", cxxopts::value<double>()->default_value("10"))(
            "changes", "Changes published", cxxopts::value<int>()->default_value("5"))(
            "slopes", "File for points and fitted lines",
            cxxopts::value<std::string>()->default_value("out/slopes.tsv"))(
            "programs", "", cxxopts::value<std::string>()->default_value("build/bin"))(
            "certs", "", cxxopts::value<std::string>()->default_value("out/certs"))(
            "port", "", cxxopts::value<std::uint16_t>()->default_value("26000"));
    const auto parsed = options.parse(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    bench::FigureList figures;
    std::vector<Measured> own;
    std::istringstream ways{parsed["ways"].as<std::string>()};
    try {
        for (std::string way; std::getline(ways, way, ',');) {
            for (const auto nodes : sizesOf(parsed["sizes"].as<std::string>())) {
                const auto measured = measure(nodes, way, parsed);
                tell(figures, measured, way);
                if (way == "tree") {
                    own.push_back(measured);
                }
            }
        }
    } catch (const std::exception &error) {
        std::cerr << "bench-convergence: " << error.what() << '\n';
        return 1;
    }
    writeSlopes(parsed["slopes"].as<std::string>(), own, figures);
    return figures.exitCode();
}
