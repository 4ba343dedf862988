#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace celeryramp {

/*! @brief Version of a configuration and the SHA-256 of each of its parts. */
struct Manifest
{
    std::uint64_t version = 0;
    std::map<std::string, std::string> parts; /*!< Hexadecimal SHA-256 by part name. */

    /*! @return Hexadecimal SHA-256 of the version and the part hashes; equal for equal manifests.
     */
    [[nodiscard]] std::string digest() const;
};

/*! @brief Identifies a configuration and orders it by version, then by digest. */
struct ConfigStamp
{
    std::uint64_t version = 0;
    std::string digest;

    [[nodiscard]] bool operator<(const ConfigStamp &other) const noexcept
    {
        return version != other.version ? version < other.version : digest < other.digest;
    }
    [[nodiscard]] bool operator==(const ConfigStamp &other) const noexcept
    {
        return version == other.version && digest == other.digest;
    }
};

} // namespace celeryramp
