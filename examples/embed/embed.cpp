/*! @file
 *  Uses the library without its daemons: accepts configurations and decides where calls would go.
 */

#include <iostream>

#include "config/acceptance.h"
#include "config/parse.h"
#include "routing/picker.h"

int main()
{
    const auto document = celeryramp::makeDocument(
            1,
            {{"zones", R"({"zones":{"a":{"region":"r","status":"in"}}})"},
             {"services", R"({"classes":{"c":{"latency_ms":50,"success":0.99,
                    "repeat":"idempotent","deadline_ms":500}},"services":{"stock":{}},
                    "routes":[{"path":"/stock","service":"stock","class":"c","access":"open"}]})"},
             {"accounts", R"({"accounts":{}})"},
             {"keys", R"({"keys":{}})"},
             {"servers", R"({"servers":{"s1":{"service":"stock","zone":"a",
                    "node":"127.0.0.1:7003","operator":"127.0.0.1:7004","slots":4}}})"}});
    celeryramp::Acceptance acceptance;
    const auto now = celeryramp::Clock::now();
    const auto snapshot = acceptance.offer(document, now);
    if (!snapshot) {
        std::cerr << snapshot.error().text() << '\n';
        return 1;
    }
    celeryramp::Picker picker{"a", 1};
    celeryramp::ZoneRamp zones;
    zones.onSnapshot(*snapshot.value(), now);
    const auto isOpen = [](const std::string &) { return true; };
    std::cout << "a call would go to "
              << picker.pick(*snapshot.value(), "stock", {}, isOpen, {}, zones, now) << '\n';
    return 0;
}
