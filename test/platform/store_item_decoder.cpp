#include "store_item_decoder.h"

#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include "directory/routing_table.h"

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

// Guards against odd entries of other writers whose numbers are cut off to something usable.
TEST_CASE("A server entry with a number out of range names no server")
{
    const auto value = GENERATE(
            as<std::string>{}, replaced(kServer, "12", "99999999999"),
            replaced(kServer, "12", "4294967308"), replaced(kServer, "12", "12.5"),
            replaced(kServer, "12", "1e300"), replaced(kServer, "12", "1e999"),
            replaced(kServer, "12", "-12"), replaced(kServer, ":4,", ":-4,"),
            replaced(kServer, ":4,", ":1e30,"), replaced(kServer, ":4,", ":\"4\","),
            replaced(kServer, "1783980354000", "-1783980354000"),
            replaced(kServer, "1783980354000", "1783980354000.5"),
            replaced(kServer, "1783980354000", "1e30"),
            replaced(kServer, "1783980354000", "18446744073709551615"),
            replaced(kServer, "2.5s", "999999999999s"), replaced(kServer, ":8080", ":70000"),
            replaced(kServer, ":8080", ":0"), replaced(kServer, ":8080", ":-1"),
            replaced(kServer, ":8080", ":18446744073709551696"));
    CAPTURE(value);
    REQUIRE_FALSE(decode("servers/i-1", value));
}

