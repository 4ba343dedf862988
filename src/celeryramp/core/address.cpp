#include "core/address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace celeryramp {

namespace internal {

[[nodiscard]] bool isIpNumber(const std::string &host)
{
    std::array<unsigned char, sizeof(in6_addr)> buf{};
    return inet_pton(AF_INET, host.c_str(), buf.data()) == 1
            || inet_pton(AF_INET6, host.c_str(), buf.data()) == 1;
}

} // namespace internal

std::string Address::text() const
{
    const bool six = host.find(':') != std::string::npos;
    return (six ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

bool Address::isLoopback() const
{
    return host == "::1" || host.rfind("127.", 0) == 0;
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    unsigned port = 0;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool whole = ec == std::errc{} && end == digits.data() + digits.size();
    if (!whole || port == 0 || port > 65535) {
        return std::nullopt;
    }
    Address address{std::string{host}, static_cast<std::uint16_t>(port)};
    if (!internal::isIpNumber(address.host)) {
        return std::nullopt;
    }
    return address;
}

} // namespace celeryramp
