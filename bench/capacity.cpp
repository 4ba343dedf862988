/*! @file
 *  Writes the tables of docs/CAPACITY.md and a plot per resource from measured slopes: reads the
 * points of `bench-convergence`, the figures of `bench-decisions` and `bench-path`.
 */

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>
#include <vector>

#include <cxxopts.hpp>
#include <nlohmann/json.hpp>

#include "common/quantiles.h"

namespace {

constexpr double kServers = 1400.0;
constexpr double kZones = 6.0;
constexpr double kCallsPerSecond = 59'000.0;
constexpr double kDepth = 18.0;
constexpr double kChangesPerDay = 2300.0;
constexpr double kReplacementsPerDay = 170.0;
constexpr double kSecondsPerDay = 86'400.0;
constexpr double kReadersPerZone = 2.0;
constexpr double kMebibyte = 1048576.0;

/*! Points of one measured quantity over fleet sizes. */
struct Series
{
    std::vector<double> sizes;
    std::vector<double> values;

    [[nodiscard]] bench::Line line() const { return bench::fitLine(sizes, values); }
    [[nodiscard]] double at(double size) const
    {
        const auto fitted = line();
        return fitted.offset + fitted.slope * size;
    }
    [[nodiscard]] double last() const { return values.empty() ? 0.0 : values.back(); }
};

struct Inputs
{
    std::map<std::string, Series> series;
    std::map<std::string, double> nanos; /*!< By benchmark name. */
    std::map<std::string, double> path; /*!< By figure name. */
};

Inputs readInputs(const std::string &slopes, const std::string &decisions, const std::string &path)
{
    Inputs inputs;
    std::ifstream points{slopes};
    for (std::string text; std::getline(points, text);) {
        std::istringstream fields{text};
        std::string kind;
        std::string name;
        double size = 0.0;
        double value = 0.0;
        std::getline(fields, kind, '\t');
        std::getline(fields, name, '\t');
        if (kind == "point" && fields >> size >> value) {
            inputs.series[name].sizes.push_back(size);
            inputs.series[name].values.push_back(value);
        }
    }
    std::ifstream in{decisions};
    const auto json = nlohmann::json::parse(in);
    for (const auto &entry : json.at("benchmarks")) {
        auto time = entry.at("cpu_time").get<double>();
        const auto unit = entry.at("time_unit").get<std::string>();
        time *= unit == "ms" ? 1e6 : unit == "us" ? 1e3 : 1.0;
        inputs.nanos[entry.at("name").get<std::string>()] = time;
    }
    std::ifstream figures{path};
    for (std::string text; std::getline(figures, text);) {
        constexpr std::size_t kNameWidth = 58;
        if (text.size() <= kNameWidth) {
            continue;
        }
        auto name = text.substr(0, kNameWidth);
        name.erase(name.find_last_not_of(' ') + 1);
        inputs.path[name] = std::strtod(text.c_str() + kNameWidth, nullptr);
    }
    return inputs;
}

/*! One row of the role table. */
struct Row
{
    std::string role;
    std::string quantity;
    double value = 0.0;
    std::string unit;
    double limit = 0.0; /*!< 0 for none. */
    std::string mechanism;
    std::string source;
};

std::string plain(double value)
{
    std::ostringstream out;
    out << std::setprecision(3) << value;
    return out.str();
}

std::string fitText(const Inputs &inputs, const std::string &name)
{
    const auto it = inputs.series.find(name);
    if (it == inputs.series.end()) {
        return "not measured";
    }
    const auto line = it->second.line();
    std::ostringstream out;
    out << "`bench-convergence`, sizes ";
    for (std::size_t i = 0; i < it->second.sizes.size(); ++i) {
        out << (i > 0 ? ", " : "") << it->second.sizes[i];
    }
    out << "; slope " << plain(line.slope) << ", offset " << plain(line.offset) << ", residual "
        << plain(line.residual);
    return out.str();
}

double secondsOf(const Inputs &inputs, const std::string &benchmark)
{
    const auto it = inputs.nanos.find(benchmark);
    return it == inputs.nanos.end() ? 0.0 : it->second / 1e9;
}

std::vector<Row> makeRows(const Inputs &inputs)
{
    std::vector<Row> rows;
    const auto at = [&](const char *name) { return inputs.series.at(name).at(kServers); };
    const auto flat = [&](const char *name) { return inputs.series.at(name).last(); };
    const auto perDay = 1.0 / kSecondsPerDay;
    const auto frame = flat("wire bytes of a frame");
    const auto config = at("configuration size");
    const auto changeBytes = flat("sent per change") * 2.0; // sent and received
    const auto changeRate = changeBytes * kChangesPerDay * perDay;
    rows.push_back({"plain node", "bytes sent and received, rest",
                    flat("frames of a plain node") * frame, "B/s", 2048.0,
                    "3 heartbeats each way in 2 s, 2 trees of announcements in 3 s",
                    "frames at the largest size (no growth expected: fan-outs are fixed); "
                            + fitText(inputs, "frames of a plain node")});
    rows.push_back({"plain node", "bytes for changes", changeRate, "B/s", 2048.0,
                    "announcement, pull, delta",
                    "largest size times 2,300 a day; " + fitText(inputs, "sent per change")});
    rows.push_back({"plain node", "bytes for replacements",
                    kReplacementsPerDay * perDay * 6.0 * frame
                            + config * perDay * kReplacementsPerDay / kServers * 2.0,
                    "B/s", 2048.0, "rumours on the tree; one whole document per start",
                    "estimated: 6 frames on each node per replacement; one configuration of "
                            + plain(config / 1024.0) + " KiB by the restarted node and its peer"});
    rows.push_back({"plain node", "CPU at rest", flat("CPU at rest"), "% core", 1.7,
                    "control, ledger and platform duties", fitText(inputs, "CPU at rest")});
    const auto build = secondsOf(inputs, "buildWholeSnapshot/1400");
    const auto mint = secondsOf(inputs, "mintShares/1400");
    const auto topology = secondsOf(inputs, "buildTopology/1400");
    rows.push_back({"plain node", "CPU for changes",
                    (build + mint + topology) * kChangesPerDay * perDay * 100.0, "% core", 1.7,
                    "whole validation of each version",
                    "`bench-decisions` buildWholeSnapshot/1400 " + plain(build * 1e3)
                            + " ms, mintShares/1400 " + plain(mint * 1e3)
                            + " ms, buildTopology/1400 " + plain(topology * 1e3) + " ms"});
    rows.push_back({"plain node", "memory", at("memory"), "MiB", 256.0,
                    "snapshot, 8 earlier documents, links", fitText(inputs, "memory")});
    rows.push_back({"plain node", "connections at rest", flat("links"), "links", 0.0,
                    "ring neighbours and tree parents; idle ones close after 60 s",
                    fitText(inputs, "links")});
    // Per other zone a first reader sends and gets one heartbeat in 6 s and one announcement in 15
    // s.
    const auto farFrames = 2.0 * (1.0 / 6.0 + 1.0 / 15.0);
    const auto readerFrames = flat("frames of a reader") + farFrames * (kZones - 3.0);
    rows.push_back({"reader", "bytes sent and received, rest", readerFrames * frame, "B/s", 2048.0,
                    "root of a tree; the first of a zone keeps in touch with 5 other zones",
                    "largest size with 2 other zones, plus " + plain(farFrames)
                            + " frames/s for each of 3 more; "
                            + fitText(inputs, "frames of a reader")});
    // A watch of 5 s, and one of the list of instances with a pause of 1 s behind it.
    const double readsOfReader = 1.0 / 5.0 + 1.0 / 6.0;
    rows.push_back({"reader", "platform reads", readsOfReader, "1/s", 0.0,
                    "a watch of the manifest and one of the list of instances, 5 s each",
                    "estimated from the two intervals"});
    rows.push_back({"platform", "reads at rest, all readers",
                    kZones * kReadersPerZone * readsOfReader, "1/s", 1000.0, "two readers a zone",
                    "estimated: 12 readers; measured with 6: "
                            + plain(flat("platform reads at rest")) + "/s"});
    rows.push_back({"platform", "reads in the worst second of a whole start",
                    at("platform reads at start"), "1/s", 1000.0,
                    "first reads spread over 8 s, left out when a peer had a confirmation",
                    fitText(inputs, "platform reads at start")});
    rows.push_back({"platform", "reads while every node is deaf", kServers / 10.0, "1/s", 1000.0,
                    "5 to 15 s of jitter between looks of a node without confirmation",
                    "estimated: 1,400 nodes over a mean of 10 s"});
    rows.push_back({"observer", "state", 3.0 * 64.0, "B", 0.0, "watches three predecessors",
                    "estimated: three entries of a map"});
    const auto outside = kCallsPerSecond / kDepth;
    const auto perNode = kCallsPerSecond / kServers;
    const auto entry = inputs.path.count("path CPU of the entry node per call") > 0
            ? inputs.path.at("path CPU of the entry node per call")
            : 0.0;
    const auto gate = inputs.path.count("path CPU of the gate node per call") > 0
            ? inputs.path.at("path CPU of the gate node per call")
            : 0.0;
    rows.push_back({"entry of calls", "CPU for calls, not control", perNode * entry / 1e6 * 100.0,
                    "% core", 0.0, "HTTP, key, admission, choice, peer frame",
                    "`bench-path` " + plain(entry) + " us a call times " + plain(perNode)
                            + " calls/s a node"});
    rows.push_back({"gate", "CPU for calls, not control", perNode * gate / 1e6 * 100.0, "% core",
                    0.0, "peer frame, queue, HTTP to the server",
                    "`bench-path` " + plain(gate) + " us a call"});
    rows.push_back(
            {"gate", "added latency, 99 in 100",
             inputs.path.count("path added p99") > 0 ? inputs.path.at("path added p99") : 0.0, "ms",
             1.1, "two hops", "`bench-path` at 2,000 calls/s into one node"});
    rows.push_back({"minter", "token requests, all accounts evenly", outside * 1.2 / kServers,
                    "1/s", 0.0, "one request for most outside calls",
                    "`bench-limits` 1.2 requests a call times " + plain(outside)
                            + " outside calls/s over 1,400 nodes"});
    const auto vote = secondsOf(inputs, "ledgerVote/1400");
    rows.push_back({"minter", "one account with a tenth of all outside calls",
                    outside * 0.1 * 1.2 / (kZones * 4.0), "1/s", 0.0, "up to four minters a zone",
                    "estimated: 24 minters share its requests"});
    rows.push_back({"ledger home", "votes, a third of outside calls keyed",
                    outside / 3.0 * 5.0 / kServers, "1/s", 0.0, "five homes a key",
                    "estimated share of keyed calls"});
    rows.push_back({"ledger home", "CPU of votes", outside / 3.0 * 5.0 / kServers * vote * 100.0,
                    "% core", 1.7, "rendezvous over the declared servers",
                    "`bench-decisions` ledgerVote/1400 " + plain(vote * 1e6) + " us"});
    rows.push_back({"ledger home", "records kept", outside / 3.0 * 5.0 / kServers * 300.0,
                    "records", 1e6, "retention 300 s", "estimated share of keyed calls"});
    rows.push_back({"restarted ledger home", "messages to recover", (kServers - 1.0) * 2.0,
                    "messages", 0.0, "records of every other server asked once",
                    "one request and one answer a server"});
    return rows;
}

std::string roleTable(const std::vector<Row> &rows)
{
    std::ostringstream out;
    out << "| role | quantity at 1,400 servers | value | limit | mechanism | source |\n"
        << "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &row : rows) {
        const bool over = row.limit > 0.0 && row.value > row.limit;
        out << "| " << row.role << " | " << row.quantity << " | " << plain(row.value) << ' '
            << row.unit << (over ? " **over**" : "") << " | "
            << (row.limit > 0.0 ? plain(row.limit) + " " + row.unit : "-") << " | " << row.mechanism
            << " | " << row.source << " |\n";
    }
    return out.str();
}

