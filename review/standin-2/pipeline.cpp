// A client sends idempotent requests behind a download on one connection. The server of the
// download truncates its answer; those of the other requests are sound.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kBehind = 6;
constexpr size_t kDownload = 300'000; // the site's answers have up to 540,000 bytes

} // namespace

int main()
{
    Site site;
    site.memoryMb = 260;
    site.add("cr-central-a", "archive-vault", 41);
    site.add("cr-central-a", "series-desk", 51);
    site.add("cr-central-b", "archive-vault", 41);
    site.add("cr-central-b", "series-desk", 51);
    RouteText archive{"archive", "archive.example", "/archive/", "download", "archive-vault"};
    RouteText series{"series", "series.example", "/series/", "idempotent", "series-desk"};
    archive.timeout = 2000;
    series.timeout = 1200;
    series.target = 300;
    site.store.put("op/config", configuration(7, {archive, series}, {}));
    std::atomic<bool> truncates{false};
    for (auto &machine : site.machines) {
        if (machine->server->service != "archive-vault") {
            continue;
        }
        machine->server->answer = [&truncates](int fd, const Message &request) {
            const auto id = request.header("Attempt-Id");
            sendAll(fd, "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Stamp: s." + id
                            + "\r\nContent-Length: " + std::to_string(kDownload) + "\r\n\r\n"
                            + string(kDownload / 3 * 2, 'a'));
            pause(200); // the rest takes a while
            if (truncates.exchange(false)) {
                record.line("server    breaks off its answer to %s", id.c_str());
                shutdown(fd, SHUT_RDWR);
                return true;
            }
            return sendAll(fd, string(kDownload - kDownload / 3 * 2, 'a'));
        };
    }
    site.start();
    site.waitUntilReady();
    pause(3500); // servers count as cold at first, and all machines are in touch

    int lost = 0;
    for (int round = 0; round < 4; ++round) {
        truncates = isTrouble() && round == 2;
        const auto &machine = *site.machines[1];
        const auto mark = std::to_string(round);
        const int fd = connectTo(machine.host, kOutbound);
        auto text = requestText("GET", "archive.example", "/archive/1", "download-" + mark, {},
                                2000);
        for (int i = 0; i < kBehind; ++i) {
            text += requestText("GET", "series.example", "/series/1",
                                "behind-" + mark + "-" + std::to_string(i), {}, 1200);
        }
        record.line("client    download-%s and %d requests behind it, on one connection",
                    mark.c_str(), kBehind);
        sendAll(fd, text);
        Reader reader{fd, {}};
        std::set<string> answered;
        for (int i = 0; i <= kBehind; ++i) {
            const auto answer = reader.read(3000);
            const auto id = answer.header("Attempt-Id");
            record.line("client    %s -> %d, %zu bytes, %s", id.c_str(), answer.status(),
                        answer.body.size(),
                        answer.isComplete       ? "complete"
                                : answer.isTimeOver ? "time over"
                                                    : "the connection has ended");
            if (!answer.isComplete) {
                break;
            }
            answered.insert(id);
        }
        close(fd);
        for (int i = 0; i < kBehind; ++i) {
            const auto id = "behind-" + mark + "-" + std::to_string(i);
            if (runs.count(id) > 0 && answered.count(id) == 0) {
                record.line("lost      %s was passed on to a sound server and has no answer",
                            id.c_str());
                ++lost;
            }
        }
        pause(500);
    }
    record.line("%d requests were passed on to sound servers and lost their connection", lost);
    // LOST: more than three times.
    site.exit(lost > 3);
}
