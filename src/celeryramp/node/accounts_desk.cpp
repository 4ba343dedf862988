#include "node/accounts_desk.h"

#include <algorithm>

#include "node/tokens.h"

namespace celeryramp {

namespace internal {

constexpr Millis kLongestTokenWait{100};

} // namespace internal

void AccountsDesk::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    m_wallet.onSnapshot(std::move(snapshot), now);
}

bool AccountsDesk::admit(const ClientAccount &account, TimePoint deadline)
{
    std::vector<std::string> tried;
    const auto until = std::min(deadline, Clock::now() + internal::kLongestTokenWait);
    while (true) {
        std::unique_lock lock{m_mutex};
        const auto result = m_wallet.admit(account, tried, Clock::now());
        const auto seen = m_grants;
        lock.unlock();
        if (result.request) {
            sendAsk(*result.request);
        }
        if (result.admission != Admission::Wait) {
            return result.admission == Admission::Admitted;
        }
        lock.lock();
        const auto id = result.request ? result.request->id : 0;
        const auto isDecided = [&] { return m_grants != seen && !m_wallet.isPending(id); };
        if (!m_changed.wait_until(lock, until, isDecided)) {
            return m_wallet.admit(account, tried, Clock::now()).admission == Admission::Admitted;
        }
    }
}

void AccountsDesk::onGrant(const TokenGrantMessage &message, TimePoint now)
{
    {
        const std::lock_guard lock{m_mutex};
        m_wallet.onGrant(message.id,
                         {message.microTokens, message.leftMicroTokens, Millis{message.lifeMs}},
                         now);
        ++m_grants;
    }
    m_changed.notify_all();
}

void AccountsDesk::onUnsent(std::uint64_t id, TimePoint now)
{
    {
        const std::lock_guard lock{m_mutex};
        m_wallet.onUnreachable(id, now);
        ++m_grants;
    }
    m_changed.notify_all();
}

void AccountsDesk::sendAsk(const TokenRequest &ask)
{
    const auto link = m_post.post(ask.minter, TokenRequestMessage{ask.id, ask.account, ask.amount},
                                  tokenFor(TokenKind::TokenAsk, ask.id));
    if (link == 0) {
        onUnsent(ask.id, Clock::now());
    }
}

} // namespace celeryramp
