#include "lab/process_table.h"

#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace standin {

namespace {

constexpr int kPollMs = 5;
constexpr int kSignalBase = 128;

int exitCode(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
}

} // namespace

ProcessTable::~ProcessTable()
{
    killAll();
}

void ProcessTable::start(const std::string &name, const std::vector<std::string> &command,
                         const std::string &logPath)
{
    std::vector<char *> argv;
    argv.reserve(command.size() + 1);
    for (const auto &word : command) {
        argv.push_back(const_cast<char *>(word.c_str())); // the interface does not write
    }
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t kMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A connection that is closed here would stay open as long as a child has it too.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    sigset_t none;
    sigemptyset(&none);
    posix_spawnattr_setsigmask(&attributes, &none);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
    pid_t pid = 0;
    const int error = posix_spawn(&pid, argv.front(), &actions, &attributes, argv.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::runtime_error{"cannot start " + command.front()};
    }
    m_pids[name] = pid;
}

void ProcessTable::signal(const std::string &name, int number)
{
    if (const auto it = m_pids.find(name); it != m_pids.end()) {
        ::kill(it->second, number);
    }
}

int ProcessTable::wait(const std::string &name, int timeoutMs)
{
    const auto it = m_pids.find(name);
    if (it == m_pids.end()) {
        return 0;
    }
    for (int waited = 0; waited <= timeoutMs; waited += kPollMs) {
        int status = 0;
        if (waitpid(it->second, &status, WNOHANG) == it->second) {
            m_pids.erase(it);
            return exitCode(status);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{kPollMs});
    }
    return -1;
}

bool ProcessTable::isRunning(const std::string &name)
{
    return m_pids.count(name) > 0 && wait(name, 0) == -1;
}

pid_t ProcessTable::id(const std::string &name) const
{
    const auto it = m_pids.find(name);
    return it == m_pids.end() ? 0 : it->second;
}

void ProcessTable::kill(const std::string &name)
{
    const auto it = m_pids.find(name);
    if (it == m_pids.end()) {
        return;
    }
    ::kill(it->second, SIGKILL);
    waitpid(it->second, nullptr, 0);
    m_pids.erase(it);
}

void ProcessTable::killAll()
{
    for (const auto &[name, pid] : m_pids) {
        ::kill(pid, SIGKILL);
    }
    for (const auto &[name, pid] : m_pids) {
        waitpid(pid, nullptr, 0);
    }
    m_pids.clear();
}

} // namespace standin
