#include "caller/call_plan.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace standin {

namespace {

celeryramp::Address addressOf(const std::string &text)
{
    const auto address = celeryramp::parseAddress(text);
    if (!address) {
        throw std::invalid_argument{"no IP number with a port: " + text};
    }
    return *address;
}

} // namespace

CallPlan readCallPlan(const nlohmann::json &json)
{
    CallPlan plan;
    for (const auto &[zone, list] : json.at("targets").items()) {
        for (const auto &target : list) {
            plan.targets[zone].push_back(addressOf(target.get<std::string>()));
        }
    }
    for (const auto &entry : json.at("accounts")) {
        plan.accounts.push_back({entry.at("name").get<std::string>(),
                                 entry.value("key", std::string{}), entry.at("rate").get<double>(),
                                 entry.value("zone", std::string{})});
    }
    for (const auto &entry : json.at("kinds")) {
        CallKind kind;
        kind.name = entry.at("name").get<std::string>();
        kind.weight = entry.value("weight", 1.0);
        kind.method = entry.value("method", std::string{"GET"});
        kind.path = entry.at("path").get<std::string>();
        kind.atMostOnce = entry.value("at_most_once", false);
        kind.targetMs = entry.value("target_ms", 0.0);
        kind.bodyBytes = entry.value("body_bytes", std::size_t{0});
        plan.kinds.push_back(std::move(kind));
    }
    plan.seconds = json.value("seconds", 1.0);
    plan.seed = json.value("seed", std::uint64_t{1});
    plan.threadsPerZone = json.value("threads_per_zone", std::size_t{16});
    plan.resendShare = json.value("resend_share", 0.0);
    plan.retriesOfUnknown = json.value("retries_of_unknown", 0);
    plan.name = json.value("name", std::string{"caller"});
    return plan;
}

} // namespace standin
