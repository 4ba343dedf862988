#include "transport/headers.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace celeryramp {

namespace internal {

constexpr std::array<std::string_view, 14> kHopHeaders{
        "connection",       "keep-alive", "transfer-encoding", "te",          "trailer",
        "upgrade",          "host",       "content-length",    "remote_addr", "remote_port",
        "proxy-connection", "expect",     "local_addr",        "local_port"};
constexpr std::string_view kReservedPrefix = "celeryramp-";

[[nodiscard]] char lower(char c) noexcept
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

} // namespace internal

bool sameHeader(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return internal::lower(x) == internal::lower(y);
           });
}

bool isHopHeader(std::string_view name) noexcept
{
    return std::any_of(internal::kHopHeaders.begin(), internal::kHopHeaders.end(),
                       [&](auto hop) { return sameHeader(name, hop); });
}

bool isReservedHeader(std::string_view name) noexcept
{
    return sameHeader(name.substr(0, internal::kReservedPrefix.size()), internal::kReservedPrefix)
            || sameHeader(name, kKeyHeader) || sameHeader(name, "Proxy-Authorization");
}

} // namespace celeryramp
