#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "gate/context_table.h"
#include "node/admission_controller.h"
#include "node/call_handler.h"
#include "node/control_service.h"
#include "node/gate_worker_pool.h"
#include "node/ledger_service.h"
#include "node/message_sender.h"
#include "node/node_settings.h"
#include "node/operator_port.h"
#include "node/platform_reader.h"
#include "node/request_router.h"
#include "node/shared_value.h"
#include "transport/http_listener.h"
#include "transport/peer_mesh.h"

namespace celeryramp {

/*! @brief Why a node cannot start. */
struct NodeError
{
    std::string reason;
};

/*! @brief Owns the services of one node and routes messages between them. */
class Node : public MessageSender,
             public PeerEvents,
             public ControlHooks,
             public NodeStatus,
             public OperatorView
{
public:
    explicit Node(NodeSettings settings);
    ~Node() override;
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    /*! @brief Starts all services and listeners. */
    [[nodiscard]] Result<bool, NodeError> start();

    /*! @brief Announces that the node leaves, waits for calls in flight, then stops. */
    void leave();

    /*! @return True when another process has taken this node's slot. */
    [[nodiscard]] bool isSuperseded() const;

    LinkId post(const std::string &server, Message message, std::uint64_t token) override;
    void answer(LinkId link, Message message) override;

    void onPeerMessage(const std::string &from, LinkId link, Message message) override;
    void onPeerUp(const std::string &name, LinkId link) override;
    void onPeerLost(const std::string &name, LinkId link, bool refused) override;
    void onUnsent(const std::string &name, std::uint64_t token) override;
    [[nodiscard]] PeerPlace placeOf(const std::string &name) override;

    void onSnapshot(SnapshotPtr snapshot, TimePoint now) override;
    void onReaderChanged(bool isReader) override;
    void onPaused(Millis pause, TimePoint now) override;
    void onNoConfiguration() override;

    [[nodiscard]] bool isReady(TimePoint now) const override;
    [[nodiscard]] bool isLeaving() const override { return m_leaving; }
    [[nodiscard]] Millis confirmedAgo(TimePoint now) const override;
    [[nodiscard]] bool areKeysUntrusted(TimePoint now) const override;

    [[nodiscard]] nlohmann::json state() const override;
    [[nodiscard]] nlohmann::json status() const override;
    [[nodiscard]] nlohmann::json servers() const override;
    [[nodiscard]] nlohmann::json configuration() const override;
    [[nodiscard]] nlohmann::json explain(const std::string &path) const override;
    [[nodiscard]] bool ready() const override { return isReady(Clock::now()); }

private:
    void dispatch(const std::string &from, LinkId link, Message message);
    void waitUntilIdle();
    void stopServices();

    NodeSettings m_settings;
    std::uint64_t m_incarnation;
    TimePoint m_startedAt;
    MetricsRegistry m_metrics;
    LinkPolicy m_policy;
    SharedValue<Snapshot> m_snapshot;
    SharedValue<FleetView> m_fleet;
    ContextTable m_contexts;
    Counter &m_ringRefused;
    PeerMesh m_mesh;
    RequestRouter m_router;
    AdmissionController m_admission;
    LedgerService m_ledger;
    ControlService m_control;
    PlatformReader m_platform;
    GateWorkerPool m_gate;
    CallHandler m_callHandler;
    HttpListener m_callers;
    HttpListener m_inside;
    OperatorPort m_operators;
    std::size_t m_nextSeed = 0;
    std::atomic<bool> m_leaving{false};
    bool m_stopped = false;
};

} // namespace celeryramp
