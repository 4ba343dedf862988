#pragma once

#include <cstdint>

namespace celeryramp {

/*! @brief What a message that was not sent belonged to. */
enum class TokenKind : std::uint64_t { None, Call, TokenAsk, Vote };

/*! @brief Bits of a token that hold the identity; the kind is above them. */
inline constexpr unsigned kTokenIdBits = 56;

/*! @return Token that tells kind and identity of a message. */
[[nodiscard]] constexpr std::uint64_t tokenFor(TokenKind kind, std::uint64_t id) noexcept
{
    return (static_cast<std::uint64_t>(kind) << kTokenIdBits) | id;
}

/*! @return Kind held in a token. */
[[nodiscard]] constexpr TokenKind tokenKind(std::uint64_t token) noexcept
{
    return static_cast<TokenKind>(token >> kTokenIdBits);
}

/*! @return Identity held in a token. */
[[nodiscard]] constexpr std::uint64_t tokenId(std::uint64_t token) noexcept
{
    return token & ((std::uint64_t{1} << kTokenIdBits) - 1);
}

} // namespace celeryramp
