#pragma once

#include <optional>

#include "config/config_error.h"
#include "config/snapshot.h"

namespace celeryramp {

/*!
 * @brief Finds a reference to an undefined entity, or a routed service without servers.
 * @return The first `DanglingReference` error, or nothing if all references resolve.
 */
[[nodiscard]] std::optional<ConfigError> findDanglingReference(const ConfigModel &model);

} // namespace celeryramp
