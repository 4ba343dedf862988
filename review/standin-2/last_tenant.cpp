// The operator takes the last tenant away with a new version. Its key, and any other, must not
// work.
#include "kit.h"

using namespace kit;

int main()
{
    Site site;
    site.add("asahikawa-a", "orders", 50);
    site.add("asahikawa-b", "orders", 50);
    site.add("sapporo-a", "orders", 50);
    RouteText orders{"orders", "orders.example", "/orders/", "non_idempotent", "orders"};
    const auto before
            = configuration(7, {orders}, {{"club", {"key-of-club"}}, {"shop", {"key-of-shop"}}});
    site.store.put("op/config", before);
    site.start();
    site.waitUntilReady();
    pause(3500); // servers count as cold at first, and all machines are in touch

    const auto ask = [&](const string &key, const string &id) {
        int ran = 0;
        for (auto &machine : site.machines) {
            const auto attempt = id + "-" + machine->name;
            record.line("client    %s is sent with key '%s'", attempt.c_str(), key.c_str());
            const auto outcome = call(machine->host, kOutbound,
                                      requestText("PUT", "orders.example", "/orders/1", attempt,
                                                  key, 1200, {}, "order"),
                                      1500);
            record.line("client    %s with key '%s' -> %d", attempt.c_str(), key.c_str(),
                        outcome.status);
            ran += runs.count(attempt);
        }
        return ran;
    };
    if (ask("key-of-club", "club-1") != 3 || ask("key-of-shop", "shop-1") != 3
        || ask("never-held", "never-1") != 0) {
        site.cannotRun("keys are not checked as expected before the change");
    }
    // TROUBLE=0: the same change, but one of the tenants stays.
    const auto stays = configuration(9, {orders}, {{"shop", {"key-of-shop"}}});
    auto none = configuration(9, {orders}, {});
    none.insert(none.size() - 1, ",\"Tenants\":[]");
    site.store.put("op/config", isTrouble() ? none : stays);
    record.line("store     version 9 is written and acknowledged, with %s",
                isTrouble() ? "an empty list of tenants" : "one tenant");
    pause(5500); // Revoke is 5 s

    const int revoked = ask("key-of-club", "club-2");
    const int never = ask("never-held", "never-2");
    record.line("%d requests with the key that was taken away ran, and %d with a key that no "
                "configuration ever held",
                revoked, never);
    site.exit(revoked > 0 || never > 0);
}
