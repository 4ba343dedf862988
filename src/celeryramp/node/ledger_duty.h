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
#include "node/node_settings.h"
#include "node/post_office.h"
#include "observe/metrics_registry.h"

namespace celeryramp {

/*! @brief The duty that answers for this server's shares of accounts and of the ledger. */
class LedgerDuty
{
public:
    LedgerDuty(const NodeSettings &settings, PostOffice &post, MetricsRegistry &metrics,
               TimePoint startedAt);
    ~LedgerDuty();
    LedgerDuty(const LedgerDuty &) = delete;
    LedgerDuty &operator=(const LedgerDuty &) = delete;

    void start();
    void stop();

    /*! @brief A message for minter or ledger arrived. @return False when the ring is full. */
    bool push(LinkId link, Message message);

    /*! @brief A configuration came in force. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*! @brief The process was paused. */
    void onPaused(Millis pause, TimePoint now);

    /*! @return State for operators. */
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
    PostOffice &m_post;
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
