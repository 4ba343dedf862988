#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <toml++/toml.h>

namespace standin {

/*! @return Values of a step or table of a scenario, or the fallback where there is none. */
inline std::string text(const toml::table &table, const char *key, const std::string &fallback = {})
{
    return table[key].value_or(fallback);
}

inline std::int64_t integer(const toml::table &table, const char *key, std::int64_t fallback)
{
    return table[key].value_or(fallback);
}

inline double real(const toml::table &table, const char *key, double fallback)
{
    return table[key].value_or(fallback);
}

inline std::vector<std::string> list(const toml::table &table, const char *key)
{
    std::vector<std::string> items;
    if (const auto *array = table[key].as_array()) {
        for (const auto &element : *array) {
            items.push_back(element.value_or(std::string{}));
        }
    }
    return items;
}

} // namespace standin
