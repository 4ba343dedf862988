#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "core/time.h"

namespace celeryramp {

/*!
 * @brief Writes log lines on a thread of its own, several at a time.
 *
 * Producers never wait: beyond the buffer, and beyond a budget of lines for each event and second,
 * lines are dropped and counted, and the counts are written when there is room.
 */
class LogWriter
{
public:
    /*! Takes lines, separated by line feeds, without the last one. */
    using Write = std::function<void(const std::string &)>;

    /*! Bytes that wait at most. */
    static constexpr std::size_t kBufferBytes = 256 * 1024;
    /*! Time for which lines are gathered before they are written together. */
    static constexpr Millis kGather{200};

    /*! @param write May block. @param linesPerEvent Lines of one event in a second. */
    LogWriter(Write write, int linesPerEvent);
    ~LogWriter();
    LogWriter(const LogWriter &) = delete;
    LogWriter &operator=(const LogWriter &) = delete;

    /*! @return False when the event has used up its lines of this second. */
    [[nodiscard]] bool admits(std::string_view event);

    /*! @brief Hands a line over. */
    void write(std::string_view line);

    /*! @return Lines dropped so far. */
    [[nodiscard]] std::uint64_t dropped() const;

private:
    struct Budget
    {
        Clock::time_point second;
        int lines = 0;
    };

    void run();

    Write m_write;
    int m_linesPerEvent;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::map<std::string, Budget, std::less<>> m_budgets;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedSaid = 0;
    bool m_stopped = false;
    std::thread m_thread;
};

} // namespace celeryramp
