#pragma once

#include <cstdint>

namespace celeryramp {

/*! @brief Amount of tokens in millionths of a token. */
using MicroTokens = std::int64_t;

/*! @brief Cost of one call: one token. */
inline constexpr MicroTokens kMicroTokensPerCall = 1'000'000;

} // namespace celeryramp
