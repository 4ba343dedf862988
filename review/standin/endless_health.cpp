/*! @file
 *  A server crashes and is back in trouble: it answers everything, its health path too, with bytes
 *  without end. Clients on its machine use servers on other machines.
 */

#include <iostream>

#include "workload.h"

namespace {

using namespace review;

constexpr int kMemoryMb = 110; /*!< Of a machine of the site kenma-mesh. */
constexpr int kClients = 12;
constexpr Millis kColdTime{4000};
constexpr Millis kBefore{2000};
constexpr Millis kDown{2000}; /*!< Until the crashed server is back. */
constexpr Millis kAfter{6000};

int play(const std::string &folder)
{
    Site site{folder, kMemoryMb};
    site.addMachine("zone-a", "front");
    site.addMachine("zone-a", "stock");
    site.addMachine("zone-b", "stock");
    site.store->put("op/config", siteConfiguration());
    if (!site.startNodes()) {
        return 2;
    }
    std::this_thread::sleep_for(kColdTime);
    Workload workload{site, 0, kClients};
    std::this_thread::sleep_for(kBefore);
    const auto servedBefore = workload.served();
    site.restartServer(0, kDown, hasTrouble());
    std::this_thread::sleep_for(kAfter);
    workload.end();
    return conclude(site, workload, servedBefore);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return play(argc > 1 ? argv[1] : ".");
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
