#include "links/process_order.h"

#include <algorithm>

namespace celeryramp::links {

ProcessOrder::Process *ProcessOrder::find(std::string_view incarnation) noexcept
{
    const auto it = std::find_if(
            m_processes.begin(), m_processes.end(),
            [incarnation](const Process &process) { return process.incarnation == incarnation; });
    return it == m_processes.end() ? nullptr : &*it;
}

const ProcessOrder::Process *ProcessOrder::lastAnswering() const noexcept
{
    const Process *last = nullptr;
    for (const auto &it : m_processes) {
        // Of two that have answered the same, the one that was heard later.
        if (it.lastAnswered > 0 && (last == nullptr || it.lastAnswered >= last->lastAnswered)) {
            last = &it;
        }
    }
    return last;
}

bool ProcessOrder::isSucceeded(const Process &process, const Process *present) noexcept
{
    return present != nullptr && present != &process && process.firstHeard < present->lastAnswered;
}

void ProcessOrder::onHeard(std::string_view incarnation)
{
    if (auto *process = find(incarnation)) {
        process->isEnded = false;
        return;
    }
    if (m_processes.size() == kMaxProcesses) {
        m_processes.erase(m_processes.begin());
    }
    m_processes.push_back({std::string{incarnation}, ++m_lastStep, 0, false});
}

std::vector<std::string> ProcessOrder::onAnswered(std::string_view incarnation, Step asked)
{
    std::vector<std::string> ended;
    auto *answering = find(incarnation);
    if (answering == nullptr) {
        return ended;
    }
    answering->lastAnswered = std::max(answering->lastAnswered, asked);
    for (auto &it : m_processes) {
        if (it.firstHeard < std::min(asked, answering->firstHeard) && !it.isEnded) {
            it.isEnded = true;
            ended.push_back(it.incarnation);
        }
    }
    return ended;
}

bool ProcessOrder::isFormer(std::string_view incarnation) const noexcept
{
    const auto *present = lastAnswering();
    return std::any_of(m_processes.begin(), m_processes.end(), [&](const Process &it) {
        return it.incarnation == incarnation && isSucceeded(it, present);
    });
}

bool ProcessOrder::isAmbiguous() const noexcept
{
    const auto *present = lastAnswering();
    return std::count_if(m_processes.begin(), m_processes.end(),
                         [present](const Process &it) { return !isSucceeded(it, present); })
            > 1;
}

} // namespace celeryramp::links
