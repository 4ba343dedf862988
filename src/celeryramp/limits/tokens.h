#pragma once

#include <cstdint>

namespace celeryramp {

/*! @brief Amount of tokens in millionths; one call costs `kMicroTokensPerCall`. */
using MicroTokens = std::int64_t;

/*! @brief Price of one call. */
inline constexpr MicroTokens kMicroTokensPerCall = 1'000'000;

} // namespace celeryramp
