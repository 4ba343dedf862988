#include "http/client_pool.h"

#include <algorithm>

namespace celeryramp::http {

namespace internal {

/*! Connections are no longer used this long before the idle timeout that the server announced. */
constexpr Millis kIdleMargin{1000};

} // namespace internal

Millis ClientPool::idleLimitOf(const ClientConnection &connection) const
{
    if (connection.announcedIdle().count() == 0) {
        return m_settings.idleLimit;
    }
    return std::clamp(connection.announcedIdle() - internal::kIdleMargin, Millis{0},
                      m_settings.idleLimit);
}

ClientConnectionPtr ClientPool::send(Exchange exchange, Millis maxIdle, TimePoint now)
{
    sweep(now);
    ClientConnectionPtr connection;
    if (!m_idle.empty() && millisBetween(m_idle.back()->freeSince(), now) <= maxIdle) {
        connection = m_idle.back();
        m_idle.pop_back();
    } else {
        connection = std::make_shared<ClientConnection>(
                m_context, m_address, m_settings.connectTimeout, m_settings.bodyLimit,
                [this](const ClientConnectionPtr &released) {
                    m_idle.erase(std::remove(m_idle.begin(), m_idle.end(), released), m_idle.end());
                    if (!released->isClosed()) {
                        m_idle.push_back(released);
                    }
                });
    }
    connection->send(std::move(exchange));
    return connection;
}

void ClientPool::sweep(TimePoint now)
{
    const auto idle = m_idle;
    for (const auto &connection : idle) {
        if (millisBetween(connection->freeSince(), now) > idleLimitOf(*connection)) {
            connection->cancel();
        }
    }
}

void ClientPool::closeIdle()
{
    const auto idle = m_idle;
    for (const auto &connection : idle) {
        connection->cancel();
    }
}

} // namespace celeryramp::http
