/*! @file
 *  Overload of cold servers: requests beyond what a server bears, after a restart and after it
 * turned cold without warning, with the ramp against all slots at once.
 */

#include <csignal>
#include <iostream>

#include "common/figure.h"
#include "common/site_run.h"

namespace {

constexpr std::uint16_t kPort = 27400;

bench::LoadShape loadOf(standin::Site &site)
{
    auto load = bench::lookupLoad(site, 12.0, 0.8);
    load.threadsPerZone = 48;
    return load;
}

void makeCold(standin::Site &site)
{
    const bench::Pace pace;
    const auto &service = site.deployment().shape().services[0];
    pace.until(4000);
    site.killBackend(service + "-a-1");
    pace.until(4500);
    site.startBackend(service + "-a-1");
    pace.until(8000);
    site.backendControl(service + "-b-1", "cold");
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    bench::FigureList figures;
    try {
        bench::forEachSite("ramp", [&](const auto &site, bool ramped, const auto &shape) {
            const auto history
                    = bench::runSite("ramp", shape, {4000, 3000, 8.0}, kPort, loadOf, makeCold);
            double newSheds = 0.0;
            for (const auto &violation : standin::checkHistory(history)) {
                newSheds += violation.promise == "cold-server" ? 1.0 : 0.0;
            }
            const auto what = "ramp " + site + " " + (ramped ? "ramp" : "all slots at once") + ", ";
            if (ramped) {
                figures.atMost(what + "too much for a new server", newSheds, "requests", 0.0);
            } else {
                figures.tell(what + "too much for a new server", newSheds, "requests");
            }
            figures.tell(what + "too much in all", bench::countRuns(history, "shed"), "requests");
            figures.tell(what + "answered in target", bench::inTargetShare(history, ""), "share");
        });
    } catch (const std::exception &error) {
        std::cerr << "bench-ramp: " << error.what() << '\n';
        return 1;
    }
    return figures.exitCode();
}
