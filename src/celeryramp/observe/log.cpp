#include "observe/log.h"

#include <array>

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace celeryramp {

namespace internal {

struct LevelEntry
{
    std::string_view name;
    LogLevel level;
};

constexpr std::array<LevelEntry, 4> kLevels{{{"debug", LogLevel::Debug},
                                             {"info", LogLevel::Info},
                                             {"warn", LogLevel::Warn},
                                             {"error", LogLevel::Error}}};

[[nodiscard]] log4cxx::LevelPtr toLibrary(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cxx::Level::getDebug();
    case LogLevel::Info:
        return log4cxx::Level::getInfo();
    case LogLevel::Warn:
        return log4cxx::Level::getWarn();
    case LogLevel::Error:
        break;
    }
    return log4cxx::Level::getError();
}

[[nodiscard]] const log4cxx::LoggerPtr &logger()
{
    static const auto kLogger = log4cxx::Logger::getLogger("celeryramp");
    return kLogger;
}

[[nodiscard]] bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            line.push_back('\\');
        }
        line.push_back(c == '\n' || c == '\r' ? ' ' : c);
    }
    line.push_back('"');
}

} // namespace internal

void startLog(LogLevel level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
            LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %p %m%n"));
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
    setLogLevel(level);
}

void setLogLevel(LogLevel level)
{
    internal::logger()->setLevel(internal::toLibrary(level));
}

bool parseLogLevel(std::string_view text, LogLevel &level)
{
    for (const auto &entry : internal::kLevels) {
        if (entry.name == text) {
            level = entry.level;
            return true;
        }
    }
    return false;
}

void logEvent(LogLevel level, std::string_view duty, std::string_view event,
              std::initializer_list<LogField> fields)
{
    const auto libraryLevel = internal::toLibrary(level);
    if (!internal::logger()->isEnabledFor(libraryLevel)) {
        return;
    }
    std::string line;
    line.append(duty).append(" ").append(event);
    for (const auto &[key, value] : fields) {
        line.append(" ").append(key).append("=");
        internal::appendValue(line, value);
    }
    internal::logger()->log(libraryLevel, line, LOG4CXX_LOCATION);
}

} // namespace celeryramp