/*! Share of its limit that each bounded quantity uses at 1,400, 2,800 and 5,600 servers. */
std::string growthTable(const Inputs &inputs)
{
    struct Growing
    {
        const char *name;
        const char *series;
        double limit;
    };
    constexpr std::array kGrowing{
            Growing{"memory of a node, MiB", "memory", 256.0},
            Growing{"platform reads in a whole start, 1/s", "platform reads at start", 1000.0},
            Growing{"configuration size, MiB of 1 MiB a part", "configuration size", kMebibyte}};
    std::ostringstream out;
    out << "| quantity | 1,400 | 2,800 | 5,600 | limit | limit reached at |\n"
        << "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto &entry : kGrowing) {
        const auto &series = inputs.series.at(entry.series);
        const auto line = series.line();
        const auto scale = entry.limit == kMebibyte ? 1.0 / kMebibyte : 1.0;
        out << "| " << entry.name;
        for (const auto size : {1400.0, 2800.0, 5600.0}) {
            out << " | " << plain(series.at(size) * scale);
        }
        out << " | " << plain(entry.limit * scale) << " | ";
        if (line.slope > 0.0) {
            out << plain((entry.limit - line.offset) / line.slope) << " servers |\n";
        } else {
            out << "never, by this line |\n";
        }
    }
    return out.str();
}

