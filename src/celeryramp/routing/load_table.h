#pragma once

#include <string>
#include <unordered_map>

#include "core/time.h"
#include "wire/call_message.h"

namespace celeryramp {

/*!
 * @brief Tracks the load of each gate as this node knows it.
 *
 * An entry holds the load that the gate last reported, the time of that report and the number of
 * this node's own calls in flight. The values may be outdated; the gate itself decides whether it
 * accepts a call.
 */
class LoadTable
{
public:
    /*! @brief Counts a call that was sent to a gate. */
    void sent(const std::string &server);

    /*! @brief Records an answer with the gate's load; ends its backoff. */
    void answered(const std::string &server, const GateLoad &load, TimePoint now);

    /*!
     * @brief Records a call that ended without a response of the gate.
     * The gate is avoided for 200 ms, doubled with each consecutive failure up to 5 s.
     */
    void failed(const std::string &server, TimePoint now);

    /*! @brief Records that a closed or full gate refused a call; it is avoided for 50 ms. */
    void refused(const std::string &server, const GateLoad &load, TimePoint now);

    /*!
     * @brief Estimates the calls ahead of a new call, relative to the gate's concurrency limit.
     *
     * The reported load decays exponentially with its age; the number of this node's own calls in
     * flight is a lower bound.
     * @return 0 if idle or unknown; above 1 if calls are expected to queue.
     */
    [[nodiscard]] double pressure(const std::string &server, TimePoint now) const;

    /*! @return True while the gate should be avoided after failed or refused calls. */
    [[nodiscard]] bool isBackingOff(const std::string &server, TimePoint now) const;

    /*! @return Number of this node's calls in flight to a gate. */
    [[nodiscard]] int inFlight(const std::string &server) const;

private:
    struct Entry
    {
        GateLoad load;
        TimePoint loadReportedAt;
        TimePoint backoffUntil;
        int inFlight = 0;
        int consecutiveFailures = 0;
    };

    void onCallEnded(Entry &entry);

    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace celeryramp
