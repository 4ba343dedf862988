#pragma once

#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

namespace standin {

/*! @brief Child processes of the lab by name; all are ended, by process id, when it goes. */
class ProcessTable
{
public:
    ProcessTable() = default;
    ~ProcessTable();
    ProcessTable(const ProcessTable &) = delete;
    ProcessTable &operator=(const ProcessTable &) = delete;

    /*! @brief Starts a program with its output appended to a file; throws when it cannot. */
    void start(const std::string &name, const std::vector<std::string> &command,
               const std::string &logPath);

    /*! @brief Sends a signal to a process that runs. */
    void signal(const std::string &name, int number);

    /*! @return Exit code, or 128 and the signal that ended it; -1 when it does not end in time. */
    int wait(const std::string &name, int timeoutMs);

    /*! @return True when it was started and has not ended. */
    [[nodiscard]] bool isRunning(const std::string &name);

    /*! @return Id of a process that was started and not waited for; 0 for any other name. */
    [[nodiscard]] pid_t id(const std::string &name) const;

    /*! @brief Ends one process at once. */
    void kill(const std::string &name);

    /*! @brief Ends all processes at once. */
    void killAll();

private:
    std::map<std::string, pid_t> m_pids;
};

} // namespace standin
