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
#include "node/fleet_view.h"
#include "node/message_sender.h"
#include "node/node_settings.h"
#include "node/shared_value.h"
#include "observe/metrics_registry.h"
#include "transport/backend_client.h"

namespace celeryramp {

/*! @brief Runs admitted calls at the backend server, one thread per slot. */
class GateWorkerPool
{
public:
    /*! @brief Receives the rumours about requests in flight when the server crashed. */
    using OnCrash = std::function<void(std::vector<Rumour>)>;

    GateWorkerPool(const NodeSettings &settings, const SharedValue<Snapshot> &snapshot,
                   const SharedValue<FleetView> &fleet, ContextTable &contexts,
                   MessageSender &sender, MetricsRegistry &metrics, OnCrash onCrash);
    ~GateWorkerPool();
    GateWorkerPool(const GateWorkerPool &) = delete;
    GateWorkerPool &operator=(const GateWorkerPool &) = delete;

    void start();

    /*! @brief Finishes the queued calls and joins the threads. */
    void stop();

    /*! @brief Queues or refuses a call. @param link Link for the answer; 0 for this node. */
    void offer(CallMessage call, LinkId link, TimePoint now);

    /*! @brief Removes a queued call whose caller no longer waits. */
    void cancel(std::uint64_t id, LinkId link);

    /*! @brief Refuses all new calls from now on. */
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
    [[nodiscard]] GateInputs gateInputs(const SnapshotPtr &snapshot,
                                        const FleetViewPtr &fleet) const;

    const NodeSettings &m_settings;
    const SharedValue<Snapshot> &m_snapshot;
    const SharedValue<FleetView> &m_fleet;
    ContextTable &m_contexts;
    MessageSender &m_sender;
    MetricsRegistry &m_metrics;
    OnCrash m_onCrash;
    Counter &m_answered;
    Counter &m_refused;
    Counter &m_crashes;
    LatencySummary &m_latency;
    mutable std::mutex m_mutex;
    std::condition_variable m_ready;
    Gate m_gate;
    CrashTracker m_crashTracker;
    std::vector<std::thread> m_threads;
    bool m_stopping = false;
};

} // namespace celeryramp
