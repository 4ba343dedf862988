#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "gate/context_table.h"
#include "gate/crash_tracker.h"
#include "gate/gate.h"
#include "node/cell.h"
#include "node/fleet_view.h"
#include "node/node_settings.h"
#include "node/post_office.h"
#include "observe/metrics_registry.h"
#include "transport/backend_client.h"

namespace celeryramp {

/*! @brief Runs admitted calls at the backend server, one thread per slot. */
class GateDuty
{
public:
    /*! @brief Told of requests in flight when the server died. */
    using OnCrash = std::function<void(std::vector<Rumour>)>;

    GateDuty(const NodeSettings &settings, const Cell<Snapshot> &snapshot,
             const Cell<FleetView> &fleet, ContextTable &contexts, PostOffice &post,
             MetricsRegistry &metrics, OnCrash onCrash);
    ~GateDuty();
    GateDuty(const GateDuty &) = delete;
    GateDuty &operator=(const GateDuty &) = delete;

    void start();

    /*! @brief Runs what waits to its end and joins the threads. */
    void stop();

    /*! @brief A call arrived. @param link Way back; 0 for this node itself. */
    void offer(CallMessage call, LinkId link, TimePoint now);

    /*! @brief The caller of a call no longer waits. */
    void cancel(std::uint64_t id, LinkId link);

    /*! @brief Refuses new work from now on. */
    void drain();

    [[nodiscard]] bool isIdle() const;
    [[nodiscard]] GateLoad load() const;
    [[nodiscard]] GateCounters counters() const;
    [[nodiscard]] std::uint64_t rampFalls() const;

private:
    void work();
    [[nodiscard]] std::optional<QueuedCall> nextCall();
    void run(const QueuedCall &call, BackendClient &client);
    [[nodiscard]] AnswerMessage toAnswer(const QueuedCall &call, BackendReply reply) const;
    [[nodiscard]] static Evidence evidenceOf(const QueuedCall &call, const BackendReply &reply,
                                             Micros latency);
    void refuse(const std::vector<Refusal> &refusals);
    void reportCrash(const std::string &digest);
    [[nodiscard]] GateInputs surroundings(const SnapshotPtr &snapshot,
                                          const FleetViewPtr &fleet) const;

    const NodeSettings &m_settings;
    const Cell<Snapshot> &m_snapshot;
    const Cell<FleetView> &m_fleet;
    ContextTable &m_contexts;
    PostOffice &m_post;
    OnCrash m_onCrash;
    Counter &m_answered;
    Counter &m_refused;
    Counter &m_crashes;
    LatencySummary &m_latency;
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    Gate m_gate;
    CrashTracker m_crashWatch;
    std::vector<std::thread> m_threads;
    bool m_stopping = false;
};

} // namespace celeryramp