void writePlot(const std::string &path, const std::string &title, const Series &series)
{
    constexpr double kWidth = 480.0;
    constexpr double kHeight = 240.0;
    constexpr double kMargin = 40.0;
    const auto line = series.line();
    const auto mostX = *std::max_element(series.sizes.begin(), series.sizes.end());
    const auto mostY
            = std::max(1e-9, 1.1 * *std::max_element(series.values.begin(), series.values.end()));
    const auto x = [&](double size) { return kMargin + size / mostX * (kWidth - 2.0 * kMargin); };
    const auto y = [&](double value) {
        return kHeight - kMargin - value / mostY * (kHeight - 2.0 * kMargin);
    };
    std::ofstream out{path};
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << kWidth << "\" height=\""
        << kHeight << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"" << kMargin
        << "\" y=\"20\">" << title << "</text>\n<path d=\"M" << x(0) << ' ' << y(mostY) << " L"
        << x(0) << ' ' << y(0) << " L" << x(mostX) << ' ' << y(0)
        << "\" stroke=\"black\" fill=\"none\"/>\n<path d=\"M" << x(0) << ' ' << y(line.offset)
        << " L" << x(mostX) << ' ' << y(line.offset + line.slope * mostX)
        << "\" stroke=\"steelblue\" fill=\"none\"/>\n";
    for (std::size_t i = 0; i < series.sizes.size(); ++i) {
        out << "<circle cx=\"" << x(series.sizes[i]) << "\" cy=\"" << y(series.values[i])
            << "\" r=\"4\" fill=\"firebrick\"/>\n<text x=\"" << x(series.sizes[i]) - 8.0
            << "\" y=\"" << kHeight - kMargin + 15.0 << "\">" << series.sizes[i] << "</text>\n";
    }
    out << "<text x=\"2\" y=\"" << y(mostY) << "\">" << plain(mostY) << "</text>\n</svg>\n";
}

