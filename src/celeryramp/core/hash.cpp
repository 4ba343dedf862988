#include "core/hash.h"

#include <array>
#include <vector>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

namespace celeryramp {

namespace internal {

constexpr std::uint64_t kFnvOffset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001B3ULL;

[[nodiscard]] std::uint64_t fold(std::uint64_t state, std::string_view bytes) noexcept
{
    for (const char c : bytes) {
        state = (state ^ static_cast<unsigned char>(c)) * kFnvPrime;
    }
    return state;
}

[[nodiscard]] std::uint64_t mix(std::uint64_t z) noexcept
{
    z = (z ^ (z >> 33U)) * 0xFF51AFD7ED558CCDULL;
    z = (z ^ (z >> 33U)) * 0xC4CEB9FE1A85EC53ULL;
    return z ^ (z >> 33U);
}

[[nodiscard]] std::string toHex(const unsigned char *data, std::size_t n)
{
    constexpr std::string_view kDigits = "0123456789abcdef";
    std::string text;
    text.reserve(n * 2);
    for (std::size_t i = 0; i < n; ++i) {
        text.push_back(kDigits[data[i] >> 4U]);
        text.push_back(kDigits[data[i] & 0x0FU]);
    }
    return text;
}

} // namespace internal

std::uint64_t stableHash(std::string_view bytes) noexcept
{
    return internal::mix(internal::fold(internal::kFnvOffset, bytes));
}

std::uint64_t stableHash(std::initializer_list<std::string_view> parts) noexcept
{
    std::uint64_t state = internal::kFnvOffset;
    for (const auto part : parts) {
        state = internal::fold(state, part);
        state = (state ^ 0xFFU) * internal::kFnvPrime;
    }
    return internal::mix(state);
}

std::string sha256Hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int n = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &n, EVP_sha256(), nullptr);
    return internal::toHex(digest.data(), n);
}

bool equalConstantTime(std::string_view a, std::string_view b) noexcept
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string randomHex(std::size_t count)
{
    std::vector<unsigned char> buf(count);
    if (RAND_bytes(buf.data(), static_cast<int>(count)) != 1) {
        return {};
    }
    return internal::toHex(buf.data(), count);
}

} // namespace celeryramp
