#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

#include "admission/body_budget.h"
#include "core/time.h"
#include "directory/configuration.h"
#include "engine/engine_settings.h"
#include "http/caller_connection.h"
#include "observe/metrics_registry.h"

namespace celeryramp::engine {

/*! @brief The connections of a node's callers, within the limits on descriptors and memory. Which
 * of them are closed for that is decided in `proxy` and `admission`. */
class CallerConnections
{
public:
    CallerConnections(const EngineSettings &settings, admission::BodyBudget &bodies,
                      MetricsRegistry &metrics)
        : m_settings{settings}, m_bodies{bodies}, m_metrics{metrics}
    { }

    /*! @brief Closes an idle connection if one more would exceed the limit.
     * @return False if the new one has to be closed instead. */
    [[nodiscard]] bool makeRoom(TimePoint now);
    void add(const http::CallerConnectionPtr &connection) { m_connections.insert(connection); }
    void remove(const http::CallerConnectionPtr &connection);

    /*! @brief Holds what a caller sends within the memory for request bodies, by cutting the
     * unfinished bodies of others. @return False if it has to be refused. */
    [[nodiscard]] bool mayHold(const http::CallerConnectionPtr &connection, std::size_t bytes,
                               TimePoint now);
    /*! @return The memory that the body of a complete request holds. */
    [[nodiscard]] admission::BodyBudget::Lease takeLease(const http::CallerConnection &connection,
                                                         TimePoint now);

    /*! @brief Closes connections that are idle or slow beyond the limits, and resets those of
     * callers that take little until what the others leave unread is within its limit. */
    void sweep(const directory::InputLimits &limits, std::size_t unreadLimit, TimePoint now);
    void closeAfterResponses();
    /*! @brief Closes connections that have carried no request for a time. */
    void closeIdle(Millis minIdle, TimePoint now);
    void closeAll();

    /*! @return Bytes of responses that callers have not taken yet, over all connections. */
    [[nodiscard]] std::size_t unsentBytes() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_connections.size(); }

private:
    struct Holder
    {
        http::CallerConnectionPtr connection;
        admission::BodyBudget::Lease lease;
    };

    /*! @return A copy, since connections that close remove themselves. */
    [[nodiscard]] std::vector<http::CallerConnectionPtr> list() const
    {
        return {m_connections.begin(), m_connections.end()};
    }
    /*! @brief Cuts the unfinished body that is chosen for another one. @return False if none is. */
    [[nodiscard]] bool cutFor(const admission::BodyBudget::Lease &lease, std::size_t bytes,
                              TimePoint now);

    const EngineSettings &m_settings;
    admission::BodyBudget &m_bodies;
    MetricsRegistry &m_metrics;
    std::set<http::CallerConnectionPtr> m_connections;
    std::map<const http::CallerConnection *, Holder> m_holders; /*!< Of unfinished requests. */
};

} // namespace celeryramp::engine
