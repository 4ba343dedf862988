// A node gets SIGTERM while a client waits for two idempotent requests on one connection, of which
// the second is answered by its server first. The client then goes on using the connection.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kClients = 5;
constexpr int kGraceMillis = 6000;

} // namespace

int main()
{
    Site site;
    site.memoryMb = 260;
    site.add("cr-central-a", "rain-ledger", 400);
    site.add("cr-central-a", "series-desk", 51);
    site.add("cr-central-a", "cert-office", 66);
    site.add("cr-central-b", "rain-ledger", 400);
    site.add("cr-central-b", "series-desk", 51);
    site.add("cr-central-b", "cert-office", 66);
    RouteText rain{"rain", "rain.example", "/rain/", "idempotent", "rain-ledger"};
    RouteText series{"series", "series.example", "/series/", "idempotent", "series-desk"};
    RouteText certs{"certs", "certs.example", "/certs/", "non_idempotent", "cert-office"};
    rain.timeout = 3000;
    rain.target = 600;
    series.timeout = certs.timeout = 1200;
    site.store.put("op/config", configuration(7, {rain, series, certs}, {}));
    site.start();
    site.waitUntilReady();
    pause(3500); // servers count as cold at first, and all machines are in touch

    auto &machine = *site.machines[0];
    std::atomic<int> lost{0};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    clients.reserve(kClients);
    for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([&, mark = std::to_string(i)] {
            const int fd = connectTo(machine.host, kOutbound);
            record.line("client    %s: rain-%s and series-%s are sent on one connection",
                        mark.c_str(), mark.c_str(), mark.c_str());
            sendAll(fd,
                    requestText("GET", "rain.example", "/rain/1", "rain-" + mark, {}, 3000)
                            + requestText("GET", "series.example", "/series/1", "series-" + mark,
                                          {}, 1200));
            Reader reader{fd, {}};
            for (int k = 0; k < 2; ++k) {
                const auto answer = reader.read(4000);
                record.line("client    %s: %s -> %d, Connection: '%s'", mark.c_str(),
                            answer.header("Attempt-Id").c_str(), answer.status(),
                            answer.header("Connection").c_str());
                if (!answer.isComplete || answer.header("Connection") == "close") {
                    close(fd); // a new request would go to another machine
                    return;
                }
            }
            // The connection was not closed, nor was that announced.
            const auto id = "cert-" + mark;
            const bool isSent = sendAll(fd,
                                        requestText("POST", "certs.example", "/certs/1", id, {},
                                                    1200, {}, "certificate"));
            const auto sentAt = now();
            record.line("client    %s: %s is sent whole on the same connection", mark.c_str(),
                        id.c_str());
            const auto answer = reader.read(kGraceMillis + 1000);
            record.line("client    %s: %s -> %d after %lld ms, %s", mark.c_str(), id.c_str(),
                        answer.status(), static_cast<long long>(now() - sentAt),
                        answer.isComplete           ? "complete"
                                : answer.isTimeOver ? "time over"
                                                    : "the connection has ended");
            close(fd);
            if (answer.isComplete) {
                ++served;
            } else if (isSent && now() - sentAt > 200) { // LossSlack
                ++lost;
            }
        });
    }
    pause(200); // the second requests have been answered by their servers, the first have not
    if (isTrouble()) {
        site.kill(machine, SIGTERM);
    }
    for (auto &it : clients) {
        it.join();
    }
    waitFor(kGraceMillis, [&] { return !isTrouble() || site.hasEnded(machine); });
    record.line("%d of %d requests were answered, %d lost", served.load(), kClients, lost.load());
    site.exit(lost > 0);
}
