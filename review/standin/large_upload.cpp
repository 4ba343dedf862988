/*! @file
 *  A client sends one long body that the configuration allows, while others use the same node.
 */

#include <iostream>

#include "workload.h"

namespace {

using namespace review;

constexpr int kMemoryMb = 260; /*!< Of a machine of the site coings-souss. */
constexpr std::size_t kLongBody = 60'000'000; /*!< `MaxBodyBytes` is 67,108,864. */
constexpr std::size_t kShortBody = 1'800;
constexpr int kClients = 12;
constexpr Millis kColdTime{4000};
constexpr Millis kBefore{2000};
constexpr Millis kAfter{4000};

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
    const std::string body(hasTrouble() ? kLongBody : kShortBody, 'x');
    const auto connection = site.connect(0);
    site.record.line("client sends upload with a body of " + std::to_string(body.size())
                     + " bytes");
    const bool isSent = connection
            && connection->send(requestText("POST", "/w/50", "upload", kDeadlineMs, body));
    const auto answer = isSent ? connection->read(Millis{kDeadlineMs}) : std::nullopt;
    site.record.line("client gets " + (answer ? std::to_string(statusOf(*answer)) : "no answer")
                     + " for upload");
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
