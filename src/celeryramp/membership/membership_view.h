#pragma once

#include <string>

#include "core/time.h"
#include "membership/rumour_store.h"

namespace celeryramp {

/*! @brief State of a member as this node sees it. */
enum class MemberState {
    Alive,
    Suspected, /*!< One observer misses it. */
    Down, /*!< Enough observers miss it. */
    Leaving /*!< It takes no new work. */
};

/*! @return `alive`, `suspected`, `down` or `leaving`. */
[[nodiscard]] const char *memberStateText(MemberState state) noexcept;

/*!
 * @brief Reads member states out of the rumours.
 *
 * A view is a hint about whom to talk to. Users: routing (a wrong view costs a refused attempt,
 * the gate decides), distribution (a wrong view costs a repair), choice of readers (a wrong view
 * costs extra or fewer platform reads for a while).
 */
class MembershipView
{
public:
    /*! @param rumours Store to read from; must outlive the view. */
    explicit MembershipView(const RumourStore &rumours) : m_rumours{rumours} { }

    /*! @return State of a member; `Alive` when nothing is known. */
    [[nodiscard]] MemberState state(const std::string &server) const;

    /*! @return True when the member is down. */
    [[nodiscard]] bool isDown(const std::string &server) const;

    /*! @return True when the member leaves, by its own word or the platform's list. */
    [[nodiscard]] bool isLeaving(const std::string &server) const;

    /*! @return Highest incarnation known of a member; 0 when none is. */
    [[nodiscard]] std::uint64_t incarnation(const std::string &server) const;

private:
    [[nodiscard]] std::size_t suspicions(const std::string &server) const;

    const RumourStore &m_rumours;
};

} // namespace celeryramp
