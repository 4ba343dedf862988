#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "engine/engine_settings.h"
#include "observe/log.h"

namespace celeryramp::engine {

/*! @brief Error in the settings. */
struct SettingsError
{
    std::string place; /*!< Key, file, or position in the text. */
    std::string reason;
};

/*! @brief Settings of one process. */
struct ProcessSettings
{
    EngineSettings engine;
    Address source; /*!< Address that published state is read from. */
    LogLevel logLevel = LogLevel::Info;
};

/*! @return Settings from TOML text, or the first error. */
[[nodiscard]] Result<ProcessSettings, SettingsError> readSettings(std::string_view text);

/*! @return Settings from a TOML file, or the first error. */
[[nodiscard]] Result<ProcessSettings, SettingsError> loadSettings(const std::string &path);

} // namespace celeryramp::engine
