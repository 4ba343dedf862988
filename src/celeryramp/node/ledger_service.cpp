#include "node/ledger_service.h"

#include <nlohmann/json.hpp>

namespace celeryramp {

namespace internal {

constexpr std::size_t kLedgerRing = 16384;
constexpr Millis kLedgerTick{200};
constexpr Millis kRecoveryInterval{1000};
/*! Time after a pause for notice of a successor to arrive. */
constexpr Millis kMintResumeDelay{3000};
/*! Shortest pause after which a successor may exist. */
constexpr Millis kMinPauseForSuccessor{3000};

} // namespace internal

LedgerService::LedgerService(const NodeSettings &settings, MessageSender &sender,
                             MetricsRegistry &metrics, TimePoint startedAt)
    : m_settings{settings}, m_sender{sender}, m_ring{internal::kLedgerRing},
      m_grants{metrics.counter("minter_grants_total")},
      m_votes{metrics.counter("ledger_votes_total")}, m_minter{settings.server},
      m_home{settings.server, settings.ledger, startedAt}, m_resumeAt{startedAt}
{
    metrics.gauge("ledger_ring_refused", [this] { return double(m_ring.refused()); });
}

LedgerService::~LedgerService()
{
    stop();
}

void LedgerService::start()
{
    m_thread = std::thread{[this] { loop(); }};
}

void LedgerService::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool LedgerService::push(LinkId link, Message message)
{
    return m_ring.push({link, std::move(message)});
}

void LedgerService::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    m_minter.onSnapshot(snapshot, now);
    m_home.onSnapshot(std::move(snapshot), now);
}

void LedgerService::onPaused(Millis pause, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    m_minter.suspend(now);
    m_resumeAt = now + internal::kMintResumeDelay;
    if (pause >= internal::kMinPauseForSuccessor) {
        m_home.onPause(now);
    }
}

void LedgerService::loop()
{
    while (!m_stopping) {
        auto event = m_ring.pop(internal::kLedgerTick);
        const auto now = Clock::now();
        if (event) {
            handle(event->link, event->message, now);
        }
        if (now - m_lastTick >= internal::kLedgerTick) {
            m_lastTick = now;
            tick(now);
        }
    }
}

void LedgerService::handle(LinkId link, const Message &message, TimePoint now)
{
    std::unique_lock lock{m_mutex};
    if (const auto *ask = std::get_if<TokenRequestMessage>(&message)) {
        const auto grant = m_minter.grant(ask->account, ask->microTokens, now);
        lock.unlock();
        m_grants.add();
        m_sender.answer(link,
                        TokenGrantMessage{ask->id, ask->account, m_settings.server, grant.granted,
                                          grant.left,
                                          static_cast<std::uint32_t>(grant.lifetime.count())});
    } else if (const auto *reserve = std::get_if<ReserveMessage>(&message)) {
        auto vote = m_home.onReserve(*reserve, now);
        lock.unlock();
        m_votes.add();
        m_sender.answer(link, std::move(vote));
    } else if (const auto *complete = std::get_if<CompleteMessage>(&message)) {
        m_home.onComplete(*complete, now);
    } else if (std::holds_alternative<RecoverMessage>(message)) {
        auto records = m_home.onRecover(now);
        lock.unlock();
        m_sender.answer(link, std::move(records));
    } else if (const auto *records = std::get_if<RecordsMessage>(&message)) {
        m_home.onRecords(*records, now);
    }
}

void LedgerService::tick(TimePoint now)
{
    std::vector<std::string> wanted;
    {
        const std::lock_guard lock{m_mutex};
        m_home.tick(now);
        if (now >= m_resumeAt) {
            m_minter.resume(now);
        }
        if (now - m_lastRecovery >= internal::kRecoveryInterval) {
            m_lastRecovery = now;
            wanted = m_home.recoverySources(now);
        }
    }
    for (const auto &server : wanted) {
        m_sender.post(server, RecoverMessage{m_settings.server});
    }
}

nlohmann::json LedgerService::state(TimePoint now) const
{
    const std::lock_guard lock{m_mutex};
    return {{"records", m_home.size()},
            {"complete", m_home.isComplete(now)},
            {"accounts_minted", m_minter.size()}};
}

} // namespace celeryramp
