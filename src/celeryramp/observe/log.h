#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace celeryramp {

/*! @brief Weight of a log line. */
enum class LogLevel { Debug, Info, Warn, Error };

/*! @brief A key and its value in a log line. */
using LogField = std::pair<std::string_view, std::string>;

/*!
 * @brief Sets up logging to standard error through log4cxx.
 * Lines read `time level duty event key=value ...`. Keys and bodies of calls are never logged.
 */
void startLog(LogLevel level);

/*!
 * @brief Sets up logging to standard output through a thread of its own.
 * A reader that stands still costs lines, which are counted and said later, never time of a duty.
 * Lines of one event are bounded to `kLinesPerEvent` a second.
 */
void startEventLog(LogLevel level);

/*! @brief Writes what is left and ends the thread of `startEventLog`. */
void stopEventLog();

/*! Lines of one event written in a second; more are counted and said when the second is over. */
inline constexpr int kLinesPerEvent = 50;

/*! @brief Sets the least weight of lines that are written, at any time. */
void setLogLevel(LogLevel level);

/*! @return The level of this name (`debug`, `info`, `warn`, `error`), or nothing by `false`. */
[[nodiscard]] bool parseLogLevel(std::string_view text, LogLevel &level);

/*! @brief Writes one line. */
void logEvent(LogLevel level, std::string_view duty, std::string_view event,
              std::initializer_list<LogField> fields = {});

} // namespace celeryramp
