#pragma once

#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "config/config_error.h"
#include "core/result.h"

namespace celeryramp {

/*!
 * @brief Reads typed members of one JSON object and remembers the first failure.
 * Later reads after a failure return neutral values; the caller tests `error()` at the end.
 */
class JsonReader
{
public:
    /*! @param object The object. @param part Part name. @param place JSON pointer of the object. */
    JsonReader(const nlohmann::json &object, std::string part, std::string place);

    /*! @return A non-empty string member. */
    [[nodiscard]] std::string text(const char *name);

    /*! @return A string member that is one of the choices; its index. */
    [[nodiscard]] std::size_t choice(const char *name, std::initializer_list<const char *> choices);

    /*! @return A number member within [low, high]. */
    [[nodiscard]] double number(const char *name, double low, double high);

    /*! @return A whole number member within [low, high]. */
    [[nodiscard]] std::int64_t integer(const char *name, std::int64_t low, std::int64_t high);

    /*! @return A whole number member within [low, high], or the fallback when absent. */
    [[nodiscard]] std::int64_t integerOr(const char *name, std::int64_t low, std::int64_t high,
                                         std::int64_t fallback);

    /*! @return An object member. */
    [[nodiscard]] const nlohmann::json &object(const char *name);

    /*! @return An array member. */
    [[nodiscard]] const nlohmann::json &array(const char *name);

    /*! @brief Records a failure at a member unless one is recorded already. */
    void fail(ConfigErrorCode code, const std::string &name, std::string reason);

    /*! @brief Records a failure for each member that was not read. */
    void finish();

    /*! @return True while nothing failed. */
    [[nodiscard]] bool ok() const noexcept { return !m_failed; }

    /*! @return The first failure; meaningful when not ok. */
    [[nodiscard]] const ConfigError &error() const noexcept { return m_error; }

private:
    [[nodiscard]] const nlohmann::json *member(const char *name);

    const nlohmann::json &m_object;
    std::string m_part;
    std::string m_place;
    std::set<std::string> m_read;
    ConfigError m_error;
    bool m_failed = false;
};

} // namespace celeryramp
