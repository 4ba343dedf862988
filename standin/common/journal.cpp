#include "common/journal.h"

#include <chrono>

namespace standin {

Journal::Journal(const std::string &path)
{
    if (!path.empty()) {
        m_file = std::fopen(path.c_str(), "a");
    }
}

Journal::~Journal()
{
    if (m_file != nullptr) {
        std::fclose(m_file);
    }
}

void Journal::write(const nlohmann::json &line)
{
    if (m_file == nullptr) {
        return;
    }
    const auto text = line.dump() + "\n";
    const std::lock_guard lock{m_mutex};
    std::fwrite(text.data(), 1, text.size(), m_file);
    std::fflush(m_file);
}

std::int64_t wallMicros()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

} // namespace standin
