#include "engine/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

#include <toml++/toml.h>

#include "admission/concurrency_limit.h"
#include "core/duration.h"

namespace celeryramp::engine {

namespace internal {

/*! API keys are rejected this long before the revocation bound is reached. */
constexpr Millis kKeyFreshnessMargin{500};
/*! Shortest time in which a configuration can be in force: readers wait for changes up to 0.5 s. */
constexpr Millis kMinConfigurationBound{1000};

/*! Range of the memory limit in MB; a node needs about 15 of them for itself. */
constexpr double kMinMemoryMegabytes = 32.0;
constexpr double kMaxMemoryMegabytes = 1024.0 * 1024.0;

/*! Range of the rate of a link. */
constexpr double kMinLinkMegabits = 1e-3;
constexpr double kMaxLinkMegabits = 1e6;
/*! Range of the limit on open descriptors, and the part of it that callers may take. The rest is
 * for peers, the server and files. */
constexpr double kMinDescriptors = 64.0;
constexpr double kMaxDescriptors = 1e7;
constexpr double kCallerDescriptorShare = 0.7;

struct TextKey
{
    const char *name;
    std::string EngineSettings::*member;
};

struct AddressKey
{
    const char *name;
    Address EngineSettings::*member;
};

constexpr std::array<TextKey, 3> kTextKeys{{{"name", &EngineSettings::name},
                                            {"zone", &EngineSettings::zone},
                                            {"service", &EngineSettings::service}}};

constexpr std::array<AddressKey, 4> kAddressKeys{{{"callers", &EngineSettings::callers},
                                                  {"links", &EngineSettings::links},
                                                  {"readiness", &EngineSettings::readiness},
                                                  {"backend", &EngineSettings::backend}}};

/*! @return True for a text that a template has left empty or has not filled, as platforms do that
 * do not know the value. The default then holds. */
template <typename Node>
[[nodiscard]] bool isUnset(const Node &node)
{
    const auto text = node.template value<std::string>();
    return text && (text->empty() || text->substr(0, 2) == "{{");
}

/*! @return A number, also if it is written as a text. */
template <typename Node>
[[nodiscard]] std::optional<double> number(const Node &node)
{
    const auto text = node.template value<std::string>();
    if (!text) {
        return node.template value<double>();
    }
    double value = 0.0;
    const auto [end, ec] = std::from_chars(text->data(), text->data() + text->size(), value);
    return ec == std::errc{} && end == text->data() + text->size() ? std::optional{value}
                                                                   : std::nullopt;
}

/*! @return A duration that is written as a text with a unit. */
[[nodiscard]] std::optional<Millis> duration(const toml::node &node)
{
    const auto text = node.value<std::string>();
    return text ? parseDuration(*text) : std::nullopt;
}

[[nodiscard]] bool readRevocation(const toml::node &node, EngineSettings &settings)
{
    const auto value = duration(node);
    settings.keyFreshness = value.value_or(Millis{0}) - kKeyFreshnessMargin;
    return value.has_value();
}

[[nodiscard]] bool readConfigurationBound(const toml::node &node, EngineSettings &settings)
{
    const auto value = duration(node);
    settings.configurationBound = value.value_or(Millis{0});
    return settings.configurationBound >= kMinConfigurationBound;
}

[[nodiscard]] bool readGrace(const toml::node &node, EngineSettings &settings)
{
    const auto value = duration(node);
    settings.grace = value.value_or(Millis{0});
    return value.has_value();
}

[[nodiscard]] bool readRetryRatio(const toml::node &node, EngineSettings &settings)
{
    const auto value = number(node);
    settings.retryRatio = value.value_or(0.0);
    return value && *value >= 0.0 && *value <= 1.0;
}

void applyMetricsPort(double value, EngineSettings &settings)
{
    settings.metrics = Address{settings.links.host, static_cast<std::uint16_t>(value)};
}

void applyMemory(double value, EngineSettings &settings)
{
    settings.memoryBytes = static_cast<std::size_t>(value) << 20U;
}

void applyLinkRate(double value, EngineSettings &settings)
{
    settings.linkMegabits = value;
}

void applyDescriptors(double value, EngineSettings &settings)
{
    settings.maxConnections = static_cast<std::size_t>(value * kCallerDescriptorShare);
}

struct NumberKey
{
    std::string_view name;
    double least;
    double most;
    std::string_view accepted; /*!< For the error of any other value. */
    void (*apply)(double, EngineSettings &);
};

constexpr std::array<NumberKey, 4> kNumberKeys{
        {{"metrics_port", 1.0, 65535.0, "not in the range from 1 to 65535", &applyMetricsPort},
         {"memory_mb", kMinMemoryMegabytes, kMaxMemoryMegabytes,
          "not in the range from 32 to 1048576", &applyMemory},
         {"link_mbps", kMinLinkMegabits, kMaxLinkMegabits, "not in the range from 0.001 to 1000000",
          &applyLinkRate},
         {"max_descriptors", kMinDescriptors, kMaxDescriptors,
          "not in the range from 64 to 10000000", &applyDescriptors}}};

struct BoundKey
{
    std::string_view name;
    bool (*read)(const toml::node &, EngineSettings &); /*!< False for an invalid value. */
};

constexpr std::array<BoundKey, 4> kBoundKeys{{{"revocation", &readRevocation},
                                              {"configuration", &readConfigurationBound},
                                              {"grace", &readGrace},
                                              {"retry_ratio", &readRetryRatio}}};

[[nodiscard]] std::optional<SettingsError> readBounds(const toml::table &bounds,
                                                      EngineSettings &settings)
{
    for (const auto &[key, node] : bounds) {
        const auto name = key.str();
        const auto *it = std::find_if(kBoundKeys.begin(), kBoundKeys.end(),
                                      [name](const BoundKey &bound) { return bound.name == name; });
        const bool isValid = it != kBoundKeys.end() && (isUnset(node) || it->read(node, settings));
        if (!isValid) {
            return SettingsError{"bounds." + std::string{name},
                                 "unknown setting, or invalid value"};
        }
    }
    return std::nullopt;
}

[[nodiscard]] std::optional<SettingsError> switchOff(std::string_view name, Mechanisms &mechanisms)
{
#ifdef CELERYRAMP_WITH_STANDINS
    for (const auto &it : kMechanisms) {
        if (it.name == name) {
            mechanisms.*it.member = false;
            return std::nullopt;
        }
    }
    return SettingsError{"without", "unknown mechanism " + std::string{name}};
#else
    static_cast<void>(name);
    static_cast<void>(mechanisms);
    return SettingsError{"without", "not available in this build"};
#endif
}

} // namespace internal

Result<ProcessSettings, SettingsError> readSettings(std::string_view text)
{
    toml::table table;
    try {
        table = toml::parse(text);
    } catch (const toml::parse_error &error) {
        std::ostringstream place;
        place << error.source().begin;
        return SettingsError{place.str(), std::string{error.description()}};
    }
    ProcessSettings settings;
    for (const auto &[name, member] : internal::kTextKeys) {
        const auto value = table[name].value<std::string>();
        if (!value || internal::isUnset(table[name])) {
            return SettingsError{name, "missing or empty"};
        }
        settings.engine.*member = *value;
    }
    for (const auto &[name, member] : internal::kAddressKeys) {
        const auto address = parseAddress(table[name].value_or(std::string_view{}));
        if (!address) {
            return SettingsError{name, "not an address of the form IP:port"};
        }
        settings.engine.*member = *address;
    }
    if (table.contains("links_listen") && !internal::isUnset(table["links_listen"])) {
        settings.engine.linksListen
                = parseAddress(table["links_listen"].value_or(std::string_view{}));
        if (!settings.engine.linksListen) {
            return SettingsError{"links_listen", "not an address of the form IP:port"};
        }
    }
    const auto source = parseAddress(table["source"].value_or(std::string_view{}));
    if (!source) {
        return SettingsError{"source", "not an address of the form IP:port"};
    }
    settings.source = *source;
    for (const auto &key : internal::kNumberKeys) {
        const auto node = table[key.name];
        if (!table.contains(key.name) || internal::isUnset(node)) {
            continue;
        }
        const auto value = internal::number(node);
        if (!value || !(*value >= key.least && *value <= key.most)) {
            return SettingsError{std::string{key.name}, std::string{key.accepted}};
        }
        key.apply(*value, settings.engine);
    }
    if (table.contains("concurrency") && !internal::isUnset(table["concurrency"])) {
        settings.engine.concurrency = table["concurrency"].value_or(std::string{});
        if (!admission::makeConcurrencyLimit(settings.engine.concurrency)) {
            return SettingsError{"concurrency", "not one of published, throughput"};
        }
    }
    if (const auto level = table["log_level"].value<std::string>(); level
        && !internal::isUnset(table["log_level"]) && !parseLogLevel(*level, settings.logLevel)) {
        return SettingsError{"log_level", "not one of debug, info, warn, error"};
    }
    if (const auto *without = table["without"].as_array()) {
        for (const auto &node : *without) {
            if (auto error = internal::switchOff(node.value_or(std::string_view{}),
                                                 settings.engine.mechanisms)) {
                return std::move(*error);
            }
        }
    }
    if (table.contains("bounds") && !table["bounds"].is_table()) {
        return SettingsError{"bounds", "not a table"};
    }
    if (const auto *bounds = table["bounds"].as_table()) {
        if (auto error = internal::readBounds(*bounds, settings.engine)) {
            return std::move(*error);
        }
    }
    return settings;
}

Result<ProcessSettings, SettingsError> loadSettings(const std::string &path)
{
    std::ifstream file{path, std::ios::binary};
    std::ostringstream text;
    if (!(text << file.rdbuf())) {
        return SettingsError{path, "cannot be read"};
    }
    return readSettings(text.str());
}

} // namespace celeryramp::engine
