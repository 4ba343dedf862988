#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "membership/rumour_store.h"

namespace celeryramp {

/*! @brief How long a crash counts against the requests that were in flight. */
inline constexpr Millis kCrashMemory{300'000};

/*!
 * @brief Finds requests that crash the servers that run them.
 *
 * A digest in flight on one crashed server is suspect: it is not repeated by the mesh. In flight on
 * two, it is quarantined everywhere for a time. A digest that was answered here before is no
 * suspect, so that servers dying of other causes do not quarantine common requests.
 */
class CrashWatch
{
public:
    /*! @param server Name of the server beside this node. */
    explicit CrashWatch(std::string server) : m_server{std::move(server)} { }

    /*! @brief A request was answered; it does not crash servers. */
    void onAnswered(const std::string &digest);

    /*!
     * @brief The server died with these requests in flight.
     * @param sequence Rises with each crash of this server.
     * @return Facts for all nodes.
     */
    [[nodiscard]] std::vector<Rumour> onCrash(const std::vector<std::string> &digests,
                                              std::uint64_t sequence) const;

private:
    std::string m_server;
    std::set<std::string> m_answered;
    std::deque<std::string> m_order;
};

/*! @return Number of different servers that crashed with the digest in flight. */
[[nodiscard]] std::size_t crashCount(const RumourStore &rumours, const std::string &digest);

/*! @return All digests in flight on at least two servers that crashed. */
[[nodiscard]] std::set<std::string> quarantinedDigests(const RumourStore &rumours);

/*! @return All digests in flight on at least one server that crashed. */
[[nodiscard]] std::set<std::string> suspectDigests(const RumourStore &rumours);

} // namespace celeryramp
