#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace celeryramp {

/*! @brief IP number and port. Names are never resolved. */
struct Address
{
    std::string host; /*!< IPv4 or IPv6 number. */
    std::uint16_t port = 0;

    [[nodiscard]] bool operator==(const Address &other) const noexcept
    {
        return port == other.port && host == other.host;
    }

    /*! @return `host:port`, an IPv6 host in brackets. */
    [[nodiscard]] std::string text() const;

    /*! @return True when the host is a loopback number. */
    [[nodiscard]] bool isLoopback() const;
};

/*!
 * @brief Reads `IP:port` or `[IPv6]:port`.
 * @return The address, or nothing when the host is no IP number or the port is not 1 to 65535.
 */
[[nodiscard]] std::optional<Address> parseAddress(std::string_view text);

} // namespace celeryramp
