#pragma once

#include <mutex>
#include <string>
#include <vector>

#include "limits/token_cache.h"
#include "node/post_office.h"
#include "node/waiter_table.h"

namespace celeryramp {

/*! @brief Admission of calls at this entry node, shared by the threads that carry calls. */
class AccountsDesk
{
public:
    AccountsDesk(std::string zone, PostOffice &post) : m_wallet{std::move(zone)}, m_post{post} { }

    /*! @brief A configuration came in force. */
    void onSnapshot(SnapshotPtr snapshot, TimePoint now);

    /*!
     * @brief Admits one call, waiting a little for tokens when none are held.
     * @param deadline The caller's own; it is never waited past.
     * @return True when the call's price was debited.
     */
    [[nodiscard]] bool admit(const ClientAccount &account, TimePoint deadline);

    /*! @brief A grant arrived. */
    void onGrant(const TokenGrantMessage &message, TimePoint now);

    /*! @brief A request for tokens was certainly not sent. */
    void onUnsent(std::uint64_t id, TimePoint now);

private:
    void sendAsk(const TokenRequest &ask);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_grants = 0; /*!< Counts changes that a waiting call should look at. */
    TokenCache m_wallet;
    PostOffice &m_post;
};

} // namespace celeryramp
