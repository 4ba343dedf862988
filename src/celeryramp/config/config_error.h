#pragma once

#include <string>

namespace celeryramp {

/*! @brief Reason for which a configuration is rejected. */
enum class ConfigErrorCode {
    Syntax, /*!< The manifest or a part is not valid JSON. */
    MissingPart, /*!< The manifest or the document lacks a part. */
    HashMismatch, /*!< The bytes of a part do not match the hash in the manifest. */
    TooLarge, /*!< A part is larger than `kMaxPartBytes`. */
    WrongType, /*!< A member is missing or has the wrong type. */
    OutOfRange, /*!< A value is outside its accepted range or set. */
    UnknownMember, /*!< The format does not define this member. */
    DanglingReference, /*!< A name refers to an entity that this configuration does not define. */
    Stale, /*!< The document is not newer than the one in force. */
    Conflict /*!< The version is already in force with different content. */
};

/*! @brief Describes why and where a configuration is invalid. */
struct ConfigError
{
    ConfigErrorCode code = ConfigErrorCode::Syntax;
    std::string part; /*!< Part name, or `manifest`. */
    std::string place; /*!< JSON pointer inside the part. */
    std::string reason;

    /*! @return The error as `part place: reason` on one line. */
    [[nodiscard]] std::string text() const { return part + " " + place + ": " + reason; }
};

} // namespace celeryramp
