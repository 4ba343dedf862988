#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/time.h"

namespace celeryramp::directory {

/*!
 * @brief Tells for how long a replica has lacked a revision that peers have announced.
 *
 * A replica that follows each of a series of changes at once lags little, although there is always
 * a newer one.
 */
class RevisionLag
{
public:
    /*! @brief A peer has announced that a revision exists. */
    void onAnnounced(std::int64_t revision, TimePoint now);

    /*! @brief The replica reflects a revision. */
    void onHeld(std::int64_t revision);

    /*! @return Time since the first announcement that the replica lacks; zero if it lacks none. */
    [[nodiscard]] Millis lag(TimePoint now) const noexcept;

    /*! @return The latest announced revision; 0 if there is none. */
    [[nodiscard]] std::int64_t latest() const noexcept { return m_latest; }

    /*! Announcements that are told apart. Later ones count as announced with the last of them. */
    static constexpr std::size_t kMaxPending = 64;

private:
    struct Announcement
    {
        std::int64_t revision = 0;
        TimePoint at;
    };

    std::deque<Announcement> m_pending; /*!< Not held yet, by rising revision. */
    std::int64_t m_latest = 0;
};

} // namespace celeryramp::directory
