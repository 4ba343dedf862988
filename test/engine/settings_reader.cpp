#include "engine/settings_reader.h"

#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

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

namespace {

/*! Lines of the template that deployments fill in, with the keys whose value they cannot lack. */
const std::set<std::string> kNeededKeys{"name",  "zone",      "service", "callers",
                                        "links", "readiness", "backend", "source"};

std::vector<std::string> templateLines()
{
    std::ifstream file{CELERYRAMP_TEMPLATE};
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);) {
        lines.push_back(line);
    }
    return lines;
}

/*! @return Settings from the template; the value of one line is replaced, the others are valid. */
std::string filledTemplate(std::size_t emptied, const std::string &value)
{
    const std::map<std::string, std::string> kValues{{"name", "node-1"},
                                                     {"zone", "north"},
                                                     {"service", "stock"},
                                                     {"callers", "127.0.0.1:8001"},
                                                     {"links", "127.0.0.1:8002"},
                                                     {"readiness", "127.0.0.1:8003"},
                                                     {"backend", "127.0.0.1:8004"},
                                                     {"source", "127.0.0.1:8005"}};
    std::string text;
    const auto lines = templateLines();
    for (std::size_t i = 0; i < lines.size(); ++i) {
        const auto key = lines[i].substr(0, lines[i].find(' '));
        const bool isFilled = lines[i].find("{{") != std::string::npos;
        if (!isFilled || lines[i].front() == '#') {
            text += lines[i] + "\n";
        } else if (i == emptied) {
            // The value is replaced as the platform does, inside the quotes if there are any.
            const auto from = lines[i].find("{{");
            const auto to = lines[i].rfind("}}") + 2;
            text += lines[i].substr(0, from) + value + lines[i].substr(to) + "\n";
        } else if (const auto it = kValues.find(key); it != kValues.end()) {
            text += key + " = \"" + it->second + "\"\n";
        }
    }
    return text;
}

} // namespace

TEST_CASE("Each field of the template may be absent unless the node cannot do without it")
{
    const auto lines = templateLines();
    REQUIRE(lines.size() > 10);
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (lines[i].find("{{") == std::string::npos || lines[i].front() == '#') {
            continue;
        }
        const auto key = lines[i].substr(0, lines[i].find(' '));
        CAPTURE(lines[i]);
        for (const auto *absent : {"", "{{Unknown}}"}) {
            const auto settings = readSettings(filledTemplate(i, absent));
            REQUIRE(settings.has_value() == (kNeededKeys.count(key) == 0));
            if (!settings) {
                REQUIRE(settings.error().place == key);
            }
        }
        if (kNeededKeys.count(key) == 0) {
            REQUIRE_FALSE(readSettings(filledTemplate(i, "nonsense")));
        }
    }
}

TEST_CASE("The first invalid setting is reported by its key")
{
    const auto [text, place] = GENERATE(table<std::string, std::string>(
            {{replaced("name = \"node-1\"", ""), "name"},
             {replaced("\"127.0.0.1:8002\"", "\"localhost:8002\""), "links"},
             {replaced("127.0.0.1:8005", "127.0.0.1"), "source"},
             {replaced("8006", "80060"), "metrics_port"},
             {replaced("110", "16"), "memory_mb"},
             {replaced("service", "link_mbps = 0\nservice"), "link_mbps"},
             {replaced("service", "max_descriptors = 10\nservice"), "max_descriptors"},
             {replaced("service", "concurrency = \"gravity\"\nservice"), "concurrency"},
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

// Guards against bounds, such as that of revoked keys, that are lifted because they cannot be read.
TEST_CASE("Bounds that are no table are an error")
{
    const auto bounds = kValidSettings.find("[bounds]");
    for (const auto *value : {"\"\"", "7", "[]", "[{ revocation = \"5000ms\" }]"}) {
        CAPTURE(value);
        const auto settings
                = readSettings(kValidSettings.substr(0, bounds) + "bounds = " + value + "\n");
        REQUIRE_FALSE(settings);
        REQUIRE(settings.error().place == "bounds");
    }
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
