#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gate/queued_call.h"

namespace celeryramp {

/*!
 * @brief Bounded queue that is fair between client accounts.
 *
 * Accounts are served round-robin. Within an account, the call with the earliest `dueAt` comes
 * first. If the queue is full, the account with the most queued calls loses its least urgent one,
 * so that an account that floods the queue loses its own calls first.
 */
class FairQueue
{
public:
    /*!
     * @param capacity Maximum number of calls over all accounts.
     * @param isFair Whether accounts are served round-robin; if false, calls are served in order of
     * arrival.
     */
    explicit FairQueue(std::size_t capacity, bool isFair = true)
        : m_capacity{capacity}, m_isFair{isFair}
    { }

    /*!
     * @brief Adds a call.
     * @return The call that was evicted, which may be the new one; nothing if there was space.
     */
    [[nodiscard]] std::optional<QueuedCall> push(QueuedCall call);

    /*! @brief Removes the next call. @return The call; nothing if the queue is empty. */
    [[nodiscard]] std::optional<QueuedCall> pop();

    /*! @brief Removes a queued call. @return The call; nothing if it is not queued. */
    [[nodiscard]] std::optional<QueuedCall> remove(std::uint64_t id, ReplyPath replyPath);

    /*! @brief Removes all calls whose deadline has passed. @return The removed calls. */
    [[nodiscard]] std::vector<QueuedCall> removeOverdue(TimePoint now);

    /*! @brief Removes all calls. @return The removed calls in the order of `pop`. */
    [[nodiscard]] std::vector<QueuedCall> takeAll();

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    using AccountQueue = std::vector<QueuedCall>; /*!< Sorted by urgency, most urgent last. */

    [[nodiscard]] std::map<std::string, AccountQueue>::iterator longestQueue();
    void removeIfEmpty(const std::string &account);

    std::size_t m_capacity;
    bool m_isFair;
    std::size_t m_size = 0;
    std::map<std::string, AccountQueue> m_queues;
    std::deque<std::string> m_roundRobin;
};

} // namespace celeryramp
