#include "config/parse.h"

#include <algorithm>

#include "config/json_reader.h"
#include "config/limits.h"
#include "config/references.h"
#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr double kMaxRate = 1e7;
constexpr std::int64_t kMaxDurationMs = 600'000;
constexpr std::int64_t kMaxKeyFreshnessMs = 86'400'000;
constexpr std::int64_t kMaxSlots = 4096;
constexpr std::size_t kHashDigits = 64;

using Json = nlohmann::json;
using MaybeError = std::optional<ConfigError>;

[[nodiscard]] MaybeError finishReading(JsonReader &reader)
{
    reader.finish();
    return reader.ok() ? std::nullopt : MaybeError{reader.error()};
}

/*! Calls `read(name, reader)` for each member of an object of objects; stops at the first error. */
template <typename Read>
[[nodiscard]] MaybeError forEachEntry(const Json &entries, const std::string &part,
                                      const std::string &place, Read read)
{
    for (const auto &[name, value] : entries.items()) {
        auto entryPlace = place;
        entryPlace.append("/").append(name);
        JsonReader reader{value, part, std::move(entryPlace)};
        if (name.empty()) {
            reader.fail(ConfigErrorCode::OutOfRange, "", "a name must not be empty");
        }
        read(name, reader);
        if (auto error = finishReading(reader)) {
            return error;
        }
    }
    return std::nullopt;
}

[[nodiscard]] MaybeError readZones(const Json &json, ConfigModel &model)
{
    JsonReader top{json, "zones", ""};
    const auto &zones = top.object("zones");
    if (auto error = finishReading(top)) {
        return error;
    }
    return forEachEntry(zones, "zones", "/zones", [&](const auto &name, auto &reader) {
        AvailabilityZone zone;
        zone.name = name;
        zone.region = reader.text("region");
        zone.status = reader.choice("status", {"in", "out"}) == 0 ? ZoneStatus::InService
                                                                  : ZoneStatus::OutOfService;
        model.zones.emplace(name, std::move(zone));
    });
}

void readClass(const std::string &name, JsonReader &reader, ConfigModel &model)
{
    WorkClass workClass;
    workClass.name = name;
    workClass.latency = Millis{reader.integer("latency_ms", 1, kMaxDurationMs)};
    workClass.success = reader.number("success", 0.0, 1.0);
    workClass.repeat = reader.choice("repeat", {"idempotent", "at-most-once"}) == 0
            ? RepeatSafety::Idempotent
            : RepeatSafety::AtMostOnce;
    workClass.deadline = Millis{reader.integer("deadline_ms", 1, kMaxDurationMs)};
    workClass.keyFreshness = Millis{reader.integerOr("key_freshness_ms", 0, kMaxKeyFreshnessMs, 0)};
    if (workClass.deadline < workClass.latency) {
        reader.fail(ConfigErrorCode::OutOfRange, "deadline_ms", "must not be below latency_ms");
    }
    model.classes.emplace(name, std::move(workClass));
}

void readRoute(JsonReader &reader, ConfigModel &model)
{
    Route route;
    route.path = reader.text("path");
    route.service = reader.text("service");
    route.workClass = reader.text("class");
    route.access
            = static_cast<RouteAccess>(reader.choice("access", {"account", "open", "internal"}));
    if (route.path.size() < 2 || route.path.front() != '/' || route.path.back() == '/') {
        reader.fail(ConfigErrorCode::OutOfRange, "path",
                    "must start with / and a segment and must not end with /");
    }
    const auto hasSamePath = [&](const Route &other) { return other.path == route.path; };
    if (std::any_of(model.routes.begin(), model.routes.end(), hasSamePath)) {
        reader.fail(ConfigErrorCode::OutOfRange, "path", "is already used by another route");
    }
    model.routes.push_back(std::move(route));
}

[[nodiscard]] MaybeError readServices(const Json &json, ConfigModel &model)
{
    JsonReader top{json, "services", ""};
    const auto &classes = top.object("classes");
    const auto &services = top.object("services");
    const auto &routes = top.array("routes");
    if (auto error = finishReading(top)) {
        return error;
    }
    auto error = forEachEntry(classes, "services", "/classes", [&](const auto &name, auto &reader) {
        readClass(name, reader, model);
    });
    if (error) {
        return error;
    }
    error = forEachEntry(services, "services", "/services",
                         [&](const auto &name, auto & /*reader*/) {
                             model.services.emplace(name, Service{name});
                         });
    if (error) {
        return error;
    }
    std::size_t i = 0;
    for (const auto &value : routes) {
        JsonReader reader{value, "services", "/routes/" + std::to_string(i++)};
        readRoute(reader, model);
        if (error = finishReading(reader); error) {
            return error;
        }
    }
    return std::nullopt;
}

[[nodiscard]] MaybeError readAccounts(const Json &json, ConfigModel &model)
{
    JsonReader top{json, "accounts", ""};
    const auto &accounts = top.object("accounts");
    if (auto error = finishReading(top)) {
        return error;
    }
    return forEachEntry(accounts, "accounts", "/accounts", [&](const auto &name, auto &reader) {
        ClientAccount account;
        account.name = name;
        account.rate = reader.number("rate", 0.001, kMaxRate);
        account.burst = reader.number("burst", 1.0, kMaxRate);
        model.accounts.emplace(name, std::move(account));
    });
}

