#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace celeryramp {

/*! @brief Maximum size of a published part in bytes. */
inline constexpr std::size_t kMaxPartBytes = 1024 * 1024;
/*! @brief Names of all parts of a configuration, in the order in which they are parsed. */
inline constexpr std::array<std::string_view, 5> kPartNames{"zones", "services", "accounts", "keys",
                                                            "servers"};

} // namespace celeryramp