std::string fileName(std::string name)
{
    std::replace(name.begin(), name.end(), ' ', '-');
    return name;
}

/*! Replaces what stands between the markers of a page. */
bool replaceBetween(const std::string &path, const std::string &mark, const std::string &text)
{
    std::ifstream in{path};
    std::stringstream whole;
    whole << in.rdbuf();
    auto page = whole.str();
    const auto begin = "<!-- begin " + mark + " -->\n";
    const auto from = page.find(begin);
    const auto to = page.find("<!-- end " + mark + " -->");
    if (from == std::string::npos || to == std::string::npos) {
        return false;
    }
    page.replace(from + begin.size(), to - from - begin.size(), text);
    std::ofstream{path} << page;
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options{"bench-capacity", "Tables of docs/CAPACITY.md"};
    options.add_options()("slopes", "",
                          cxxopts::value<std::string>()->default_value("out/slopes.tsv"))(
            "decisions", "", cxxopts::value<std::string>()->default_value("out/decisions.json"))(
            "path", "", cxxopts::value<std::string>()->default_value("out/path.txt"))(
            "page", "Page to write the tables into",
            cxxopts::value<std::string>()->default_value(""))(
            "plots", "Folder for plots", cxxopts::value<std::string>()->default_value(""));
    const auto parsed = options.parse(argc, argv);
    try {
        const auto inputs = readInputs(parsed["slopes"].as<std::string>(),
                                       parsed["decisions"].as<std::string>(),
                                       parsed["path"].as<std::string>());
        const auto rows = makeRows(inputs);
        const auto roles = roleTable(rows);
        const auto growth = growthTable(inputs);
        std::cout << roles << '\n' << growth;
        const auto page = parsed["page"].as<std::string>();
        if (!page.empty()
            && (!replaceBetween(page, "roles", roles) || !replaceBetween(page, "growth", growth))) {
            std::cerr << "bench-capacity: " << page << " lacks the markers\n";
            return 1;
        }
        if (const auto plots = parsed["plots"].as<std::string>(); !plots.empty()) {
            for (const auto &[name, series] : inputs.series) {
                writePlot(plots + "/" + fileName(name) + ".svg", name + " over nodes", series);
            }
        }
        const auto isOver = [](const Row &row) { return row.limit > 0.0 && row.value > row.limit; };
        return std::any_of(rows.begin(), rows.end(), isOver) ? 1 : 0;
    } catch (const std::exception &error) {
        std::cerr << "bench-capacity: " << error.what() << '\n';
        return 2;
    }
}
