#include "gate/fair_queue.h"

#include <algorithm>

namespace celeryramp {

std::optional<QueuedCall> FairQueue::push(QueuedCall call)
{
    if (!m_isFair) {
        call.dueAt = call.arrivedAt; // A single queue in order of arrival.
    }
    const auto account = m_isFair ? call.call.account : std::string{};
    auto &queue = m_queues[account];
    if (queue.empty()) {
        m_roundRobin.push_back(account);
    }
    const auto position = std::upper_bound(
            queue.begin(), queue.end(), call,
            [](const QueuedCall &a, const QueuedCall &b) { return a.dueAt > b.dueAt; });
    queue.insert(position, std::move(call));
    ++m_size;
    if (m_size <= m_capacity) {
        return std::nullopt;
    }
    const auto longest = longestQueue();
    std::optional<QueuedCall> evicted{std::move(longest->second.front())};
    longest->second.erase(longest->second.begin());
    --m_size;
    removeIfEmpty(longest->first);
    return evicted;
}

std::optional<QueuedCall> FairQueue::pop()
{
    if (m_roundRobin.empty()) {
        return std::nullopt;
    }
    const auto account = m_roundRobin.front();
    m_roundRobin.pop_front();
    auto &queue = m_queues[account];
    std::optional<QueuedCall> call{std::move(queue.back())};
    queue.pop_back();
    --m_size;
    if (queue.empty()) {
        m_queues.erase(account);
    } else {
        m_roundRobin.push_back(account);
    }
    return call;
}

std::optional<QueuedCall> FairQueue::remove(std::uint64_t id, ReplyPath replyPath)
{
    for (auto &[account, queue] : m_queues) {
        const auto it = std::find_if(queue.begin(), queue.end(), [&](const QueuedCall &queued) {
            return queued.call.id == id && queued.replyPath == replyPath;
        });
        if (it == queue.end()) {
            continue;
        }
        std::optional<QueuedCall> found{std::move(*it)};
        queue.erase(it);
        --m_size;
        removeIfEmpty(std::string{account});
        return found;
    }
    return std::nullopt;
}

std::vector<QueuedCall> FairQueue::removeOverdue(TimePoint now)
{
    std::vector<QueuedCall> overdue;
    std::vector<std::string> accounts;
    for (auto &[account, queue] : m_queues) {
        const auto firstOverdue
                = std::stable_partition(queue.begin(), queue.end(), [&](const QueuedCall &queued) {
                      return queued.deadline > now;
                  });
        std::move(firstOverdue, queue.end(), std::back_inserter(overdue));
        m_size -= static_cast<std::size_t>(std::distance(firstOverdue, queue.end()));
        queue.erase(firstOverdue, queue.end());
        accounts.push_back(account);
    }
    for (const auto &account : accounts) {
        removeIfEmpty(account);
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

std::map<std::string, FairQueue::AccountQueue>::iterator FairQueue::longestQueue()
{
    return std::max_element(m_queues.begin(), m_queues.end(), [](const auto &a, const auto &b) {
        return a.second.size() < b.second.size();
    });
}

void FairQueue::removeIfEmpty(const std::string &account)
{
    const auto it = m_queues.find(account);
    if (it == m_queues.end() || !it->second.empty()) {
        return;
    }
    m_roundRobin.erase(std::find(m_roundRobin.begin(), m_roundRobin.end(), account));
    m_queues.erase(it);
}

} // namespace celeryramp
