#include "engine/settings_reader.h"

#include <catch2/catch.hpp>

using namespace celeryramp;
using namespace celeryramp::engine;

namespace {

const std::string kValidSettings = R"(
name = "node-1"
zone = "north"
service = "stock"
callers = "127.0.0.1:8001"
links = "127.0.0.1:8002"
readiness = "127.0.0.1:8003"
backend = "127.0.0.1:8004"
source = "127.0.0.1:8005"
metrics_port = 8006
memory_mb = 110
[bounds]
revocation = "5000ms"
configuration = "2500ms"
grace = "6s"
retry_ratio = 0.2
)";

std::string replaced(const std::string &from, const std::string &to)
{
    auto text = kValidSettings;
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("Valid settings are read completely")
{
    const auto settings = readSettings(kValidSettings);
    REQUIRE(settings);
    REQUIRE(settings.value().engine.links.port == 8002);
    REQUIRE(settings.value().source.port == 8005);
    REQUIRE(settings.value().engine.metrics->port == 8006);
    REQUIRE(settings.value().engine.grace == Millis{6000});
    REQUIRE(settings.value().engine.memoryBytes == 110U << 20U);
    REQUIRE(settings.value().engine.configurationBound == Millis{2500});
    REQUIRE(settings.value().engine.keyFreshness < Millis{5000});
    REQUIRE(settings.value().engine.retryRatio == Approx(0.2));
}

// Guards against a node that does not start where the platform does not know a value.
TEST_CASE("Values that a template leaves empty or does not fill have their defaults")
{
    const engine::EngineSettings defaults;
    for (const auto *unset : {"\"\"", "\"{{Limits.MemoryMb}}\""}) {
        CAPTURE(unset);
        const auto memory = readSettings(replaced("110", unset));
        REQUIRE(memory);
        REQUIRE(memory.value().engine.memoryBytes == defaults.memoryBytes);
        const auto bound = readSettings(replaced("\"2500ms\"", unset));
        REQUIRE(bound);
        REQUIRE(bound.value().engine.configurationBound == defaults.configurationBound);
    }
    REQUIRE(readSettings(replaced("110", "\"110\"")).value().engine.memoryBytes == 110U << 20U);
    REQUIRE_FALSE(readSettings(replaced("110", "\"much\"")));
}

TEST_CASE("The first invalid setting is reported by its key")
{
    const auto [text, place] = GENERATE(table<std::string, std::string>(
            {{replaced("name = \"node-1\"", ""), "name"},
             {replaced("\"127.0.0.1:8002\"", "\"localhost:8002\""), "links"},
             {replaced("127.0.0.1:8005", "127.0.0.1"), "source"},
             {replaced("8006", "80060"), "metrics_port"},
             {replaced("110", "16"), "memory_mb"},
             {replaced("\"6s\"", "\"6\""), "bounds.grace"},
             {replaced("\"2500ms\"", "\"900ms\""), "bounds.configuration"},
             {replaced("0.2", "2.0"), "bounds.retry_ratio"},
             {replaced("retry_ratio", "retry_ration"), "bounds.retry_ration"},
             {replaced("service", "links_listen = \"here\"\nservice"), "links_listen"},
             {replaced("service", "without = [\"gravity\"]\nservice"), "without"},
             {replaced("service", "log_level = \"loud\"\nservice"), "log_level"}}));
    const auto settings = readSettings(text);
    REQUIRE_FALSE(settings);
    REQUIRE(settings.error().place == place);
}

TEST_CASE("Invalid TOML is reported with a reason")
{
    const auto settings = readSettings("name = ");
    REQUIRE_FALSE(settings);
    REQUIRE_FALSE(settings.error().reason.empty());
}

TEST_CASE("A listening address for peers and mechanisms to switch off are optional")
{
    REQUIRE_FALSE(readSettings(kValidSettings).value().engine.linksListen);
    REQUIRE(readSettings(kValidSettings).value().engine.mechanisms.draining);
    const auto settings = readSettings(replaced(
            "service", "links_listen = \"127.0.0.9:8002\"\nwithout = [\"draining\"]\nservice"));
    REQUIRE(settings);
    REQUIRE(settings.value().engine.linksListen->host == "127.0.0.9");
    REQUIRE_FALSE(settings.value().engine.mechanisms.draining);
    REQUIRE(settings.value().engine.mechanisms.evacuation);
}
