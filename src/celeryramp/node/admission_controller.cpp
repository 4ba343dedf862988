#include "node/admission_controller.h"

#include <algorithm>

#include "node/tokens.h"

namespace celeryramp {

namespace internal {

constexpr Millis kMaxTokenWait{100};

} // namespace internal

void AdmissionController::onSnapshot(SnapshotPtr snapshot, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    m_tokens.onSnapshot(std::move(snapshot), now);
}

bool AdmissionController::admit(const ClientAccount &account, TimePoint deadline)
{
    std::vector<std::string> tried;
    const auto until = std::min(deadline, Clock::now() + internal::kMaxTokenWait);
    while (true) {
        std::unique_lock lock{m_mutex};
        const auto result = m_tokens.admit(account, tried, Clock::now());
        const auto seenChanges = m_changes;
        lock.unlock();
        if (result.request) {
            sendTokenRequest(*result.request);
        }
        if (result.admission != Admission::Wait) {
            return result.admission == Admission::Admitted;
        }
        lock.lock();
        const auto id = result.request ? result.request->id : 0;
        const auto isDecided = [&] { return m_changes != seenChanges && !m_tokens.isPending(id); };
        if (!m_changed.wait_until(lock, until, isDecided)) {
            return m_tokens.admit(account, tried, Clock::now()).admission == Admission::Admitted;
        }
    }
}

void AdmissionController::onGrant(const TokenGrantMessage &message, TimePoint now)
{
    {
        const std::lock_guard lock{m_mutex};
        m_tokens.onGrant(message.id,
                         {message.microTokens, message.leftMicroTokens, Millis{message.lifeMs}},
                         now);
        ++m_changes;
    }
    m_changed.notify_all();
}

void AdmissionController::onUnsent(std::uint64_t id, TimePoint now)
{
    {
        const std::lock_guard lock{m_mutex};
        m_tokens.onUnreachable(id, now);
        ++m_changes;
    }
    m_changed.notify_all();
}

void AdmissionController::sendTokenRequest(const TokenRequest &request)
{
    const auto link = m_sender.post(
            request.minter, TokenRequestMessage{request.id, request.account, request.amount},
            tokenFor(TokenKind::TokenAsk, request.id));
    if (link == 0) {
        onUnsent(request.id, Clock::now());
    }
}

} // namespace celeryramp
