#pragma once

#include <string>

namespace celeryramp {

/*! @brief Opaque bytes, carried as a CBOR byte string. */
struct Bytes
{
    std::string data;

    [[nodiscard]] bool operator==(const Bytes &other) const noexcept { return data == other.data; }
};

} // namespace celeryramp