[[nodiscard]] MaybeError readKeys(const Json &json, ConfigModel &model)
{
    JsonReader top{json, "keys", ""};
    const auto &keys = top.object("keys");
    if (auto error = finishReading(top)) {
        return error;
    }
    return forEachEntry(keys, "keys", "/keys", [&](const auto &name, auto &reader) {
        ApiKey key;
        key.id = name;
        key.account = reader.text("account");
        key.salt = reader.text("salt");
        key.hash = reader.text("hash");
        if (key.hash.size() != kHashDigits) {
            reader.fail(ConfigErrorCode::OutOfRange, "hash", "must be 64 hexadecimal digits");
        }
        if (name.find('.') != std::string::npos) {
            reader.fail(ConfigErrorCode::OutOfRange, "", "a key id must not contain a dot");
        }
        model.keys.emplace(name, std::move(key));
    });
}

[[nodiscard]] Address readAddress(JsonReader &reader, const char *name)
{
    const auto text = reader.text(name);
    if (auto address = parseAddress(text)) {
        return *address;
    }
    reader.fail(ConfigErrorCode::OutOfRange, name,
                "must be an IP address and a port from 1 to 65535");
    return {};
}

[[nodiscard]] MaybeError readServers(const Json &json, ConfigModel &model)
{
    JsonReader top{json, "servers", ""};
    const auto &servers = top.object("servers");
    if (auto error = finishReading(top)) {
        return error;
    }
    return forEachEntry(servers, "servers", "/servers", [&](const auto &name, auto &reader) {
        BackendServer server;
        server.name = name;
        server.service = reader.text("service");
        server.zone = reader.text("zone");
        server.node = readAddress(reader, "node");
        server.operatorPort = readAddress(reader, "operator");
        server.slots = static_cast<int>(reader.integer("slots", 1, kMaxSlots));
        model.servers.emplace(name, std::move(server));
    });
}

using PartReader = MaybeError (*)(const Json &, ConfigModel &);

struct PartEntry
{
    std::string_view name;
    PartReader read;
};

constexpr std::array<PartEntry, kPartNames.size()> kReaders{{{"zones", readZones},
                                                             {"services", readServices},
                                                             {"accounts", readAccounts},
                                                             {"keys", readKeys},
                                                             {"servers", readServers}}};

[[nodiscard]] MaybeError checkBytes(const ConfigDocument &document, const std::string &name)
{
    const auto hash = document.manifest.parts.find(name);
    if (hash == document.manifest.parts.end()) {
        return ConfigError{ConfigErrorCode::MissingPart, "manifest", "/parts/" + name,
                           "is missing"};
    }
    const auto bytes = document.parts.find(name);
    if (bytes == document.parts.end()) {
        return ConfigError{ConfigErrorCode::MissingPart, name, "/", "is missing from the document"};
    }
    if (bytes->second.size() > kMaxPartBytes) {
        return ConfigError{ConfigErrorCode::TooLarge, name, "/",
                           "has " + std::to_string(bytes->second.size())
                                   + " bytes, accepted range 0 to "
                                   + std::to_string(kMaxPartBytes)};
    }
    if (sha256Hex(bytes->second) != hash->second) {
        return ConfigError{ConfigErrorCode::HashMismatch, name, "/",
                           "does not match the SHA-256 in the manifest"};
    }
    return std::nullopt;
}

[[nodiscard]] MaybeError readPart(const ConfigDocument &document, const PartEntry &entry,
                                  ConfigModel &model)
{
    const std::string name{entry.name};
    if (auto error = checkBytes(document, name)) {
        return error;
    }
    const auto json = Json::parse(document.parts.at(name), nullptr, false);
    if (json.is_discarded()) {
        return ConfigError{ConfigErrorCode::Syntax, name, "/", "is not valid JSON"};
    }
    return entry.read(json, model);
}

[[nodiscard]] MaybeError readManifestParts(const Json &parts, Manifest &manifest)
{
    for (const auto &[name, value] : parts.items()) {
        const auto known = std::find(kPartNames.begin(), kPartNames.end(), name);
        if (known == kPartNames.end()) {
            return ConfigError{ConfigErrorCode::UnknownMember, "manifest", "/parts/" + name,
                               "is not a known part"};
        }
        if (!value.is_string() || value.get_ref<const std::string &>().size() != kHashDigits) {
            return ConfigError{ConfigErrorCode::WrongType, "manifest", "/parts/" + name,
                               "must be 64 hexadecimal digits"};
        }
        manifest.parts.emplace(name, value.get<std::string>());
    }
    return std::nullopt;
}

} // namespace internal

Result<Manifest, ConfigError> parseManifest(std::string_view text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        return ConfigError{ConfigErrorCode::Syntax, "manifest", "/", "is not valid JSON"};
    }
    JsonReader reader{json, "manifest", ""};
    Manifest manifest;
    manifest.version = static_cast<std::uint64_t>(
            reader.integer("version", 1, std::numeric_limits<std::int64_t>::max()));
    const auto &parts = reader.object("parts");
    if (auto error = internal::finishReading(reader)) {
        return *error;
    }
    if (auto error = internal::readManifestParts(parts, manifest)) {
        return *error;
    }
    return manifest;
}

std::string manifestText(const Manifest &manifest)
{
    return nlohmann::json{{"version", manifest.version}, {"parts", manifest.parts}}.dump();
}

Result<SnapshotPtr, ConfigError> buildSnapshot(const ConfigDocument &document)
{
    ConfigModel model;
    for (const auto &entry : internal::kReaders) {
        if (auto error = internal::readPart(document, entry, model)) {
            return *error;
        }
    }
    if (auto error = findDanglingReference(model)) {
        return *error;
    }
    return std::make_shared<const Snapshot>(document.stamp(), std::move(model));
}

ConfigDocument makeDocument(std::uint64_t version, std::map<std::string, std::string> parts)
{
    ConfigDocument document;
    document.manifest.version = version;
    for (const auto &[name, bytes] : parts) {
        document.manifest.parts[name] = sha256Hex(bytes);
    }
    document.parts = std::move(parts);
    return document;
}

} // namespace celeryramp
