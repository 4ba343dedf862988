#include "engine/caller_connections.h"

#include <algorithm>
#include <numeric>
#include <string>

#include "observe/log.h"
#include "proxy/idle_callers.h"
#include "proxy/stalled_callers.h"

namespace celeryramp::engine {

bool CallerConnections::makeRoom(TimePoint now)
{
    if (m_settings.maxConnections == 0 || m_connections.size() < m_settings.maxConnections) {
        return true;
    }
    const auto connections = list();
    std::vector<proxy::CallerState> states;
    states.reserve(connections.size());
    for (const auto &connection : connections) {
        states.push_back({!connection->isServed(), connection->unchangedFor(now)});
    }
    const auto replaced = proxy::selectReplacedCaller(states);
    m_metrics
            .counter(std::string{"connections_closed_total{which=\""} + (replaced ? "idle" : "new")
                     + "\"}")
            .add();
    if (!replaced) {
        return false;
    }
    connections[*replaced]->close();
    return true;
}

void CallerConnections::remove(const http::CallerConnectionPtr &connection)
{
    m_connections.erase(connection);
    m_holders.erase(connection.get());
}

bool CallerConnections::mayHold(const http::CallerConnectionPtr &connection, std::size_t bytes,
                                TimePoint now)
{
    if (bytes == 0) {
        m_holders.erase(connection.get());
        return true;
    }
    auto it = m_holders.find(connection.get());
    if (it == m_holders.end()) {
        it = m_holders.emplace(connection.get(), Holder{connection, m_bodies.open(now)}).first;
    }
    while (!m_bodies.hold(it->second.lease, bytes, now)) {
        if (!cutFor(it->second.lease, bytes, now)) {
            m_metrics.counter("bodies_refused_total").add();
            logEvent(LogLevel::Warn, "desk", "body-refused",
                     {{"bytes", std::to_string(bytes)},
                      {"held_bytes", std::to_string(m_bodies.heldBytes())}});
            m_holders.erase(it);
            return false;
        }
    }
    return true;
}

bool CallerConnections::cutFor(const admission::BodyBudget::Lease &lease, std::size_t bytes,
                               TimePoint now)
{
    for (const auto &[connection, holder] : m_holders) {
        // An unfinished request may follow one that a server runs.
        m_bodies.protect(holder.lease, connection->isServed());
    }
    const auto victim = m_bodies.victim(lease, bytes, now);
    const auto it = std::find_if(m_holders.begin(), m_holders.end(), [&victim](const auto &entry) {
        return victim && entry.second.lease.id() == *victim;
    });
    if (it == m_holders.end()) {
        return false;
    }
    const auto connection = it->second.connection;
    m_holders.erase(it);
    m_metrics.counter("bodies_cut_total").add();
    logEvent(LogLevel::Warn, "desk", "body-cut",
             {{"bytes", std::to_string(connection->heldBytes())},
              {"held_bytes", std::to_string(m_bodies.heldBytes())}});
    connection->reset();
    return true;
}

admission::BodyBudget::Lease CallerConnections::takeLease(const http::CallerConnection &connection,
                                                          TimePoint now)
{
    const auto it = m_holders.find(&connection);
    if (it == m_holders.end()) {
        return m_bodies.open(now);
    }
    auto lease = std::move(it->second.lease);
    m_holders.erase(it);
    m_bodies.protect(lease, true);
    return lease;
}

void CallerConnections::sweep(const directory::InputLimits &limits, std::size_t unreadLimit,
                              TimePoint now)
{
    for (const auto &connection : list()) {
        connection->checkTimeouts(limits.headerTimeout, limits.idleTimeout, now);
    }
    const auto connections = list();
    std::vector<proxy::UnreadResponses> unread;
    unread.reserve(connections.size());
    for (const auto &connection : connections) {
        unread.push_back({connection->unsentBytes(), connection->stalledFor(now)});
    }
    for (const auto i : proxy::selectStalledCallers(unread, unreadLimit)) {
        m_metrics.counter("caller_resets_total").add();
        logEvent(LogLevel::Warn, "desk", "caller-reset",
                 {{"unsent_bytes", std::to_string(unread[i].bytes)},
                  {"stalled_ms", std::to_string(unread[i].stalledFor.count())}});
        connections[i]->reset();
    }
}

void CallerConnections::closeAfterResponses()
{
    for (const auto &connection : m_connections) {
        connection->closeAfterResponse();
    }
}

void CallerConnections::closeIdle(Millis minIdle, TimePoint now)
{
    for (const auto &connection : list()) {
        if (connection->idleFor(now) >= minIdle) {
            connection->close();
        }
    }
}

void CallerConnections::closeAll()
{
    for (const auto &connection : list()) {
        connection->close();
    }
}

std::size_t CallerConnections::unsentBytes() const
{
    return std::accumulate(m_connections.begin(), m_connections.end(), std::size_t{0},
                           [](std::size_t sum, const http::CallerConnectionPtr &connection) {
                               return sum + connection->unsentBytes();
                           });
}

} // namespace celeryramp::engine
