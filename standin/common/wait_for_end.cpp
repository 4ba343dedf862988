#include "common/wait_for_end.h"

#include <csignal>

namespace standin {

namespace {

sigset_t endingSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void blockEndingSignals()
{
    const auto signals = endingSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForEnd()
{
    const auto signals = endingSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

} // namespace standin
