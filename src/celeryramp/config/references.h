#pragma once

#include <optional>

#include "config/config_error.h"
#include "config/snapshot.h"

namespace celeryramp {

/*!
 * @brief Looks for a name that refers to nothing, or a routed service without servers.
 * @return The first `DanglingReference`, or nothing when the model is closed.
 */
[[nodiscard]] std::optional<ConfigError> findDanglingReference(const ConfigModel &model);

} // namespace celeryramp
