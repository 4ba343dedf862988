#pragma once

#include <cstddef>
#include <deque>

#include "core/time.h"
#include "directory/source_position.h"

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
    void onAnnounced(const SourcePosition &position, TimePoint now);

    /*! @brief The replica reflects a revision. */
    void onHeld(const SourcePosition &position);

    /*! @return Time since the first announcement that the replica lacks; zero if it lacks none. */
    [[nodiscard]] Millis lag(TimePoint now) const noexcept;

    /*! @return The latest announced position; that of no state if there is none. */
    [[nodiscard]] const SourcePosition &latest() const noexcept { return m_latest; }

    /*! Announcements that are told apart. Later ones count as announced with the last of them. */
    static constexpr std::size_t kMaxPending = 64;

private:
    struct Announcement
    {
        SourcePosition position;
        TimePoint at;
    };

    std::deque<Announcement> m_pending; /*!< Not held yet, by rising position. */
    SourcePosition m_latest;
};

} // namespace celeryramp::directory
