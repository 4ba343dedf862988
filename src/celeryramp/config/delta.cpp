#include "config/delta.h"

#include <nlohmann/json.hpp>

#include "config/limits.h"
#include "config/parse.h"
#include "core/hash.h"

namespace celeryramp {

namespace internal {

using Json = nlohmann::json;

[[nodiscard]] std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

[[nodiscard]] Json makePartChange(const std::string &base, const std::string &target)
{
    const auto from = Json::parse(base, nullptr, false);
    const auto to = Json::parse(target, nullptr, false);
    if (from.is_discarded() || to.is_discarded() || to.dump() != target) {
        return {{"whole", target}};
    }
    return {{"patch", Json::diff(from, to)}};
}

[[nodiscard]] std::string partOrEmpty(const std::map<std::string, std::string> &parts,
                                      const std::string &name)
{
    const auto it = parts.find(name);
    return it == parts.end() ? std::string{} : it->second;
}

[[nodiscard]] std::string applyPartChange(const std::string &base, const Json &change)
{
    if (const auto whole = change.find("whole"); whole != change.end()) {
        return whole->get<std::string>();
    }
    return Json::parse(base).patch(change.at("patch")).dump();
}

} // namespace internal

std::string makeDelta(const ConfigDocument &base, const ConfigDocument &target)
{
    auto changes = internal::Json::object();
    for (const auto &[name, bytes] : target.parts) {
        const auto from = internal::partOrEmpty(base.parts, name);
        if (from != bytes) {
            changes[name] = internal::makePartChange(from, bytes);
        }
    }
    return internal::toBytes({{"manifest", manifestText(target.manifest)}, {"changes", changes}});
}

std::optional<ConfigDocument> applyDelta(const ConfigDocument &base, const std::string &delta)
{
    try {
        const auto json = internal::Json::from_cbor(delta);
        auto manifest = parseManifest(json.at("manifest").get<std::string>());
        if (!manifest) {
            return std::nullopt;
        }
        ConfigDocument document{manifest.value(), base.parts};
        for (const auto &[name, change] : json.at("changes").items()) {
            document.parts[name]
                    = internal::applyPartChange(internal::partOrEmpty(base.parts, name), change);
        }
        for (const auto &[name, hash] : document.manifest.parts) {
            if (sha256Hex(internal::partOrEmpty(document.parts, name)) != hash) {
                return std::nullopt;
            }
        }
        return document;
    } catch (const internal::Json::exception &) {
        return std::nullopt;
    }
}

std::string packDocument(const ConfigDocument &document)
{
    return internal::toBytes(
            {{"manifest", manifestText(document.manifest)}, {"parts", document.parts}});
}

std::optional<ConfigDocument> unpackDocument(const std::string &bytes)
{
    try {
        const auto json = internal::Json::from_cbor(bytes);
        auto manifest = parseManifest(json.at("manifest").get<std::string>());
        if (!manifest) {
            return std::nullopt;
        }
        ConfigDocument document{manifest.value(), {}};
        json.at("parts").get_to(document.parts);
        return document;
    } catch (const internal::Json::exception &) {
        return std::nullopt;
    }
}

} // namespace celeryramp
