// The store comes back from a copy that still has a key which was taken away; a node is started
// again at that time, while the other nodes know that the key is gone.
#include "kit.h"

using namespace kit;

int main()
{
    Site site;
    site.add("asahikawa-a", "orders", 50);
    site.add("asahikawa-a", "orders", 50);
    site.add("asahikawa-b", "orders", 50);
    site.add("asahikawa-b", "orders", 50);
    RouteText orders{"orders", "orders.example", "/orders/", "non_idempotent", "orders"};
    const auto with = configuration(7, {orders}, {{"club", {"kept", "taken"}}});
    const auto without = configuration(9, {orders}, {{"club", {"kept"}}});
    site.store.put("op/config", with);
    site.start();
    site.waitUntilReady();
    pause(3500);

    const auto ask = [&](const Machine &machine, const string &key, const string &id) {
        const auto sentAt = now();
        const auto outcome = call(machine.host, kOutbound,
                                  requestText("PUT", "orders.example", "/orders/1", id, key, 1200,
                                              {}, "order"),
                                  1500);
        record.line("client    %s with key '%s' at %s, sent at %lld ms -> %d", id.c_str(),
                    key.c_str(), machine.name.c_str(), static_cast<long long>(sentAt),
                    outcome.status);
        return outcome.status;
    };
    for (auto &machine : site.machines) {
        if (ask(*machine, "taken", "before-" + machine->name) != 200) {
            site.cannotRun("the key does not work before it is taken away");
        }
    }
    const auto copy = site.store.copy();
    pause(500);
    site.store.put("op/config", without);
    const auto takenAt = now();
    record.line("store     version 9 without the key is written and acknowledged");
    pause(5500); // Revoke is 5 s

    auto &machine = *site.machines[0];
    if (ask(machine, "taken", "revoked") != 401) {
        site.cannotRun("the key still works");
    }
    // The drill: away for a moment, back from a copy that is 6 s old.
    std::thread drill{[&] {
        if (!isTrouble()) {
            return;
        }
        record.line("store     away");
        site.store.setDown(true);
        pause(500);
        site.store.restore(copy);
        site.store.setDown(false);
        record.line("store     back from the copy, which has version 7");
        pause(2000);
        site.store.put("op/config", without);
        record.line("store     version 9 is written again");
    }};
    pause(300);
    site.killNow(machine);
    pause(300);
    site.launch(machine);
    int ran = 0;
    const auto until = now() + 4000;
    std::vector<string> ids;
    for (int i = 0; now() < until; ++i) {
        const auto id = "after-" + std::to_string(i);
        ids.push_back(id);
        const int status = ask(machine, "taken", id);
        if (status == 0 || status == 503) {
            pause(5);
        } else {
            pause(20);
        }
    }
    drill.join();
    int kept = 0;
    for (int i = 0; i < 10; ++i) {
        kept += ask(machine, "kept", "kept-" + std::to_string(i)) == 200 ? 1 : 0;
    }
    for (const auto &id : ids) {
        ran += runs.count(id) > 0 ? 1 : 0;
    }
    record.line("%d requests with the key ran that were sent more than 5 s after %lld ms; %d of 10 "
                "with the other key were served",
                ran, static_cast<long long>(takenAt), kept);
    site.exit(ran > 0);
}
