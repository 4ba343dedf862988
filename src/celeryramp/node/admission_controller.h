#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "limits/token_cache.h"
#include "node/message_sender.h"
#include "node/waiter_table.h"

namespace celeryramp {

/*! @brief Enforces account rates at this entry node. Thread-safe. */
class AdmissionController
{
public:
    AdmissionController(std::string zone, MessageSender &sender)
        : m_tokens{std::move(zone)}, m_sender{sender}
    { }

    /*! @brief Applies a new configuration. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*!
     * @brief Admits one call. Waits up to 100 ms for tokens when none are held.
     * @param deadline Deadline of the call; the wait for tokens never exceeds it.
     * @return True when the call's price was debited.
     */
    [[nodiscard]] bool admit(const ClientAccount &account, TimePoint deadline);

    /*! @brief Handles a token grant. */
    void onGrant(const TokenGrantMessage &message, TimePoint now);

    /*! @brief Handles a token request that was definitely not sent. */
    void onUnsent(std::uint64_t id, TimePoint now);

private:
    void sendTokenRequest(const TokenRequest &request);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_changes = 0; /*!< Incremented by each grant or failed request, so that waiting
                                   calls check again. */
    TokenCache m_tokens;
    MessageSender &m_sender;
};

} // namespace celeryramp
