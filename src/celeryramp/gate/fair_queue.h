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
 * @brief Bounded queue, fair over client accounts first and urgent classes second.
 *
 * Accounts take turns; within an account the call whose target is due first goes first. When the
 * queue is full, the account with most calls waiting loses its least urgent one, so that a flood
 * costs itself first.
 */
class FairQueue
{
public:
    /*! @param capacity Calls held at most over all accounts. */
    /*! @param isFair Whether accounts take turns; otherwise first come first served. */
    explicit FairQueue(std::size_t capacity, bool isFair = true)
        : m_capacity{capacity}, m_isFair{isFair}
    { }

    /*!
     * @brief Adds a call.
     * @return The call that has no place: the given one or one of the largest account; nothing
     * when all fit.
     */
    [[nodiscard]] std::optional<QueuedCall> push(QueuedCall call);

    /*! @return The next call in turn, or nothing when empty. */
    [[nodiscard]] std::optional<QueuedCall> pop();

    /*! @return The call with this identity and way back, taken out; nothing when not there. */
    [[nodiscard]] std::optional<QueuedCall> remove(std::uint64_t id, ReplyPath replyPath);

    /*! @return All calls whose deadline has passed, taken out. */
    [[nodiscard]] std::vector<QueuedCall> takeOverdue(TimePoint now);

    /*! @return All calls, taken out. */
    [[nodiscard]] std::vector<QueuedCall> takeAll();

    [[nodiscard]] std::size_t size() const noexcept { return m_size; }

private:
    using Line = std::vector<QueuedCall>; /*!< Sorted: most urgent last. */

    [[nodiscard]] std::map<std::string, Line>::iterator longest();
    void dropIfEmpty(const std::string &account);

    std::size_t m_capacity;
    bool m_isFair;
    std::size_t m_size = 0;
    std::map<std::string, Line> m_lines;
    std::deque<std::string> m_turns;
};

} // namespace celeryramp
