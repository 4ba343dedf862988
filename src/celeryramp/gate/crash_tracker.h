#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "membership/rumour_store.h"

namespace celeryramp {

/*! @brief Time for which a crash counts against the requests that were in flight. */
inline constexpr Millis kCrashRumourTtl{300'000};

/*!
 * @brief Detects requests that crash the servers which run them.
 *
 * A request digest that was in flight on one crashed server is suspect, and the mesh does not retry
 * it. If it was in flight on two different ones, all nodes quarantine it for a limited time. A
 * digest that this server has answered before is not reported, so that common requests are not
 * quarantined when servers crash for other reasons.
 */
class CrashTracker
{
public:
    /*! @param server Name of the server beside this node. */
    explicit CrashTracker(std::string server) : m_server{std::move(server)} { }

    /*! @brief Records that a request was answered, so it is not suspected in later crashes. */
    void onAnswered(const std::string &digest);

    /*!
     * @brief Reports a crash of the server with the requests that were in flight.
     * @param digests Digests of the requests.
     * @param sequence Sequence number that increases with each crash of this server.
     * @return Rumours to be sent to all nodes.
     */
    [[nodiscard]] std::vector<Rumour> onCrash(const std::vector<std::string> &digests,
                                              std::uint64_t sequence) const;

private:
    std::string m_server;
    std::set<std::string> m_answeredDigests;
    std::deque<std::string> m_answeredOrder;
};

/*! @return Number of different servers that crashed with the digest in flight. */
[[nodiscard]] std::size_t crashCount(const RumourStore &rumours, const std::string &digest);

/*! @return All digests that were in flight on at least two crashed servers. */
[[nodiscard]] std::set<std::string> quarantinedDigests(const RumourStore &rumours);

/*! @return All digests that were in flight on at least one crashed server. */
[[nodiscard]] std::set<std::string> suspectDigests(const RumourStore &rumours);

} // namespace celeryramp
