#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "core/address.h"

namespace celeryramp {

/*!
 * @brief Reads and validates values of a TOML file and keeps the first error.
 * Keys are named `table.key`. Reads after an error return the fallback.
 */
class SettingsReader
{
public:
    /*! @brief Parses the file. A parse error is kept like a value error. */
    explicit SettingsReader(std::string path);

    /*! @return String of a required key; it must not be empty. */
    [[nodiscard]] std::string text(const std::string &key);

    /*! @return String of an optional key, which must be one of the choices. */
    [[nodiscard]] std::string choice(const std::string &key,
                                     std::initializer_list<const char *> choices,
                                     const std::string &fallback);

    /*! @return Integer of an optional key within a range. */
    [[nodiscard]] std::int64_t integer(const std::string &key, std::int64_t low, std::int64_t high,
                                       std::int64_t fallback);

    /*! @return Boolean of an optional key. */
    [[nodiscard]] bool flag(const std::string &key, bool fallback);

    /*! @return An IP address and port of a required key. */
    [[nodiscard]] Address address(const std::string &key);

    /*! @return IP addresses and ports of an optional key. */
    [[nodiscard]] std::vector<Address> addresses(const std::string &key);

    /*! @return Strings of an optional key. */
    [[nodiscard]] std::vector<std::string> texts(const std::string &key);

    /*! @return Path of a required key; the file must be readable. Relative to the settings file. */
    [[nodiscard]] std::string file(const std::string &key);

    /*! @return True when the key is present. */
    [[nodiscard]] bool has(const std::string &key) const;

    /*! @brief Records an error at a key. */
    void fail(const std::string &key, const std::string &reason);

    /*! @brief Records an error at the first key that was never read. */
    void finish();

    /*! @return The first error as `file:line: key: reason`, or nothing. */
    [[nodiscard]] const std::optional<std::string> &error() const noexcept { return m_error; }

private:
    [[nodiscard]] const toml::node *find(const std::string &key);
    void failAt(const toml::node *node, const std::string &key, const std::string &reason);
    void finishTable(const toml::table &table, const std::string &prefix);

    std::string m_path;
    toml::table m_table;
    std::set<std::string> m_read;
    std::optional<std::string> m_error;
};

} // namespace celeryramp
