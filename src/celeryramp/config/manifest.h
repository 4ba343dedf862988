#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace celeryramp {

/*! @brief Names a configuration version and the SHA-256 of each of its parts. */
struct Manifest
{
    std::uint64_t version = 0;
    std::map<std::string, std::string> parts; /*!< Part name to hexadecimal SHA-256. */

    /*! @return SHA-256 over version and parts; equal for equal manifests. */
    [[nodiscard]] std::string digest() const;
};

/*! @brief Position in the total order of configurations: version first, then digest. */
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
