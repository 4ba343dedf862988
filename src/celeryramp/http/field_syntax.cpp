#include "http/field_syntax.h"

#include <algorithm>

namespace celeryramp::http {

namespace internal {

[[nodiscard]] bool isTokenByte(char c) noexcept
{
    constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
            || kMarks.find(c) != std::string_view::npos;
}

[[nodiscard]] bool isValueByte(char c) noexcept
{
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kDelete = 0x7f;
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= kFirstPrintable && byte != kDelete) || c == '\t';
}

} // namespace internal

bool isFieldName(std::string_view text) noexcept
{
    return !text.empty() && std::all_of(text.begin(), text.end(), internal::isTokenByte);
}

bool isFieldValue(std::string_view text) noexcept
{
    return std::all_of(text.begin(), text.end(), internal::isValueByte);
}

} // namespace celeryramp::http
