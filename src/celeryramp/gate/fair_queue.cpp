#include "gate/fair_queue.h"

#include <algorithm>

namespace celeryramp {

std::optional<QueuedCall> FairQueue::push(QueuedCall call)
{
    if (!m_isFair) {
        call.dueAt = call.arrivedAt; // one line in order of arrival
    }
    const auto account = m_isFair ? call.call.account : std::string{};
    auto &line = m_lines[account];
    if (line.empty()) {
        m_turns.push_back(account);
    }
    const auto place = std::upper_bound(
            line.begin(), line.end(), call,
            [](const QueuedCall &a, const QueuedCall &b) { return a.dueAt > b.dueAt; });
    line.insert(place, std::move(call));
    ++m_size;
    if (m_size <= m_capacity) {
        return std::nullopt;
    }
    const auto largest = longest();
    std::optional<QueuedCall> loser{std::move(largest->second.front())};
    largest->second.erase(largest->second.begin());
    --m_size;
    dropIfEmpty(largest->first);
    return loser;
}

std::optional<QueuedCall> FairQueue::pop()
{
    if (m_turns.empty()) {
        return std::nullopt;
    }
    const auto account = m_turns.front();
    m_turns.pop_front();
    auto &line = m_lines[account];
    std::optional<QueuedCall> call{std::move(line.back())};
    line.pop_back();
    --m_size;
    if (line.empty()) {
        m_lines.erase(account);
    } else {
        m_turns.push_back(account);
    }
    return call;
}

std::optional<QueuedCall> FairQueue::remove(std::uint64_t id, ReplyPath replyPath)
{
    for (auto &[account, line] : m_lines) {
        const auto it = std::find_if(line.begin(), line.end(), [&](const QueuedCall &queued) {
            return queued.call.id == id && queued.replyPath == replyPath;
        });
        if (it == line.end()) {
            continue;
        }
        std::optional<QueuedCall> found{std::move(*it)};
        line.erase(it);
        --m_size;
        dropIfEmpty(std::string{account});
        return found;
    }
    return std::nullopt;
}

std::vector<QueuedCall> FairQueue::takeOverdue(TimePoint now)
{
    std::vector<QueuedCall> overdue;
    std::vector<std::string> touched;
    for (auto &[account, line] : m_lines) {
        const auto first
                = std::stable_partition(line.begin(), line.end(), [&](const QueuedCall &queued) {
                      return queued.deadline > now;
                  });
        std::move(first, line.end(), std::back_inserter(overdue));
        m_size -= static_cast<std::size_t>(std::distance(first, line.end()));
        line.erase(first, line.end());
        touched.push_back(account);
    }
    for (const auto &account : touched) {
        dropIfEmpty(account);
    }
    return overdue;
}

std::vector<QueuedCall> FairQueue::takeAll()
{
    std::vector<QueuedCall> calls;
    while (auto call = pop()) {
        calls.push_back(std::move(*call));
    }
    return calls;
}

std::map<std::string, FairQueue::Line>::iterator FairQueue::longest()
{
    return std::max_element(m_lines.begin(), m_lines.end(), [](const auto &a, const auto &b) {
        return a.second.size() < b.second.size();
    });
}

void FairQueue::dropIfEmpty(const std::string &account)
{
    const auto it = m_lines.find(account);
    if (it == m_lines.end() || !it->second.empty()) {
        return;
    }
    m_turns.erase(std::find(m_turns.begin(), m_turns.end(), account));
    m_lines.erase(it);
}

} // namespace celeryramp
