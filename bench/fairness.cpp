/*! @file
 *  How the worst-served client account fares while another sends far more than the servers bear:
 *  accounts in turn against first come first served.
 */

#include <algorithm>
#include <csignal>
#include <iostream>

#include "common/figure.h"
#include "common/quantiles.h"
#include "common/site_run.h"

namespace {

constexpr std::uint16_t kPort = 27200;
constexpr double kWorstBound = 0.95; /*!< Of the median account's share. */
constexpr double kSmallRate = 40.0;
constexpr double kFloodRate = 1500.0;

bench::LoadShape loadOf(standin::Site &site)
{
    auto load = bench::lookupLoad(site, 8.0, 1.0);
    load.threadsPerZone = 80;
    for (auto &account : load.accounts) {
        account["rate"] = kSmallRate;
    }
    load.apart = {load.accounts.front()};
    load.apart.front()["rate"] = kFloodRate;
    load.accounts.erase(load.accounts.begin());
    return load;
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    bench::FigureList figures;
    try {
        bench::forEachSite("fairness", [&](const auto &site, bool fair, auto shape) {
            shape.rate = 1000.0; // the servers are the limit here, not the rates
            shape.slots = 4;
            shape.callerThreads = 160; // each connection holds one
            const auto history = bench::runSite("fairness", shape, {10'000, 500, 2.0}, kPort,
                                                loadOf, [](standin::Site &) {});
            std::vector<double> shares;
            for (int i = 2; i <= shape.accounts; ++i) {
                shares.push_back(bench::inTargetShare(history, "account-" + std::to_string(i)));
            }
            const auto worst = *std::min_element(shares.begin(), shares.end());
            const auto median = bench::quantile(shares, 0.5);
            const auto ratio = median > 0 ? worst / median : 0.0;
            const auto what = "fairness " + site + " " + (fair ? "in turn" : "first come") + ", ";
            figures.tell(what + "median account in target", median, "share");
            if (fair) {
                figures.atLeast(what + "worst of median", ratio, "ratio", kWorstBound);
            } else {
                figures.tell(what + "worst of median", ratio, "ratio");
            }
            figures.tell(what + "flooder in target", bench::inTargetShare(history, "account-1"),
                         "share");
        });
    } catch (const std::exception &error) {
        std::cerr << "bench-fairness: " << error.what() << '\n';
        return 1;
    }
    return figures.exitCode();
}
