// A node is stopped and started again. The first packet of its last link, which tells that it has
// executed nothing, is lost once and sent again, so it arrives after its successor was heard.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kListen = 7001; // of the nodes, behind the proxies
constexpr int kResentAfter
        = 210; // least time after which TCP sends a lost packet again, and the way
constexpr int kAtOnce = 4;

// Passes the links to a node on. The bytes back to one other node are late on the first link.
struct LinkProxy
{
    Machine &machine;
    string lateFor; // host of that node; empty for none
    std::atomic<int> late{0};
    Acceptor acceptor;

    bool start()
    {
        return acceptor.start(machine.host, kLinks, [this](int fd) { serve(fd); });
    }
    void serve(int near)
    {
        string first;
        char bytes[65536];
        while (first.find("\r\n\r\n") == string::npos) {
            const auto n = recv(near, bytes, sizeof bytes, 0);
            if (n <= 0) {
                return;
            }
            first.append(bytes, static_cast<size_t>(n));
        }
        const bool isLate = !lateFor.empty()
                && first.find("Celeryramp-Node: " + lateFor + ":") != string::npos
                && late.fetch_add(1) == 0;
        const int far = connectTo(machine.host, kListen);
        if (far < 0 || !sendAll(far, first)) {
            close(far);
            return;
        }
        if (isLate) {
            record.line("link      from %s to %s, the bytes back are %d ms late", lateFor.c_str(),
                        machine.host.c_str(), kResentAfter);
        }
        std::thread back{[&] {
            if (isLate) {
                pause(kResentAfter);
            }
            pump(far, near);
        }};
        pump(near, far);
        back.join();
        close(far);
    }
    static void pump(int from, int to)
    {
        std::vector<char> bytes(65536);
        while (true) {
            const auto n = recv(from, bytes.data(), bytes.size(), 0);
            if (n <= 0 || !sendAll(to, {bytes.data(), static_cast<size_t>(n)})) {
                break;
            }
        }
        shutdown(to, SHUT_WR);
    }
};

} // namespace

int main()
{
    Site site;
    site.memoryMb = 110;
    site.moreSettings = "links_listen = \"{{host}}:7001\"\n";
    site.add("asahikawa-a", "catalogue", 160);
    site.add("asahikawa-a", "billing", 130); // takes the clients' requests
    site.add("sapporo-a", "catalogue", 160);
    site.add("sapporo-a", "batches", 210); // its node is stopped and started again
    site.add("sapporo-a", "batches", 210);
    RouteText batches{"batches", "batches.example", "/batches/", "non_idempotent", "batches"};
    RouteText billing{"billing", "billing.example", "/billing/", "non_idempotent", "billing"};
    RouteText catalogue{"catalogue", "catalogue.example", "/catalogue/", "idempotent", "catalogue"};
    catalogue.timeout = 1000;
    batches.timeout = 1200;
    batches.target = 600;
    billing.timeout = 800;
    site.store.put("op/config",
                   configuration(7, {batches, billing, catalogue}, {{"club", {"key"}}}));

    auto &entry = *site.machines[1];
    auto &gate = *site.machines[3];
    std::vector<std::unique_ptr<LinkProxy>> proxies;
    for (auto &machine : site.machines) {
        const bool isLate = isTrouble() && machine.get() == &gate;
        proxies.push_back(std::unique_ptr<LinkProxy>{
                new LinkProxy{*machine, isLate ? entry.host : string{}, {}, {}}});
        if (!proxies.back()->start()) {
            site.cannotRun("no port for a link");
        }
    }
    site.start();
    site.waitUntilReady();

    // An ordinary client; its requests stay in the zone.
    std::atomic<bool> isOver{false};
    std::thread client{[&] {
        for (int i = 0; !isOver; ++i) {
            call(entry.host, kOutbound,
                 requestText("GET", "catalogue.example", "/catalogue/1",
                             "browse-" + std::to_string(i), "key", 2000),
                 2500);
            pause(30);
        }
    }};
    pause(4000); // servers count as cold at first

    const auto ask = [&](const Machine &machine, const string &service, const string &id) {
        record.line("client    %s at %s", id.c_str(), machine.name.c_str());
        const auto outcome = call(machine.host, kOutbound,
                                  requestText("POST", service + ".example", "/" + service + "/1",
                                              id, "key", 2500, {}, "reservation"),
                                  3000);
        record.line("client    %s -> %d", id.c_str(), outcome.status);
        return outcome.status;
    };
    std::thread platform;
    std::atomic<bool> isDone{false};
    if (isTrouble()) {
        site.kill(gate, SIGTERM);
        // The node has ended its work when it stops listening, and ends a tick later.
        waitFor(5000, [&] {
            const int fd = connectTo(gate.host, kOutbound, 100);
            close(fd);
            return fd < 0;
        });
        platform = std::thread{[&] {
            while (!site.hasEnded(gate)) {
                pause(1);
            }
            pause(20);
            site.launch(gate);
            // A client of the new process; its request opens a link to the other node.
            for (int i = 0; i < 200; ++i) {
                if (ask(gate, "billing", "bill-" + std::to_string(i)) == 200) {
                    break;
                }
                pause(3);
            }
            // The new process ends with the thread that started it.
            waitFor(10'000, [&] { return isDone.load(); });
        }};
        pause(150);
    }
    std::vector<std::thread> reservations;
    reservations.reserve(kAtOnce);
    for (int i = 0; i < kAtOnce; ++i) {
        reservations.emplace_back([&, i] { ask(entry, "batches", "batch-" + std::to_string(i)); });
    }
    for (auto &it : reservations) {
        it.join();
    }
    isOver = true;
    client.join();
    pause(500);
    int twice = 0;
    for (int i = 0; i < kAtOnce; ++i) {
        const auto id = "batch-" + std::to_string(i);
        if (const int n = runs.count(id); n > 1) {
            record.line("twice     %s, which isn't idempotent, ran %d times", id.c_str(), n);
            ++twice;
        }
    }
    isDone = true;
    if (platform.joinable()) {
        platform.join();
    }
    site.exit(twice > 0);
}
