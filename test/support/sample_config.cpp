#include "support/sample_config.h"

#include <nlohmann/json.hpp>

#include "core/hash.h"

namespace testsupport {

using nlohmann::json;

std::map<std::string, std::string> sampleParts(const SampleShape &shape)
{
    auto zones = json::object();
    auto servers = json::object();
    int port = 30000;
    for (int z = 0; z < shape.zones; ++z) {
        const auto zone = "z" + std::to_string(z);
        zones[zone] = {{"region", "r"}, {"status", "in"}};
        for (int s = 0; s < shape.serversPerZone; ++s) {
            const auto node = "127.0.0.1:" + std::to_string(port++);
            servers["s-" + zone + "-" + std::to_string(s)] = {{"service", "stock"},
                                                              {"zone", zone},
                                                              {"node", node},
                                                              {"operator", node},
                                                              {"slots", 4}};
        }
    }
    const json lookup{{"latency_ms", 50},
                      {"success", 0.999},
                      {"repeat", "idempotent"},
                      {"deadline_ms", 1000}};
    auto record = lookup;
    record["repeat"] = "at-most-once";
    const json services{
            {"services", {{"stock", json::object()}}},
            {"classes", {{"lookup", lookup}, {"record", record}}},
            {"routes",
             {{{"path", "/stock"},
               {"service", "stock"},
               {"class", "lookup"},
               {"access", "account"}},
              {{"path", "/stock/order"},
               {"service", "stock"},
               {"class", "record"},
               {"access", "account"}},
              {{"path", "/open"}, {"service", "stock"}, {"class", "lookup"}, {"access", "open"}}}}};
    const json accounts{{"accounts", {{"acme", {{"rate", shape.rate}, {"burst", shape.burst}}}}}};
    const json keys{{"keys",
                     {{"k1",
                       {{"account", "acme"},
                        {"salt", "00ff"},
                        {"hash", celeryramp::sha256Hex("00ffsecret")}}}}}};
    return {{"zones", json{{"zones", zones}}.dump()},
            {"services", services.dump()},
            {"accounts", accounts.dump()},
            {"keys", keys.dump()},
            {"servers", json{{"servers", servers}}.dump()}};
}

celeryramp::ConfigDocument sampleDocument(std::uint64_t version, const SampleShape &shape)
{
    return celeryramp::makeDocument(version, sampleParts(shape));
}

celeryramp::SnapshotPtr sampleSnapshot(std::uint64_t version, const SampleShape &shape)
{
    auto snapshot = celeryramp::buildSnapshot(sampleDocument(version, shape));
    return snapshot ? snapshot.value() : nullptr;
}

celeryramp::TimePoint at(std::int64_t millis)
{
    return celeryramp::TimePoint{} + celeryramp::Millis{1'000'000 + millis};
}

} // namespace testsupport
