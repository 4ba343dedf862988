#include "observe/log.h"

#include <array>
#include <memory>

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "observe/log_writer.h"
#include "observe/time_text.h"

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

void setUpAppender(const log4cxx::LogString &target, const log4cxx::LogString &pattern)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, target);
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(appender);
}

[[nodiscard]] std::unique_ptr<LogWriter> &writer()
{
    static std::unique_ptr<LogWriter> writer;
    return writer;
}

[[nodiscard]] std::string_view levelName(LogLevel level)
{
    return kLevels[static_cast<std::size_t>(level)].name;
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
    internal::setUpAppender(log4cxx::ConsoleAppender::getSystemErr(),
                            LOG4CXX_STR("%d{yyyy-MM-dd HH:mm:ss.SSS} %p %m%n"));
    setLogLevel(level);
}

void startEventLog(LogLevel level)
{
    internal::setUpAppender(log4cxx::ConsoleAppender::getSystemOut(), LOG4CXX_STR("%m%n"));
    setLogLevel(level);
    internal::writer() = std::make_unique<LogWriter>(
            [](const std::string &lines) {
                internal::logger()->log(log4cxx::Level::getError(), lines, LOG4CXX_LOCATION);
            },
            kLinesPerEvent);
}

void stopEventLog()
{
    internal::writer().reset();
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
    const auto &writer = internal::writer();
    if (writer && !writer->admits(event)) {
        return;
    }
    if (writer) {
        line.append(timeOfDayText()).append(" ");
        line.append(internal::levelName(level)).append(" ");
    }
    line.append(duty).append(" ").append(event);
    for (const auto &[key, value] : fields) {
        line.append(" ").append(key).append("=");
        internal::appendValue(line, value);
    }
    if (writer) {
        writer->write(line);
    } else {
        internal::logger()->log(libraryLevel, line, LOG4CXX_LOCATION);
    }
}

} // namespace celeryramp
