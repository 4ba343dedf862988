#pragma once

#include <cstdio>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

namespace standin {

/*! @brief Appends JSON lines to a file; each line is on its way to the kernel when `write` returns.
 */
class Journal
{
public:
    /*! @param path File to append to; an empty path writes nothing. */
    explicit Journal(const std::string &path);
    ~Journal();
    Journal(const Journal &) = delete;
    Journal &operator=(const Journal &) = delete;

    /*! @brief Writes one line. */
    void write(const nlohmann::json &line);

private:
    std::mutex m_mutex;
    std::FILE *m_file = nullptr;
};

/*! @return Microseconds of the wall clock since 1970; all stand-ins run on one machine. */
[[nodiscard]] std::int64_t wallMicros();

} // namespace standin
