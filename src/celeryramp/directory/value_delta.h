#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace celeryramp::directory {

/*!
 * @brief Encodes a value as a delta against an older value.
 *
 * Published values are lists of many objects, few of which differ between two revisions. Values are
 * therefore compared in chunks that begin at each opening brace. The delta contains a hash of the
 * newer value, which `applyDelta` verifies.
 * @return The delta, often much smaller than the value.
 */
[[nodiscard]] std::string makeDelta(std::string_view older, std::string_view newer);

/*!
 * @brief Restores a value from an older value and a delta.
 * @return The newer value; empty if the delta is malformed or the hash does not match.
 */
[[nodiscard]] std::optional<std::string> applyDelta(std::string_view older, std::string_view delta);

} // namespace celeryramp::directory
