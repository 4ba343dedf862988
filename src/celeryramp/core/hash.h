#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace celeryramp {

/*! @return 64-bit hash of the bytes, equal in every process (FNV-1a with a final mix). */
[[nodiscard]] std::uint64_t stableHash(std::string_view bytes) noexcept;

/*! @return 64-bit hash of several strings, each ended so that boundaries count. */
[[nodiscard]] std::uint64_t stableHash(std::initializer_list<std::string_view> parts) noexcept;

/*! @return SHA-256 of the bytes as 64 lower-case hexadecimal digits. */
[[nodiscard]] std::string sha256Hex(std::string_view bytes);

/*!
 * @brief Compares without leaking the place of the first difference.
 * @return True when both hold the same bytes.
 */
[[nodiscard]] bool equalConstantTime(std::string_view a, std::string_view b) noexcept;

/*! @return `count` random bytes of the operating system as hexadecimal digits. */
[[nodiscard]] std::string randomHex(std::size_t count);

} // namespace celeryramp
