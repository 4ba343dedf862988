#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

/*! @file
 *  Fields of frames, for the codecs of this module.
 */

namespace celeryramp::proxy::internal {

using Json = nlohmann::json;

/*! @return Bytes as a value that needs no valid text. */
[[nodiscard]] inline Json binary(const std::string &bytes)
{
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

/*! @return The bytes of such a value; throws for others. */
[[nodiscard]] inline std::string bytesOf(const Json &json)
{
    const auto &bytes = json.get_binary();
    return {bytes.begin(), bytes.end()};
}

} // namespace celeryramp::proxy::internal
