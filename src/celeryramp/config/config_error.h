#pragma once

#include <string>

namespace celeryramp {

/*! @brief Why a configuration is not acceptable. */
enum class ConfigErrorCode {
    Syntax, /*!< A part is no JSON document. */
    MissingPart, /*!< The manifest or the document lacks a part. */
    HashMismatch, /*!< A part's bytes differ from the manifest's hash. */
    TooLarge, /*!< A part exceeds the limit. */
    WrongType, /*!< A member has the wrong type or is absent. */
    OutOfRange, /*!< A value lies outside its accepted range. */
    UnknownMember, /*!< A member that the format does not define. */
    DanglingReference, /*!< A name refers to nothing in this configuration. */
    Stale, /*!< Not above the version in force. */
    Conflict /*!< The version in force was published again with other content. */
};

/*! @brief Error of the config layer: what, where and why. */
struct ConfigError
{
    ConfigErrorCode code = ConfigErrorCode::Syntax;
    std::string part; /*!< Part name, or `manifest`. */
    std::string place; /*!< JSON pointer inside the part. */
    std::string reason;

    /*! @return `part place: reason` on one line. */
    [[nodiscard]] std::string text() const { return part + " " + place + ": " + reason; }
};

} // namespace celeryramp
