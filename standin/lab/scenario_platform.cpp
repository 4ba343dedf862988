/*! @file
 *  Steps of scenarios that change what the platform publishes, or how it serves it.
 */

#include "lab/scenario.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <thread>

#include "common/journal.h"
#include "lab/step_values.h"

namespace standin {

void Scenario::publish(Site &site, const toml::table &step)
{
    const auto name = text(step, "name", "target change");
    if (const auto order = text(step, "digest"); !order.empty()) {
        converge(site, name, site.publishAgain(order == "higher"), step);
        return;
    }
    site.deployment().touch();
    converge(site, name, site.publish(), step);
}

/*! Publishes a version that must be refused: `kind` is truncated, dangling, mis-hashed or large. */
void Scenario::publishBad(Site &site, const toml::table &step)
{
    auto parts = site.deployment().parts();
    const auto kind = text(step, "kind", "truncated");
    nlohmann::json body{{"transient", true}};
    if (kind == "truncated") {
        body["parts"] = {{"services", parts["services"].substr(0, parts["services"].size() / 2)}};
    } else if (kind == "dangling") {
        auto servers = nlohmann::json::parse(parts["servers"]);
        servers["servers"].begin().value()["zone"] = "nowhere";
        body["parts"] = {{"servers", servers.dump()}};
    } else if (kind == "mis-hashed") {
        body["hashes"] = {{"keys", std::string(64, '0')}};
    } else {
        body["parts"] = {{"accounts", std::string(1'100'000, ' ') + parts["accounts"]}};
    }
    site.publishRaw(body);
}

void Scenario::withdrawKey(Site &site, const toml::table &step)
{
    const auto account = text(step, "account");
    const auto at = wallMicros();
    site.deployment().withdrawKey(account);
    const auto version = site.publish();
    for (const auto &place : site.deployment().accounts()) {
        if (place.name == account) {
            site.history().keysWithdrawn.push_back(
                    {place.keyId, at, std::numeric_limits<std::int64_t>::max()});
        }
    }
    converge(site, "withdraw key of " + account, version, step);
}

void Scenario::zoneOut(Site &site, const toml::table &step)
{
    const auto zone = text(step, "zone");
    const auto at = wallMicros();
    site.deployment().setZoneStatus(zone, false);
    const auto version = site.publish();
    site.history().zonesOut.push_back({zone, at, std::numeric_limits<std::int64_t>::max()});
    converge(site, "zone " + zone + " out", version, step);
}

void Scenario::zoneIn(Site &site, const toml::table &step)
{
    const auto zone = text(step, "zone");
    site.deployment().setZoneStatus(zone, true);
    for (auto &span : site.history().zonesOut) {
        if (span.name == zone && span.until == std::numeric_limits<std::int64_t>::max()) {
            span.until = wallMicros();
        }
    }
    converge(site, "zone " + zone + " in", site.publish(), step);
}

void Scenario::setRate(Site &site, const toml::table &step)
{
    const auto account = text(step, "account");
    const auto rate = real(step, "rate", 10.0);
    const auto burst = real(step, "burst", 10.0);
    auto &limit = site.history().limits[account];
    limit = {std::max(limit.rate, rate), std::max(limit.burst, burst)};
    site.deployment().setRate(account, rate, burst);
    converge(site, "rate of " + account, site.publish(), step);
}

void Scenario::platformFault(Site &site, const toml::table &step)
{
    const auto faults = text(step, "faults");
    site.askPlatform("/admin/faults?" + faults);
    const bool blind = faults.find("outage=1") != std::string::npos
            || faults.find("stale=1") != std::string::npos;
    blind ? beginBlind(site, "platform") : endBlind(site, "platform");
}

/*! Takes the platform back by `versions` of the configuration and `lists` of the instance list. */
void Scenario::restore(Site &site, const toml::table &step)
{
    const auto query = "versions=" + std::to_string(integer(step, "versions", 0))
            + "&lists=" + std::to_string(integer(step, "lists", 0));
    site.askPlatform("/admin/restore?" + query);
}

/*! Counts the reads of the platform over `for_ms`; `at_most` is the limit a second. */
void Scenario::expectReads(Site &site, const toml::table &step)
{
    const auto readsSoFar
            = [&] { return site.askPlatform("/admin/stats").at("reads").get<double>(); };
    const std::chrono::milliseconds span{integer(step, "for_ms", 1000)};
    const auto before = readsSoFar();
    std::this_thread::sleep_for(span);
    const auto perSecond = (readsSoFar() - before) * 1000.0 / double(span.count());
    if (const auto most = real(step, "at_most", 0.0); perSecond > most) {
        fail(std::to_string(perSecond) + " reads of the platform a second, wanted at most "
             + std::to_string(most));
    }
}

void Scenario::listLeaving(Site &site, const toml::table &step)
{
    const auto state = text(step, "state", "leaving");
    for (const auto &server : servers(site, step)) {
        auto query = std::string{"/admin/instance?server="};
        query.append(server).append("&state=").append(state);
        site.askPlatform(query);
        if (state == "leaving") {
            site.history().serversLeaving.push_back(
                    {server, wallMicros(), std::numeric_limits<std::int64_t>::max()});
        }
    }
}

} // namespace standin
