#pragma once

#include <string_view>

namespace celeryramp::http {

/*! @return True if the text can be the name of a header field: a token (RFC 9110, section 5.6.2).
 */
[[nodiscard]] bool isFieldName(std::string_view text) noexcept;

/*! @return True if the text can be the value of a header field: no control bytes but tabs
 * (RFC 9110, section 5.5). */
[[nodiscard]] bool isFieldValue(std::string_view text) noexcept;

} // namespace celeryramp::http
