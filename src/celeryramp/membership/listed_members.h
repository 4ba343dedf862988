#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "membership/rumour_store.h"

namespace celeryramp {

/*!
 * @brief Turns the platform's lists of instances into rumours.
 *
 * The sequence of a rumour is the number of the list's history above the index of the list, so that
 * a restored list with lower indices still counts as later. Readers learn the number from rumours.
 */
class ListedMembers
{
public:
    /*! @param lifetime Life of a rumour about a listed member. */
    explicit ListedMembers(Millis lifetime) : m_lifetime{lifetime} { }

    /*!
     * @brief Compares a list with what the rumours say.
     * @param index Index of the list. @param leaving Servers that it names as leaving.
     * @param restored The platform went back to an older list. Servers that it does not name keep
     * their state until the next list, since their entries may be written again.
     * @param servers Servers of the configuration. @param known Rumours known so far.
     * @return Rumours about servers whose state differs.
     */
    [[nodiscard]] std::vector<Rumour> onList(std::uint64_t index,
                                             const std::set<std::string> &leaving, bool restored,
                                             const std::vector<std::string> &servers,
                                             const RumourStore &known);

private:
    Millis m_lifetime;
    std::uint64_t m_history = 0; /*!< Rises each time the platform restored its list. */
};

} // namespace celeryramp
