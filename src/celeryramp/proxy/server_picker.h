#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <gsl/span>

#include "core/random.h"
#include "core/time.h"
#include "directory/backend_server.h"
#include "proxy/gate_load.h"

namespace celeryramp::proxy {

/*! @brief A server that may be asked, and what is known of the way to it. */
struct Candidate
{
    const directory::BackendServer *server = nullptr;
    bool isOwnZone = false;
    bool isAsked = false; /*!< Not to be chosen; what is known of it still tells of the others. */
};

/*! @brief What a call wants of the server that is chosen for it. */
struct Wanted
{
    Millis left{0}; /*!< Time in which the answer is wanted. */
    bool maySpill = true; /*!< Other zones may be asked when the own one is not expected in time. */
};

/*! @brief Whose gate to ask, and what is expected of it. */
struct Choice
{
    const directory::BackendServer *server = nullptr; /*!< Null when there is no candidate. */
    Millis likely{0}; /*!< Within which an answer is likely, from news that may be a little old. */
};

/*!
 * @brief Chooses whose gate to ask: the shortest expected time to the answer among a few drawn at
 * random, so that many nodes with the same old news do not all turn to one server.
 *
 * Faster servers go before slower ones until they are nearly full. Servers of other zones are asked
 * when no more are left in the own one, or when they are expected to answer in time and those of
 * the own zone are not, if the call is worth its bytes between zones. Servers that fail more than
 * others are passed over while sound ones remain in their zone, and count as slower by their
 * failures against those of other zones.
 */
class ServerPicker
{
public:
    explicit ServerPicker(std::uint64_t seed) : m_random{seed} { }

    /*! @return The server to ask; none only without candidates. */
    [[nodiscard]] Choice pick(gsl::span<const Candidate> candidates, const Wanted &wanted,
                              TimePoint now);

    /*! @brief A call was sent to the gate of this server. */
    void onSent(const std::string &serverId);
    /*! @brief A gate replied. */
    void onReply(const std::string &serverId, const GateLoad &load, bool wasGood, TimePoint now);
    /*! @brief A call was given up by its caller, which tells nothing of the server. */
    void onAbandoned(const std::string &serverId);
    /*! @brief A call got no reply in its time. */
    void onNoReply(const std::string &serverId, TimePoint now);
    /*! @brief Forgets servers not heard of for long. */
    void sweep(TimePoint now);

private:
    struct Known
    {
        GateLoad load;
        int inFlight = 0;
        double badShare = 0.0; /*!< Smoothed share of own calls that did not succeed. */
        TimePoint heardAt;
    };

    /*! What is known of all candidates together: stands in for what is not known of one. */
    struct Field
    {
        double serviceMillis = 0.0;
        double utilizationNear = 0.0; /*!< Of servers in the own zone. */
        double utilizationFar = 0.0;
        double leastBad = 1.0;
    };

    /*! What a call may expect of a server, in milliseconds. */
    struct Estimate
    {
        double wait = 0.0;
        double service = 0.0;
        double cost = 0.0; /*!< By which servers are compared. */

        /*! @return Time within which an answer is likely. */
        [[nodiscard]] Millis likely() const;
    };

    /*! A candidate with what is known of it. */
    struct Entry
    {
        const Candidate *candidate = nullptr;
        const Known *known = nullptr;
        double bad = 0.0;
    };

    [[nodiscard]] std::vector<Entry> look(gsl::span<const Candidate> candidates,
                                          TimePoint now) const;
    [[nodiscard]] static Field summarize(const std::vector<Entry> &entries, TimePoint now);
    /*! @return Those of the own zone, or of all others, that may be chosen: the sound ones, if
     * there are any. */
    [[nodiscard]] static std::vector<const Entry *> eligible(const std::vector<Entry> &entries,
                                                             const Field &field, bool isOwnZone);
    /*! @return The better of two drawn from a pool. */
    [[nodiscard]] Choice best(std::vector<const Entry *> pool, const Field &field, TimePoint now);
    [[nodiscard]] static bool isSound(const Entry &entry, const Field &field);
    [[nodiscard]] static Estimate estimate(const Entry &entry, const Field &field, TimePoint now);

    RandomEngine m_random;
    std::map<std::string, Known> m_known;
};

} // namespace celeryramp::proxy
