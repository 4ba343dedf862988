#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "core/time.h"

namespace celeryramp::admission {

/*!
 * @brief Requests that a node has refused, so that it knows them when they are retried.
 *
 * The caller of a retried request has waited since its first attempt, and its target counts from
 * there. A node that took the request for a new one would prefer it to requests that can still meet
 * their target.
 */
class RefusedRequests
{
public:
    /*! Refused requests that are remembered; the oldest are forgotten first. */
    static constexpr std::size_t kMaxEntries = 4096;

    /*!
     * @brief Remembers a refused request.
     * @param digest See `proxy::requestDigest`.
     * @param target Latest time of an answer within the target of the first attempt.
     * @param deadline Time until which its caller may retry it.
     */
    void onRefused(std::uint64_t digest, TimePoint target, TimePoint deadline, TimePoint now);

    /*!
     * @param deadline Until when the caller waits. Another caller with the same request waits
     * longer than the refused one.
     * @return Target of the first attempt if the request was refused before and this is a retry;
     * the entry is removed then.
     */
    [[nodiscard]] std::optional<TimePoint> take(std::uint64_t digest, TimePoint deadline,
                                                TimePoint now);

    /*! @brief Forgets requests whose callers no longer wait. */
    void sweep(TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return m_entries.size(); }

private:
    struct Entry
    {
        TimePoint target;
        TimePoint latestReturn; /*!< Deadline beyond which it is another caller. */
        std::uint64_t number = 0;
    };
    struct Age
    {
        std::uint64_t digest = 0;
        std::uint64_t number = 0; /*!< Of the entry that was added then. */
    };

    std::map<std::uint64_t, Entry> m_entries;
    std::deque<Age> m_ages; /*!< Oldest first; some have been removed or replaced since. */
    std::uint64_t m_nextNumber = 1;
};

} // namespace celeryramp::admission
