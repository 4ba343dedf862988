#include "store_item_decoder.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace celeryramp;
using namespace celeryramp::directory;

namespace {

const std::string kServer
        = R"({"Address":"10.128.0.9:8080","Info":{"Service":"stock","Version":"v1","Zone":"north",)"
          R"("Slots":12},"Status":{"State":"ready","Sequence":4,"ColdRemaining":"2.5s"},)"
          R"("born":1783980354000})";

const std::string kConfiguration
        = R"({"Version":7,"Routes":[{"Name":"r1","Host":"Shop.Example","Prefix":"/a/",)"
          R"("Kind":"idempotent","Timeout":"1200ms","TargetLatency":"500ms","Priority":2,)"
          R"("TrafficSplit":[{"Service":"stock","Weight":90},{"Service":"orders","Weight":10}],)"
          R"("MaxAttempts":2,"AllowAnonymous":false}],"Services":[{"Name":"stock",)"
          R"("HealthPath":"/health","MaxConnections":110,"ColdStart":"3s","ColdPerS":15.0},)"
          R"({"Name":"orders"}],"Limits":{"MaxHeaderBytes":16384,"IdleTimeout":"15000ms"},)"
          R"("Tenants":[{"Name":"mill","ApiKeys":["k"],"Priority":1,"RatePerS":78,"Burst":79}]})";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

Result<DecodedItem, DirectoryError> decode(const std::string &key, const std::string &value)
{
    return platform::StoreItemDecoder{}.decode(key, value);
}

} // namespace

TEST_CASE("Server entries are decoded field by field")
{
    const auto item = decode("servers/i-1", kServer);
    REQUIRE(item);
    const auto &server = std::get<BackendServer>(item.value());
    REQUIRE(server.id == "i-1");
    REQUIRE(server.zone == "north");
    REQUIRE(server.slots == 12);
    REQUIRE(server.coldRemaining == Millis{2500});
    REQUIRE(server.startedMillis == 1783980354000U);
    REQUIRE_FALSE(server.isDraining);
}

TEST_CASE("Forged and damaged server entries are errors")
{
    const auto value = GENERATE(
            as<std::string>{}, "", "{", "null", "[]", "\xff\xfe",
            replaced(kServer, "ready", "asleep"), replaced(kServer, "12", "\"12\""),
            replaced(kServer, "12", "0"), replaced(kServer, "10.128.0.9", "here"),
            replaced(kServer, "Sequence", "Sequenc"), replaced(kServer, "2.5s", "2.5"),
            replaced(kServer, "\"stock\"", "7"), replaced(kServer, "1783980354000", "\"soon\""));
    CAPTURE(value);
    REQUIRE_FALSE(decode("servers/i-1", value));
}

TEST_CASE("Configurations are decoded completely")
{
    const auto item = decode("op/config", kConfiguration);
    REQUIRE(item);
    const auto &configuration = std::get<Configuration>(item.value());
    REQUIRE(configuration.version == 7);
    REQUIRE(configuration.routes.at(0).host == "shop.example");
    REQUIRE(configuration.routes.at(0).split.at(1).weight == 10);
    REQUIRE(configuration.routes.at(0).isIdempotent);
    REQUIRE(configuration.services.at(0).coldPerSecond == Approx(15.0));
    REQUIRE(configuration.limits.idleTimeout == Millis{15'000});
    REQUIRE(configuration.accounts.at(0).burst == Approx(79.0));
}

TEST_CASE("Damaged configurations are errors")
{
    const auto value
            = GENERATE(as<std::string>{}, replaced(kConfiguration, "idempotent", "perhaps"),
                       replaced(kConfiguration, "1200ms", "1200"),
                       replaced(kConfiguration, "\"Timeout\"", "\"Timeou\""),
                       replaced(kConfiguration, "\"MaxAttempts\"", "\"MaxAttempt\""),
                       replaced(kConfiguration, "\"Weight\":90", "\"Weight\":\"90\""),
                       kConfiguration.substr(0, kConfiguration.size() / 2));
    REQUIRE_FALSE(decode("op/config", value));
}

TEST_CASE("No bytes crash the decoder")
{
    rc::prop("random", [](const std::string &key, const std::string &value) {
        static_cast<void>(decode("servers/" + key, value));
        static_cast<void>(decode("op/config", value));
    });
}

TEST_CASE("Evacuated zones and unknown items are distinguished")
{
    REQUIRE(std::get<EvacuatedZone>(decode("op/evacuate/north", "{}").value()).zone == "north");
    REQUIRE(std::holds_alternative<UnknownItem>(decode("my/leader", "x").value()));
}
