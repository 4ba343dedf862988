#include "node/settings_reader.h"

#include <filesystem>
#include <fstream>

namespace celeryramp {

SettingsReader::SettingsReader(std::string path) : m_path{std::move(path)}
{
    if (!std::ifstream{m_path}) {
        m_error = m_path + ": cannot be read";
        return;
    }
    try {
        m_table = toml::parse_file(m_path);
    } catch (const toml::parse_error &error) {
        m_error = m_path + ":" + std::to_string(error.source().begin.line)
                + ": syntax: " + std::string{error.description()};
    }
}

const toml::node *SettingsReader::find(const std::string &key)
{
    m_read.insert(key);
    return m_error ? nullptr : m_table.at_path(key).node();
}

bool SettingsReader::has(const std::string &key) const
{
    return !m_error && m_table.at_path(key).node() != nullptr;
}

void SettingsReader::fail(const std::string &key, const std::string &reason)
{
    failAt(m_table.at_path(key).node(), key, reason);
}

void SettingsReader::failAt(const toml::node *node, const std::string &key,
                            const std::string &reason)
{
    if (m_error) {
        return;
    }
    const auto line = node == nullptr ? 1U : node->source().begin.line;
    m_error = m_path + ":" + std::to_string(line) + ": " + key + ": " + reason;
}

std::string SettingsReader::text(const std::string &key)
{
    const auto *node = find(key);
    const auto value = node == nullptr ? std::nullopt : node->value_exact<std::string>();
    if (!value || value->empty()) {
        failAt(node, key, node == nullptr ? "is missing; accepted: a text" : "must be a text");
        return {};
    }
    return *value;
}

std::string SettingsReader::choice(const std::string &key,
                                   std::initializer_list<const char *> choices,
                                   const std::string &fallback)
{
    const auto *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<std::string>();
    std::string accepted;
    for (const auto *choice : choices) {
        if (value && *value == choice) {
            return *value;
        }
        accepted += std::string{accepted.empty() ? "" : ", "} + choice;
    }
    failAt(node, key, "accepted: " + accepted);
    return fallback;
}

std::int64_t SettingsReader::integer(const std::string &key, std::int64_t low, std::int64_t high,
                                     std::int64_t fallback)
{
    const auto *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<std::int64_t>();
    if (!value || *value < low || *value > high) {
        failAt(node, key,
               "accepted: a whole number " + std::to_string(low) + " to " + std::to_string(high));
        return fallback;
    }
    return *value;
}

bool SettingsReader::flag(const std::string &key, bool fallback)
{
    const auto *node = find(key);
    if (node == nullptr) {
        return fallback;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        failAt(node, key, "accepted: true, false");
        return fallback;
    }
    return *value;
}

Address SettingsReader::address(const std::string &key)
{
    const auto value = text(key);
    if (auto address = parseAddress(value)) {
        return *address;
    }
    fail(key, "accepted: an IP number with a port 1 to 65535, such as 127.0.0.1:8080");
    return {};
}

std::vector<std::string> SettingsReader::texts(const std::string &key)
{
    const auto *node = find(key);
    std::vector<std::string> found;
    if (node == nullptr) {
        return found;
    }
    const auto *array = node->as_array();
    if (array == nullptr) {
        failAt(node, key, "accepted: a list of texts");
        return found;
    }
    for (const auto &element : *array) {
        const auto value = element.value_exact<std::string>();
        if (!value) {
            failAt(&element, key, "accepted: a list of texts");
            return found;
        }
        found.push_back(*value);
    }
    return found;
}

std::vector<Address> SettingsReader::addresses(const std::string &key)
{
    std::vector<Address> found;
    for (const auto &value : texts(key)) {
        const auto address = parseAddress(value);
        if (!address) {
            fail(key, "accepted: a list of IP numbers with ports, such as 127.0.0.1:8080");
            return found;
        }
        found.push_back(*address);
    }
    return found;
}

std::string SettingsReader::file(const std::string &key)
{
    const auto value = text(key);
    if (m_error) {
        return {};
    }
    std::filesystem::path path{value};
    if (path.is_relative()) {
        path = std::filesystem::path{m_path}.parent_path() / path;
    }
    std::error_code ec;
    if (!std::filesystem::is_regular_file(path, ec) || !std::ifstream{path}) {
        fail(key, "cannot read the file " + path.string());
    }
    return path.string();
}

void SettingsReader::finish()
{
    finishTable(m_table, "");
}

void SettingsReader::finishTable(const toml::table &table, const std::string &prefix)
{
    for (const auto &[name, node] : table) {
        const auto key = prefix + std::string{name.str()};
        if (const auto *inner = node.as_table()) {
            finishTable(*inner, key + ".");
        } else if (m_read.count(key) == 0) {
            failAt(&node, key, "unknown key");
        }
    }
}

} // namespace celeryramp
