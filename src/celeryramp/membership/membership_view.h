#pragma once

#include <string>

#include "core/time.h"
#include "membership/rumour_store.h"

namespace celeryramp {

/*! @brief State of a member according to the rumours known to this node. */
enum class MemberState {
    Alive,
    Suspected, /*!< One observer suspects its current incarnation. */
    Down, /*!< At least two observers suspect its current incarnation. */
    Leaving /*!< It accepts no new requests. */
};

/*! @return `alive`, `suspected`, `down` or `leaving`. */
[[nodiscard]] const char *memberStateText(MemberState state) noexcept;

/*!
 * @brief Derives the states of members from the rumours in a store.
 *
 * The view is only a hint about which members to contact, and may be wrong. The cost of a wrong
 * view depends on its user:
 * - routing: one refused attempt, since the gate of the server makes the final decision;
 * - distribution: a repair;
 * - selection of platform readers: too many or too few reads of the platform for a while.
 */
class MembershipView
{
public:
    /*! @param rumours Store to read from; must outlive the view. */
    explicit MembershipView(const RumourStore &rumours) : m_rumours{rumours} { }

    /*! @return State of a member; `Alive` if nothing is known about it. */
    [[nodiscard]] MemberState state(const std::string &server) const;

    /*! @return True if at least two observers suspect the member's current incarnation. */
    [[nodiscard]] bool isDown(const std::string &server) const;

    /*!
     * @return True if the member announced that it leaves and no later incarnation is known, or if
     * the platform lists it as leaving.
     */
    [[nodiscard]] bool isLeaving(const std::string &server) const;

    /*! @return Highest incarnation known of a member, or 0 if none is known. */
    [[nodiscard]] std::uint64_t incarnation(const std::string &server) const;

private:
    [[nodiscard]] std::size_t suspicionCount(const std::string &server) const;

    const RumourStore &m_rumours;
};

} // namespace celeryramp