// Guards against processes that exceed their memory, again after each restart, because of one
// deeply nested entry.
TEST_CASE("A deeply nested entry names no server and takes little memory")
{
    const auto peakKilobytes = [] {
        rusage usage{};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    constexpr std::size_t kDepth = 500'000; // the store takes values of 1 MB
    const std::string opened(kDepth, '[');
    const std::string closed(kDepth, ']');
    const auto value = GENERATE_COPY(as<std::string>{}, opened + closed, opened,
                                     replaced(kServer, "\"v1\"", opened + closed));
    const auto before = peakKilobytes();
    REQUIRE_FALSE(decode("servers/i-1", value));
    REQUIRE_FALSE(decode("op/config", value));
    REQUIRE(peakKilobytes() - before < 8 * 1024);
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
    REQUIRE(configuration.accounts.entries().at(0).burst == Approx(79.0));
}

TEST_CASE("A configuration that is damaged as a whole is an error")
{
    const auto value
            = GENERATE(as<std::string>{}, kConfiguration.substr(0, kConfiguration.size() / 2),
                       replaced(kConfiguration, "\"Version\":7", "\"Version\":\"7\""),
                       replaced(kConfiguration, "\"Version\"", "\"Versio\""),
                       replaced(kConfiguration, "\"Routes\"", "\"Route\""),
                       replaced(kConfiguration, "\"Services\"", "\"Service\""), "[]", "7");
    REQUIRE_FALSE(decode("op/config", value));
}

TEST_CASE("A route with an unreadable field is refused alone and the other routes are kept")
{
    const std::string second = R"({"Name":"r2","Host":"b","Prefix":"/b/","Kind":"idempotent",)"
                               R"("Timeout":"1s","MaxAttempts":1,"Service":"stock"},)";
    const auto both = replaced(kConfiguration, "\"Routes\":[", "\"Routes\":[" + second);
    const auto damaged
            = GENERATE_REF(as<std::string>{}, replaced(both, "1200ms", "1200"),
                           replaced(both, "\"Timeout\":\"1200ms\"", "\"Timeou\":\"1200ms\""),
                           replaced(both, "\"MaxAttempts\":2", "\"MaxAttempt\":2"),
                           replaced(both, "\"MaxAttempts\":2", "\"MaxAttempts\":\"2\""),
                           replaced(both, "\"Weight\":90", "\"Weight\":\"90\""),
                           replaced(both, "\"TargetLatency\":\"500ms\"", "\"TargetLatency\":500"),
                           replaced(both, "\"Priority\":2", "\"Priority\":\"2\""),
                           replaced(both, "\"AllowAnonymous\":false", "\"AllowAnonymous\":0"));
    const auto item = decode("op/config", damaged);
    REQUIRE(item);
    const auto &configuration = std::get<Configuration>(item.value());
    REQUIRE(configuration.routes.size() == 2);
    REQUIRE(configuration.routes[0].isReadable);
    REQUIRE_FALSE(configuration.routes[1].isReadable);
    REQUIRE(configuration.routes[1].prefix == "/a/");
    REQUIRE(configuration.problems.size() == 1);
    REQUIRE(RoutingTable::build(configuration));
}

TEST_CASE("A route that cannot be matched is left out and named")
{
    const auto damaged
            = GENERATE(as<std::string>{}, replaced(kConfiguration, "\"Name\":\"r1\"", "\"Name\":1"),
                       replaced(kConfiguration, "\"Host\"", "\"Hos\""),
                       replaced(kConfiguration, "\"Prefix\":\"/a/\"", "\"Prefix\":[]"));
    const auto item = decode("op/config", damaged);
    REQUIRE(item);
    REQUIRE(std::get<Configuration>(item.value()).routes.empty());
    REQUIRE(std::get<Configuration>(item.value()).problems.size() == 1);
}

TEST_CASE("The kind of a route decides whether a request may be executed again")
{
    const auto decoded = [](const std::string &kind) {
        return std::get<Configuration>(
                decode("op/config", replaced(kConfiguration, "idempotent", kind)).value());
    };
    REQUIRE(decoded("idempotent").routes.at(0).isIdempotent);
    REQUIRE(decoded("download").routes.at(0).isIdempotent);
    REQUIRE_FALSE(decoded("non_idempotent").routes.at(0).isIdempotent);
    REQUIRE(decoded("download").problems.empty());
    const auto unknown = decoded("perhaps");
    REQUIRE(unknown.routes.at(0).isReadable);
    REQUIRE_FALSE(unknown.routes.at(0).isIdempotent);
    REQUIRE(unknown.problems.size() == 1);
}

TEST_CASE("Accounts with unreadable fields are kept by their keys or make unknown keys undecided")
{
    const auto decoded = [](const std::string &from, const std::string &to) {
        return std::get<Configuration>(
                decode("op/config", replaced(kConfiguration, from, to)).value());
    };
    const auto noRate = decoded("\"RatePerS\":78", "\"RatePerS\":\"78\"");
    REQUIRE_FALSE(noRate.accounts.entries().at(0).isReadable);
    REQUIRE(noRate.accounts.entries().at(0).keys == std::vector<std::string>{"k"});
    REQUIRE(noRate.accounts.isComplete());
    const auto noKeys = decoded("\"ApiKeys\":[\"k\"]", "\"ApiKeys\":7");
    REQUIRE(noKeys.accounts.entries().empty());
    REQUIRE_FALSE(noKeys.accounts.isComplete());
    REQUIRE(RoutingTable::build(noKeys).value().needsKeys());
}

TEST_CASE("Unreadable fields of services and limits fall back to their defaults")
{
    const auto item
            = decode("op/config",
                     replaced(replaced(kConfiguration, "\"ColdStart\":\"3s\"", "\"ColdStart\":3"),
                              "\"15000ms\"", "15000"));
    REQUIRE(item);
    const auto &configuration = std::get<Configuration>(item.value());
    REQUIRE(configuration.services.at(0).name == "stock");
    REQUIRE(configuration.services.at(0).coldStart == Millis{0});
    REQUIRE(configuration.limits.idleTimeout == InputLimits{}.idleTimeout);
    REQUIRE(configuration.problems.size() == 2);
}

// Guards against a limit that is lifted because it cannot be read.
TEST_CASE("A limit that cannot be read does not become none")
{
    const auto decoded = [](const std::string &from, const std::string &to) {
        return std::get<Configuration>(
                decode("op/config", replaced(kConfiguration, from, to)).value());
    };
    const auto value
            = GENERATE(as<std::string>{}, "-1", "-0.5", "null", "true", "\"9\"", "[]", "{}");
    CAPTURE(value);
    for (const auto *member : {"\"RatePerS\":78", "\"Burst\":79"}) {
        const auto name = std::string{member}.substr(0, std::string{member}.find(':') + 1);
        const auto configuration = decoded(member, name + value);
        CHECK_FALSE(configuration.accounts.entries().at(0).isReadable);
        CHECK(configuration.problems.size() == 1);
    }
    const auto cold = decoded("\"ColdPerS\":15.0", "\"ColdPerS\":" + value);
    CHECK(cold.services.at(0).coldPerSecond > 0.0);
    CHECK(cold.services.at(0).coldPerSecond <= 1.0);
    CHECK(cold.services.at(0).coldStart == Millis{3000});
    CHECK(cold.problems.size() == 1);
    for (const auto *member : {"MaxHeaderBytes", "MaxBodyBytes"}) {
        const auto limits
                = decoded("\"MaxHeaderBytes\":16384", "\"" + std::string{member} + "\":" + value);
        CHECK(limits.limits.headerBytes == InputLimits{}.headerBytes);
        CHECK(limits.limits.bodyBytes == InputLimits{}.bodyBytes);
        CHECK(limits.limits.idleTimeout == Millis{15'000});
        CHECK(limits.problems.size() == 1);
    }
    const auto service = decoded("\"ColdStart\":\"3s\"", "\"ColdStart\":" + value);
    CHECK(service.services.at(0).coldPerSecond == Approx(15.0));
    CHECK(service.problems.size() == 1);
}

TEST_CASE("A limit that is 0 or not set is none")
{
    const auto decoded = [](const std::string &from, const std::string &to) {
        return std::get<Configuration>(
                decode("op/config", replaced(kConfiguration, from, to)).value());
    };
    REQUIRE(decoded("\"RatePerS\":78", "\"RatePerS\":0").accounts.entries().at(0).rate == 0.0);
    REQUIRE(decoded("\"RatePerS\":78,", "").accounts.entries().at(0).rate == 0.0);
    REQUIRE(decoded("\"ColdPerS\":15.0", "\"ColdPerS\":0").services.at(0).coldPerSecond == 0.0);
    REQUIRE(decoded(",\"ColdPerS\":15.0", "").services.at(0).coldPerSecond == 0.0);
    REQUIRE(decoded(",\"ColdPerS\":15.0", "").problems.empty());
}

TEST_CASE("Limits on requests that are no object are named and have their defaults")
{
    const auto value = GENERATE(as<std::string>{}, "null", "[]", "7", "\"\"",
                                "{\"MaxBodyBytes\":9,\"MaxBodyBytes\":7}",
                                "{},\"Limits\":{\"MaxBodyBytes\":9}");
    const auto configuration = std::get<Configuration>(
            decode("op/config",
                   replaced(kConfiguration, R"({"MaxHeaderBytes":16384,"IdleTimeout":"15000ms"})",
                            value))
                    .value());
    REQUIRE(configuration.limits.bodyBytes == InputLimits{}.bodyBytes);
    REQUIRE(configuration.problems.size() == 1);
}

// Guards against a version that no later one replaces, since its number was cut off or wrapped.
TEST_CASE("A version whose number is not whole is an error")
{
    const auto value = GENERATE(as<std::string>{}, "-1", "7.5", "1e30", "true", "null", "\"7\"",
                                "18446744073709551615", "7,\"Version\":9");
    CAPTURE(value);
    REQUIRE_FALSE(
            decode("op/config", replaced(kConfiguration, "\"Version\":7", "\"Version\":" + value)));
}

// Guards against a route that is opened by the second of two values.
TEST_CASE("A route that names a member twice is refused alone")
{
    const auto configuration = std::get<Configuration>(
            decode("op/config",
                   replaced(kConfiguration, "\"AllowAnonymous\":false",
                            "\"AllowAnonymous\":false,\"AllowAnonymous\":true"))
                    .value());
    REQUIRE(configuration.routes.size() == 1);
    REQUIRE_FALSE(configuration.routes[0].isReadable);
    REQUIRE(configuration.problems.size() == 1);
}

TEST_CASE("A version decoded after another one is the same as decoded alone")
{
    const platform::StoreItemDecoder decoder;
    const auto decodeWith = [](const platform::StoreItemDecoder &it, const std::string &value) {
        return std::get<Configuration>(it.decode("op/config", value).value());
    };
    const std::vector<std::pair<std::string, std::string>> changes{
            {"\"Version\":7", "\"Version\":8"},
            {"1200ms", "900ms"},
            {"\"Weight\":90", "\"Weight\":70"},
            {"\"RatePerS\":78", "\"RatePerS\":12"},
            {"[\"k\"]", "[\"k\",\"k2\"]"},
            {"900ms", "900"},
            {"\"900\"", "\"1s\""},
            {"[\"k\",\"k2\"]", "7"}};
    auto value = kConfiguration;
    for (const auto &[from, to] : changes) {
        value = replaced(value, from, to);
        CAPTURE(value);
        const auto after = decodeWith(decoder, value);
        const auto alone = decodeWith(platform::StoreItemDecoder{}, value);
        REQUIRE(after.version == alone.version);
        REQUIRE(after.routes.size() == alone.routes.size());
        REQUIRE(after.routes.at(0).timeout == alone.routes.at(0).timeout);
        REQUIRE(after.routes.at(0).isReadable == alone.routes.at(0).isReadable);
        REQUIRE(after.routes.at(0).split.size() == alone.routes.at(0).split.size());
        const auto &accounts = after.accounts.entries();
        REQUIRE(accounts.size() == alone.accounts.entries().size());
        REQUIRE(after.accounts.needsKeys() == alone.accounts.needsKeys());
        REQUIRE(after.accounts.isComplete() == alone.accounts.isComplete());
        REQUIRE(after.problems.size() == alone.problems.size());
        for (std::size_t i = 0; i < accounts.size(); ++i) {
            REQUIRE(accounts[i].rate == alone.accounts.entries()[i].rate);
            REQUIRE(accounts[i].keys == alone.accounts.entries()[i].keys);
        }
        for (std::size_t i = 0; i < after.routes.at(0).split.size(); ++i) {
            REQUIRE(after.routes[0].split[i].weight == alone.routes[0].split[i].weight);
        }
    }
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
    const auto value = GENERATE(as<std::string>{}, "{}", "", "null", "\xff", std::string(99, '['));
    REQUIRE(std::get<EvacuatedZone>(decode("op/evacuate/north", value).value()).zone == "north");
    REQUIRE(std::holds_alternative<UnknownItem>(decode("my/leader", "x").value()));
}
