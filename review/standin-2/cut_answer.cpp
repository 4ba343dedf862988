// A server answers a long request before it has read all of it, without a length, and breaks off:
// it resets the connection. The answer is not complete and must not reach the client as a success.
// It does now and then, so the requests go on for some time.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kPlayMillis = 80'000;
constexpr int kCalmRequests = 100;
constexpr size_t kBody = 2'000'000; // MaxBodyBytes is 67,108,864
constexpr size_t kReadBefore = 2'000; // of the request, before the server answers
constexpr size_t kSmallBody = 300;
constexpr int kSoundPerCut = 50; // answers of the server, for each that it breaks off
constexpr int kOrdinaryClients = 2;
std::atomic<int64_t> soundAnswers{0};
const string kWhole(4000, 'w'); // what the server has to say
const string kPart = kWhole.substr(0, 10);

// An application server that reads requests by itself.
struct EarlyServer
{
    Machine &machine;
    Acceptor acceptor;

    bool start()
    {
        return acceptor.start(machine.host, kApp, [this](int fd) { serve(fd); });
    }
    void serve(int fd)
    {
        Reader reader{fd, {}};
        const auto until = now() + 60'000;
        while (true) {
            size_t end = 0;
            while ((end = reader.buffer.find("\r\n\r\n")) == string::npos) {
                char bytes[kReadBefore];
                const auto n = recv(fd, bytes, sizeof bytes, 0);
                if (n <= 0) {
                    return;
                }
                reader.buffer.append(bytes, static_cast<size_t>(n));
            }
            const bool isHealth = reader.buffer.rfind("GET /health", 0) == 0;
            const auto at = reader.buffer.find("Attempt-Id: ");
            const auto id = isHealth
                    ? string{}
                    : reader.buffer.substr(at + 12, reader.buffer.find('\r', at) - at - 12);
            if (isHealth) {
                reader.buffer.erase(0, end + 4);
                sendAll(fd, answerText(200, {{"Instance-Id", machine.server->id}}, "ok"));
                continue;
            }
            if (reader.buffer.find("/orders/small") < end) {
                while (reader.buffer.size() < end + 4 + kSmallBody) {
                    if (reader.more(until) <= 0) {
                        return;
                    }
                }
                reader.buffer.erase(0, end + 4 + kSmallBody);
                ++soundAnswers;
                if (!sendAll(fd,
                             answerText(200, {{"Attempt-Id", id}, {"Server-Stamp", "s." + id}},
                                        "small"))) {
                    return;
                }
                continue;
            }
            string head{"HTTP/1.1 200 OK\r\nAttempt-Id: "};
            head.append(id).append("\r\nServer-Stamp: s.").append(id);
            head.append("\r\nConnection: close\r\n\r\n");
            runs.add({id, "/orders/1", machine.server->id, {}, now()});
            if (isTrouble()) {
                sendAll(fd, head + kPart);
                const linger reset{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
                record.line(
                        "server    %s: sends %zu of %zu bytes of its answer, without a length, and "
                        "resets the connection",
                        id.c_str(), kPart.size(), kWhole.size());
                // Closed by the acceptor as this returns.
                return;
            }
            while (reader.buffer.size() < end + 4 + kBody) {
                if (reader.more(until) <= 0) {
                    return;
                }
            }
            sendAll(fd, head + kWhole);
            shutdown(fd, SHUT_WR);
            pause(50);
            return;
        }
    }
};

} // namespace

int main()
{
    Site site;
    site.memoryMb = 110;
    site.add("asahikawa-a", "catalogue", 160);
    site.add("asahikawa-a", "orders", 110);
    RouteText orders{"orders", "orders.example", "/orders/", "non_idempotent", "orders"};
    orders.timeout = 1200;
    RouteText catalogue{"catalogue", "catalogue.example", "/catalogue/", "idempotent", "catalogue"};
    site.store.put("op/config", configuration(7, {orders, catalogue}, {{"shop", {"key"}}}));
    auto &machine = *site.machines[1];
    machine.server->port = kApp + 2; // its own stand-in is not used
    EarlyServer server{machine, {}};
    if (!server.start()) {
        site.cannotRun("no port for a server");
    }
    site.start();
    machine.server->port = kApp;
    site.beat(*machine.server);
    site.waitUntilReady();
    pause(3500); // servers count as cold at first

    // Ordinary clients at the machine of the server, each on a connection of its own.
    std::atomic<bool> isOver{false};
    std::vector<std::thread> ordinary;
    ordinary.reserve(kOrdinaryClients);
    for (int c = 0; c < kOrdinaryClients; ++c) {
        ordinary.emplace_back([&, c] {
            const int fd = connectTo(machine.host, kOutbound);
            Reader reader{fd, {}};
            for (int i = 0; !isOver; ++i) {
                const auto id = "small-" + std::to_string(c) + "-" + std::to_string(i);
                if (!sendAll(fd,
                             requestText("PUT", "orders.example", "/orders/small", id, "key", 1200,
                                         {}, string(kSmallBody, 's')))
                    || !reader.read(1500).isComplete) {
                    break;
                }
            }
            close(fd);
        });
    }
    int sent = 0;
    int broken = 0;
    int whole = 0;
    const auto &other = *site.machines[0]; // the request goes through the node beside the server
    for (const auto end = now() + kPlayMillis; now() < end; ++sent) {
        if (!isTrouble() && sent == kCalmRequests) {
            break;
        }
        if (soundAnswers < int64_t{kSoundPerCut} * (sent + 1)) {
            pause(1);
            --sent;
            continue;
        }
        const auto id = "order-" + std::to_string(sent);
        const auto outcome = call(other.host, kOutbound,
                                  requestText("PUT", "orders.example", "/orders/1", id, "key", 1200,
                                              {}, string(kBody, 'o')),
                                  1500);
        const bool isWhole = outcome.status == 200 && outcome.body == kWhole;
        const bool isCut = outcome.status == 200 && !isWhole;
        record.line("client    %s -> %d, %zu bytes%s", id.c_str(), outcome.status,
                    outcome.body.size(),
                    isCut ? ", a complete success that is not the server's whole body" : "");
        broken += isCut ? 1 : 0;
        whole += isWhole ? 1 : 0;
    }
    isOver = true;
    for (auto &it : ordinary) {
        it.join();
    }
    record.line("%d of %d requests got a success with a part of the body, %d the whole; the server "
                "gave %lld sound answers beside these",
                broken, sent, whole, static_cast<long long>(soundAnswers.load()));
    site.exit(broken > 0);
}
