#pragma once

#include <set>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "config/config_error.h"
#include "core/result.h"

namespace celeryramp {

/*!
 * @brief Reads typed members of one JSON object and records the first error.
 * After an error, further reads return default values. The caller calls `finish()` after the last
 * read and then checks `ok()`.
 */
class JsonReader
{
public:
    /*!
     * @param object The JSON object; must outlive the reader.
     * @param part Part name for errors.
     * @param place JSON pointer of the object for errors.
     */
    JsonReader(const nlohmann::json &object, std::string part, std::string place);

    /*! @return The value of a string member, which must not be empty. */
    [[nodiscard]] std::string text(const char *name);

    /*! @return Index of the choice that equals the string member. */
    [[nodiscard]] std::size_t choice(const char *name, std::initializer_list<const char *> choices);

    /*! @return The value of a numeric member within [low, high]. */
    [[nodiscard]] double number(const char *name, double low, double high);

    /*! @return The value of an integer member within [low, high]. */
    [[nodiscard]] std::int64_t integer(const char *name, std::int64_t low, std::int64_t high);

    /*! @return The value of an integer member within [low, high], or the fallback if it is absent.
     */
    [[nodiscard]] std::int64_t integerOr(const char *name, std::int64_t low, std::int64_t high,
                                         std::int64_t fallback);

    /*! @return An object member, or an empty object after an error. */
    [[nodiscard]] const nlohmann::json &object(const char *name);

    /*! @return An array member, or an empty array after an error. */
    [[nodiscard]] const nlohmann::json &array(const char *name);

    /*! @brief Records an error at a member, unless an error is already recorded. */
    void fail(ConfigErrorCode code, const std::string &name, std::string reason);

    /*! @brief Records an `UnknownMember` error if the object has a member that was not read. */
    void finish();

    /*! @return True if no error is recorded. */
    [[nodiscard]] bool ok() const noexcept { return !m_failed; }

    /*! @return The first error; valid only if `ok()` is false. */
    [[nodiscard]] const ConfigError &error() const noexcept { return m_error; }

private:
    [[nodiscard]] const nlohmann::json *member(const char *name);

    const nlohmann::json &m_object;
    std::string m_part;
    std::string m_place;
    std::set<std::string> m_readMembers;
    ConfigError m_error;
    bool m_failed = false;
};

} // namespace celeryramp
