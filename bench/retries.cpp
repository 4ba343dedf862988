/*! @file
 *  Requests executed per request that the same calls need without failures, for chains whose last
 * server fails: one layer repeats within a budget, against repeating everywhere.
 */

#include <csignal>
#include <iostream>

#include "common/figure.h"
#include "common/site_run.h"

namespace {

constexpr std::uint16_t kPort = 27600;
constexpr double kBound = 1.1;
constexpr int kDeep = 17; /*!< Calls below the first: 18 in all. */
constexpr int kShallow = 3;

/*! Executed requests over those that the calls would execute without repeating. */
double amplification(int depth, bool budgeted)
{
    auto shape = standin::knownShape("souss");
    shape.without
            = budgeted ? std::vector<std::string>{} : std::vector<std::string>{"retry-budget"};
    const auto history = bench::runSite(
            "retries", shape, {500, 200, 1.0}, kPort,
            [depth](standin::Site &site) {
                bench::LoadShape load;
                load.seconds = 8.0;
                const auto base = "/chain/0?of=4&depth=" + std::to_string(depth);
                load.kinds = {
                        {{"name", "good"}, {"path", base}, {"target_ms", 400.0}},
                        {{"name", "bad"}, {"path", base + "&leaf_fail=1"}, {"target_ms", 400.0}}};
                const auto &account = site.deployment().accounts().front();
                load.accounts = {{{"name", account.name}, {"key", account.key}, {"rate", 8.0}}};
                return load;
            },
            [](standin::Site &) {});
    double reached = 0.0;
    for (const auto &send : history.sends) {
        reached += send.outcome == "answered" ? 1.0 : 0.0;
    }
    const auto executed = bench::countRuns(history, "start");
    const auto needed = double(history.sends.size()) * double(depth + 1);
    std::cerr << "  " << history.sends.size() << " calls, " << reached << " answered, " << executed
              << " requests executed\n";
    return executed / needed;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    bench::FigureList figures;
    try {
        figures.atMost("retries 18 deep, half the leaves fail, budgeted",
                       amplification(kDeep, true), "ratio", kBound);
        figures.atMost("retries 4 deep, half the leaves fail, budgeted",
                       amplification(kShallow, true), "ratio", kBound);
        figures.tell("retries 4 deep, half the leaves fail, repeated everywhere",
                     amplification(kShallow, false), "ratio");
    } catch (const std::exception &error) {
        std::cerr << "bench-retries: " << error.what() << '\n';
        return 1;
    }
    return figures.exitCode();
}
