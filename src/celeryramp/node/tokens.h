#pragma once

#include <cstdint>

namespace celeryramp {

/*! @brief Kind of request that a message belongs to, reported when it could not be sent. */
enum class TokenKind : std::uint64_t { None, Call, TokenAsk, Vote };

/*! @brief Number of low bits that hold the ID; the kind is in the bits above. */
inline constexpr unsigned kTokenIdBits = 56;

/*! @return Token that encodes the kind and the ID of a message. */
[[nodiscard]] constexpr std::uint64_t tokenFor(TokenKind kind, std::uint64_t id) noexcept
{
    return (static_cast<std::uint64_t>(kind) << kTokenIdBits) | id;
}

/*! @return Kind encoded in a token. */
[[nodiscard]] constexpr TokenKind tokenKind(std::uint64_t token) noexcept
{
    return static_cast<TokenKind>(token >> kTokenIdBits);
}

/*! @return ID encoded in a token. */
[[nodiscard]] constexpr std::uint64_t tokenId(std::uint64_t token) noexcept
{
    return token & ((std::uint64_t{1} << kTokenIdBits) - 1);
}

} // namespace celeryramp
