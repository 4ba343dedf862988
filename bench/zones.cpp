/*! @file
 *  Service while an availability zone leaves and returns: share of calls answered in target,
 * against no heed of zones. The zone is taken out, its servers and nodes are stopped hard three
 * seconds later, started again cold, and the zone is brought back.
 */

#include <csignal>
#include <iostream>

#include "common/figure.h"
#include "common/site_run.h"

namespace {

constexpr std::uint16_t kPort = 27000;
constexpr double kKeptBound = 0.999;

bench::LoadShape loadOf(standin::Site &site)
{
    auto load = bench::lookupLoad(site, 14.0, 0.4);
    load.entryZones = {"a", "c"};
    return load;
}

void leaveAndReturn(standin::Site &site)
{
    const bench::Pace pace;
    pace.until(2000);
    site.deployment().setZoneStatus("b", false);
    site.publish();
    pace.until(5500);
    std::vector<std::string> servers;
    for (const auto &place : site.deployment().servers()) {
        if (place.zone == "b") {
            servers.push_back(place.name);
            site.killBackend(place.name);
            site.killNode(place.name);
        }
    }
    pace.until(7000);
    for (const auto &server : servers) {
        site.startBackend(server);
        site.startNode(server, false);
    }
    pace.until(8500);
    site.deployment().setZoneStatus("b", true);
    site.publish();
}

} // namespace

int main()
{
    std::signal(SIGPIPE, SIG_IGN);
    bench::FigureList figures;
    try {
        bench::forEachSite("zones", [&](const auto &site, bool heeds, const auto &shape) {
            const auto history = bench::runSite("zones", shape, {}, kPort, loadOf, leaveAndReturn);
            const auto share = bench::inTargetShare(history, "");
            const auto what = "zones " + site + " answered in target, "
                    + (heeds ? "zones heeded" : "no heed of zones");
            if (heeds) {
                figures.atLeast(what, share, "share", kKeptBound);
            } else {
                figures.tell(what, share, "share");
            }
        });
    } catch (const std::exception &error) {
        std::cerr << "bench-zones: " << error.what() << '\n';
        return 1;
    }
    return figures.exitCode();
}
