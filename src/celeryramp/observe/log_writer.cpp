#include "observe/log_writer.h"

namespace celeryramp {

LogWriter::LogWriter(Write write, int linesPerEvent)
    : m_write{std::move(write)}, m_linesPerEvent{linesPerEvent}, m_thread{[this] { run(); }}
{ }

LogWriter::~LogWriter()
{
    {
        const std::lock_guard lock{m_mutex};
        m_stopped = true;
    }
    m_wake.notify_all();
    m_thread.join();
}

bool LogWriter::admits(std::string_view event)
{
    const auto now = Clock::now();
    const std::lock_guard lock{m_mutex};
    auto it = m_budgets.find(event);
    if (it == m_budgets.end()) {
        it = m_budgets.emplace(std::string{event}, Budget{now, 0}).first;
    }
    auto &budget = it->second;
    if (now - budget.second >= std::chrono::seconds{1}) {
        budget = {now, 0};
    }
    if (budget.lines >= m_linesPerEvent) {
        ++m_dropped;
        return false;
    }
    ++budget.lines;
    return true;
}

void LogWriter::write(std::string_view line)
{
    const std::lock_guard lock{m_mutex};
    if (m_buffer.size() + line.size() > kBufferBytes) {
        ++m_dropped;
        return;
    }
    if (!m_buffer.empty()) {
        m_buffer.push_back('\n');
    }
    m_buffer.append(line);
    if (m_buffer.size() == line.size()) {
        m_wake.notify_one();
    }
}

std::uint64_t LogWriter::dropped() const
{
    const std::lock_guard lock{m_mutex};
    return m_dropped;
}

void LogWriter::run()
{
    std::unique_lock lock{m_mutex};
    while (true) {
        m_wake.wait(lock, [this] { return m_stopped || !m_buffer.empty(); });
        if (!m_stopped) {
            m_wake.wait_for(lock, kGather, [this] { return m_stopped; });
        }
        auto lines = std::move(m_buffer);
        m_buffer.clear();
        if (m_dropped > m_droppedSaid) {
            lines.append("\nlog lines-dropped total=" + std::to_string(m_dropped));
            m_droppedSaid = m_dropped;
        }
        const bool isLast = m_stopped;
        lock.unlock();
        if (!lines.empty()) {
            m_write(lines);
        }
        if (isLast) {
            return;
        }
        lock.lock();
    }
}

} // namespace celeryramp
