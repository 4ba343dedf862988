#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <gsl/span>

#include "core/random.h"
#include "core/time.h"
#include "directory/backend_server.h"
#include "proxy/gate_load.h"

namespace celeryramp::proxy {

/*! @brief A server that a call may be offered to. */
struct Candidate
{
    const directory::BackendServer *server = nullptr;
    bool isLocalZone = false;
    bool isExcluded
            = false; /*!< Not to be chosen; its state still counts in the averages of all. */
};

/*! @brief Requirements of a call on the server that is chosen for it. */
struct PickRequirements
{
    Millis left{0}; /*!< Time left until the answer is due. */
    bool maySpill = true; /*!< Other zones may be used if the local one is likely late. */
    std::size_t answerBytes = 0; /*!< Expected length of the answer. */
    bool skipsOverloaded = false; /*!< Gates that cannot take all calls in time, by their reports or
                                  by those of most of their zone, are not asked. */
};

/*! @brief The chosen server and its likely latency. */
struct Choice
{
    const directory::BackendServer *server = nullptr; /*!< Null if there is no candidate. */
    Millis likelyLatency{0}; /*!< Latency that three of four calls are expected to meet, from
                              * load reports that may be slightly outdated. */
};

/*!
 * @brief Selects the server for a call: the one with the lowest expected cost among a few randomly
 * drawn candidates. The random draw keeps nodes with the same outdated load reports from all
 * selecting the same server.
 *
 * Faster servers are preferred until they are nearly full. Servers of other zones are selected if
 * the local zone has none left, or if they are expected to meet the target, the local ones are not
 * and the call may spill. Servers that fail more often than others are skipped while healthy ones
 * remain in their zone; compared with other zones they get a time penalty for their failures.
 */
class ServerPicker
{
public:
    explicit ServerPicker(std::uint64_t seed) : m_random{seed} { }

    /*! @return The selected server; null if all candidates are excluded. */
    [[nodiscard]] Choice pick(gsl::span<const Candidate> candidates,
                              const PickRequirements &requirements, TimePoint now);

    /*! @brief Records a call sent to the gate of this server. */
    void onSent(const std::string &serverId);
    /*! @brief Records the reply of a gate with its load. */
    void onReply(const std::string &serverId, const GateLoad &load, bool isSuccess, TimePoint now);
    /*! @return The last known rate limit of the server, see `GateLoad`; nothing if unknown. */
    [[nodiscard]] std::optional<double> rateLimit(const std::string &serverId) const;
    /*! @brief Records how long a body took to arrive after its head, by which servers on slow or
     * busy links are recognized. */
    void onDelivered(const std::string &serverId, std::uint64_t bytes, Millis spent, TimePoint now);
    /*! @brief Records a call that its caller cancelled, which says nothing about the server. */
    void onAbandoned(const std::string &serverId);
    /*! @brief Records a call that timed out without a reply, as a failure of the server. */
    void onNoReply(const std::string &serverId, TimePoint now);
    /*! @brief Removes the state of servers without calls for `kStateRetention`. */
    void sweep(TimePoint now);

private:
    struct ServerState
    {
        GateLoad load;
        std::optional<double> rateLimit; /*!< The last known one. */
        int inFlight = 0;
        double failureShare = 0.0; /*!< Moving average over the calls of this node. */
        double deliveryMillisPerKb = 0.0; /*!< Moving average, at `deliveredAt`. */
        TimePoint deliveredAt;
        TimePoint updatedAt;
    };

    /*! Averages over all candidates, used where the state of one is unknown. */
    struct PoolSummary
    {
        double serviceMillis = 0.0;
        double localUtilization = 0.0; /*!< Of the servers in the local zone. */
        double remoteUtilization = 0.0;
        double minFailureShare = 1.0;
        double answerKb = 0.0; /*!< Expected length of the answer. */
        std::set<std::string> overloadedZones; /*!< Zones whose recent reports are mostly so. */
        bool skipsOverloaded = false; /*!< See `PickRequirements`. */
    };

    /*! Expected times of a call at a server, in milliseconds. */
    struct Estimate
    {
        double wait = 0.0;
        double service = 0.0;
        double cost = 0.0; /*!< Servers are compared by this. */

        /*! @return Latency that three of four calls are expected to meet. */
        [[nodiscard]] Millis likelyLatency() const;
    };

    /*! A candidate with its known state. */
    struct Entry
    {
        const Candidate *candidate = nullptr;
        const ServerState *state = nullptr;
        double decayedFailureShare = 0.0;
    };

    [[nodiscard]] std::vector<Entry> collectEntries(gsl::span<const Candidate> candidates,
                                                    TimePoint now) const;
    [[nodiscard]] static PoolSummary summarize(const std::vector<Entry> &entries, TimePoint now);
    /*! @return Candidates of the local zone or of all others that may be chosen: the healthy ones,
     * or the unhealthy ones if there are no others. */
    [[nodiscard]] static std::vector<const Entry *> eligible(const std::vector<Entry> &entries,
                                                             const PoolSummary &summary,
                                                             bool isLocalZone, TimePoint now);
    /*! @return The candidate with the lowest cost of `kSampledCandidates` drawn from the pool. */
    [[nodiscard]] Choice pickBest(std::vector<const Entry *> pool, const PoolSummary &summary,
                                  TimePoint now);
    /*! @return True if the gate would likely refuse a call that is in time. */
    [[nodiscard]] static bool isOverloaded(const Entry &entry, const PoolSummary &summary,
                                           TimePoint now);
    [[nodiscard]] static std::set<std::string>
    findOverloadedZones(const std::vector<Entry> &entries, TimePoint now);
    [[nodiscard]] static bool isHealthy(const Entry &entry, const PoolSummary &summary);
    [[nodiscard]] static Estimate estimate(const Entry &entry, const PoolSummary &summary,
                                           TimePoint now);

    RandomEngine m_random;
    std::map<std::string, ServerState> m_states;
};

} // namespace celeryramp::proxy
