#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace celeryramp::http {

/*! @brief Why received bytes are not used as a response. */
enum class AnswerError : std::uint8_t {
    None,
    Syntax, /*!< The bytes are not HTTP/1.x. */
    Status, /*!< The status is not one that a server can give to a request. */
    Field, /*!< The name or the value of a header field has invalid characters. */
    Framing, /*!< The length of the body is contradictory, unreadable or exceeded. */
    TooLong, /*!< The head or the body exceeds its limit. */
    Unattributed /*!< Not known to be the server's own response to this request. */
};

/*! @return Name of the error in logs and metrics. */
[[nodiscard]] constexpr std::string_view answerErrorName(AnswerError error) noexcept
{
    constexpr std::array<std::string_view, 7> kNames{"none",    "syntax",   "status",      "field",
                                                     "framing", "too-long", "unattributed"};
    return kNames.at(static_cast<std::size_t>(error));
}

} // namespace celeryramp::http
