#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

#include <nlohmann/json_fwd.hpp>

#include "core/ring.h"
#include "gate/ledger_home.h"
#include "limits/minter.h"
#include "node/message_sender.h"
#include "node/node_settings.h"
#include "observe/metrics_registry.h"

namespace celeryramp {

/*! @brief Serves this server's shares of the accounts and of the ledger on a thread of its own. */
class LedgerService
{
public:
    LedgerService(const NodeSettings &settings, MessageSender &sender, MetricsRegistry &metrics,
                  TimePoint startedAt);
    ~LedgerService();
    LedgerService(const LedgerService &) = delete;
    LedgerService &operator=(const LedgerService &) = delete;

    void start();
    void stop();

    /*! @brief Queues a message. @return False when the queue is full. */
    bool push(LinkId link, Message message);

    /*! @brief Applies a new configuration. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*! @brief Handles a pause of the process. */
    void onPaused(Millis pause, TimePoint now);

    /*! @return State for the operator port. */
    [[nodiscard]] nlohmann::json state(TimePoint now) const;

private:
    struct Event
    {
        LinkId link = 0;
        Message message;
    };

    void loop();
    void handle(LinkId link, const Message &message, TimePoint now);
    void tick(TimePoint now);

    const NodeSettings &m_settings;
    MessageSender &m_sender;
    BoundedRing<Event> m_ring;
    Counter &m_grants;
    Counter &m_votes;
    mutable std::mutex m_mutex;
    Minter m_minter;
    LedgerHome m_home;
    TimePoint m_lastTick;
    TimePoint m_lastRecovery;
    TimePoint m_resumeAt;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace celeryramp
