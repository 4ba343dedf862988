#include "ctl/commands.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <sstream>
#include <thread>

#include "config/limits.h"
#include "config/parse.h"
#include "core/hash.h"
#include "ctl/config_review.h"

namespace celeryramp {

namespace internal {

using Json = nlohmann::json;

constexpr int kJsonIndent = 2;
constexpr std::size_t kSaltBytes = 8;
constexpr std::size_t kStatusThreads = 32;

[[nodiscard]] std::string pretty(const Json &json)
{
    return json.dump(kJsonIndent, ' ', false, Json::error_handler_t::replace) + "\n";
}

[[nodiscard]] CtlOutput failed(CtlExit exit, const std::string &error)
{
    return {exit, {}, error + "\n"};
}

[[nodiscard]] Result<std::map<std::string, std::string>, CtlOutput>
readParts(const std::string &folder)
{
    std::map<std::string, std::string> parts;
    for (const auto name : kPartNames) {
        const auto path = std::filesystem::path{folder} / (std::string{name} + ".json");
        std::ifstream in{path};
        if (!in) {
            return failed(CtlExit::Bad, path.string() + ": cannot be read");
        }
        parts[std::string{name}] = {std::istreambuf_iterator<char>{in}, {}};
    }
    return parts;
}

/*! Asks many nodes at a time. */
[[nodiscard]] std::vector<Json> statusesOf(const OperatorClient &client, const Json &servers)
{
    std::vector<Json> rows(servers.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (auto i = next.fetch_add(1); i < rows.size(); i = next.fetch_add(1)) {
            const auto &server = servers[i];
            const auto address = parseAddress(server.at("operator").get<std::string>());
            auto status = client.get(*address, "/status");
            rows[i] = status ? std::move(status.value()) : Json{{"error", status.error().reason}};
            rows[i]["server"] = server.at("server");
            rows[i]["zone"] = server.at("zone");
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(kStatusThreads, rows.size()); ++i) {
        threads.emplace_back(work);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return rows;
}

/*! Adds to each row what is to be noted, and returns whether all is well. */
bool noteLaggards(std::vector<Json> &rows)
{
    std::uint64_t highest = 0;
    for (const auto &row : rows) {
        highest = std::max(highest, row.value("version", std::uint64_t{0}));
    }
    bool good = true;
    for (auto &row : rows) {
        std::string note;
        if (row.contains("error")) {
            note = "no answer: " + row["error"].get<std::string>();
        } else if (row.value("version", std::uint64_t{0}) < highest) {
            note = "behind version " + std::to_string(highest);
        } else if (!row.value("ready", false)) {
            note = "not ready";
        }
        good = good && note.empty();
        if (note.empty() && !row["rejections"].empty()) {
            note = "refused: " + row["rejections"].back().value("reason", std::string{});
        }
        row["note"] = note;
    }
    return good;
}

[[nodiscard]] std::string statusTable(const std::vector<Json> &rows)
{
    std::ostringstream out;
    out << std::left << std::setw(24) << "SERVER" << std::setw(8) << "ZONE" << std::setw(9)
        << "VERSION" << std::setw(15) << "CONFIRMED"
        << "NOTE\n";
    for (const auto &row : rows) {
        const auto ago = row.value("confirmed_ago_ms", Json{});
        out << std::left << std::setw(24) << row["server"].get<std::string>() << std::setw(8)
            << row["zone"].get<std::string>() << std::setw(9)
            << (row.contains("version") ? row["version"].dump() : "-") << std::setw(15)
            << (ago.is_number() ? ago.dump() + " ms ago" : "-") << row["note"].get<std::string>()
            << '\n';
    }
    return out.str();
}

[[nodiscard]] const char *kindName(ReviewKind kind)
{
    return kind == ReviewKind::NeverMatches ? "never matches" : "contradiction";
}

[[nodiscard]] const char *kindName(ChangeKind kind)
{
    constexpr std::array<const char *, 3> kNames{"removed", "added", "changed"};
    return kNames.at(static_cast<std::size_t>(kind));
}

[[nodiscard]] std::string noteLines(const std::vector<ReviewNote> &notes)
{
    std::string text;
    for (const auto &note : notes) {
        text += std::string{kindName(note.kind)} + ": " + note.part + ".json: " + note.place + ": "
                + note.text + "\n";
    }
    return text;
}

[[nodiscard]] std::string changeLines(const std::vector<ConfigChange> &changes, bool isCompared)
{
    std::string text = isCompared && changes.empty() ? "no difference\n" : "";
    for (const auto &change : changes) {
        text += std::string{kindName(change.kind)} + ": " + change.entity
                + (change.detail.empty() ? "" : ": " + change.detail) + "\n";
    }
    return text;
}

[[nodiscard]] Json notesJson(const std::vector<ReviewNote> &notes)
{
    auto list = Json::array();
    for (const auto &note : notes) {
        list.push_back({{"kind", kindName(note.kind)},
                        {"part", note.part},
                        {"place", note.place},
                        {"text", note.text}});
    }
    return list;
}

[[nodiscard]] Json changesJson(const std::vector<ConfigChange> &changes)
{
    auto list = Json::array();
    for (const auto &change : changes) {
        list.push_back({{"kind", kindName(change.kind)},
                        {"entity", change.entity},
                        {"detail", change.detail}});
    }
    return list;
}

} // namespace internal

Result<SnapshotPtr, CtlOutput> loadFolder(const std::string &folder, bool asJson)
{
    auto parts = internal::readParts(folder);
    if (!parts) {
        return parts.error();
    }
    auto snapshot = buildSnapshot(makeDocument(1, std::move(parts.value())));
    if (snapshot) {
        return std::move(snapshot.value());
    }
    const auto &error = snapshot.error();
    if (asJson) {
        return CtlOutput{CtlExit::Bad,
                         internal::pretty({{"good", false},
                                           {"part", error.part},
                                           {"place", error.place},
                                           {"reason", error.reason}}),
                         {}};
    }
    return internal::failed(CtlExit::Bad,
                            folder + "/" + error.part + ".json: " + error.place + ": "
                                    + error.reason);
}

Result<SnapshotPtr, CtlOutput> loadInForce(const OperatorClient &client, const Address &node)
{
    const auto answer = client.get(node, "/configuration");
    if (!answer) {
        return internal::failed(CtlExit::Unreachable, answer.error().reason);
    }
    const auto &json = answer.value();
    if (!json.contains("parts") || !json["parts"].is_object() || json["parts"].empty()) {
        return internal::failed(CtlExit::Bad, node.text() + " has no configuration in force");
    }
    std::map<std::string, std::string> parts;
    for (const auto &[name, text] : json["parts"].items()) {
        parts[name] = text.is_string() ? text.get<std::string>() : std::string{};
    }
    auto snapshot = buildSnapshot(
            makeDocument(json.value("version", std::uint64_t{1}), std::move(parts)));
    if (!snapshot) {
        return internal::failed(CtlExit::Bad, node.text() + ": " + snapshot.error().text());
    }
    return std::move(snapshot.value());
}

CtlOutput checkFolder(const std::string &folder, const CheckOptions &options)
{
    const auto snapshot = loadFolder(folder, options.asJson);
    if (!snapshot) {
        return snapshot.error();
    }
    const auto &model = snapshot.value()->model();
    const auto notes = reviewConfig(*snapshot.value());
    const auto changes = options.inForce ? compareConfigs(options.inForce->model(), model)
                                         : std::vector<ConfigChange>{};
    const auto exit = options.isStrict && !notes.empty() ? CtlExit::Bad : CtlExit::Good;
    internal::Json summary{{"good", true},
                           {"zones", model.zones.size()},
                           {"services", model.services.size()},
                           {"routes", model.routes.size()},
                           {"accounts", model.accounts.size()},
                           {"keys", model.keys.size()},
                           {"servers", model.servers.size()}};
    if (!options.asJson) {
        return {exit,
                "good: " + folder + " " + summary.dump() + "\n" + internal::noteLines(notes)
                        + internal::changeLines(changes, options.inForce != nullptr),
                {}};
    }
    summary["notes"] = internal::notesJson(notes);
    if (options.inForce) {
        summary["changes"] = internal::changesJson(changes);
    }
    return {exit, internal::pretty(summary), {}};
}

CtlOutput siteStatus(const OperatorClient &client, const Address &node, bool asJson)
{
    const auto servers = client.get(node, "/servers");
    if (!servers) {
        return internal::failed(CtlExit::Unreachable, servers.error().reason);
    }
    auto rows = internal::statusesOf(client, servers.value());
    const auto exit = internal::noteLaggards(rows) ? CtlExit::Good : CtlExit::Bad;
    return {exit, asJson ? internal::pretty(rows) : internal::statusTable(rows), {}};
}

CtlOutput dumpNode(const OperatorClient &client, const Address &node)
{
    const auto state = client.get(node, "/state");
    return state ? CtlOutput{CtlExit::Good, internal::pretty(state.value()), {}}
                 : internal::failed(CtlExit::Unreachable, state.error().reason);
}

CtlOutput explainPath(const OperatorClient &client, const Address &node, const std::string &path,
                      bool asJson)
{
    const auto answer = client.get(node, "/explain?path=" + path);
    if (!answer) {
        return internal::failed(CtlExit::Unreachable, answer.error().reason);
    }
    const auto &json = answer.value();
    if (asJson) {
        return {CtlExit::Good, internal::pretty(json), {}};
    }
    if (json.at("route").is_null()) {
        return {CtlExit::Bad, "no route for " + path + "\n", {}};
    }
    std::ostringstream out;
    out << path << " -> route " << json.at("route").get<std::string>() << ", service "
        << json.at("service").get<std::string>() << ", class "
        << json.at("class").get<std::string>() << '\n';
    for (const auto &server : json.at("servers")) {
        out << "  " << std::left << std::setw(24) << server.at("server").get<std::string>()
            << std::setw(8) << server.at("zone").get<std::string>() << "pressure " << std::setw(8)
            << server.at("pressure").dump() << server.at("verdict").get<std::string>() << '\n';
    }
    return {CtlExit::Good, out.str(), {}};
}

CtlOutput hashKey(std::string_view key, const std::string &account)
{
    const auto dot = key.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot + 1 == key.size()) {
        return internal::failed(CtlExit::Usage, "a key reads id.secret");
    }
    const auto salt = randomHex(internal::kSaltBytes);
    const std::string id{key.substr(0, dot)};
    const auto hash = sha256Hex(salt + std::string{key.substr(dot + 1)});
    const internal::Json entry{{id, {{"account", account}, {"salt", salt}, {"hash", hash}}}};
    return {CtlExit::Good, internal::pretty(entry), {}};
}

} // namespace celeryramp
