#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/time.h"
#include "lab/process_table.h"
#include "restored/probe_log.h"
#include "restored/prober.h"
#include "restored/site_version.h"
#include "soak/backend.h"
#include "soak/store.h"

namespace celeryramp::test {

/*!
 * @brief Six `celeryramp-node` processes in three zones, a server beside each, and a store that can
 * go back to the copy that was taken before they started. Probers ask each node on all routes.
 */
class RestoredSite
{
public:
    static constexpr int kNodes = 6;
    /*! Route that all versions have, and the only one for which a key is needed. */
    static constexpr const char *kKeyedRoute = "/keyed/";
    /*! Time for which the store is away before it comes back. */
    static constexpr Millis kAway{700};

    /*! @param name Name of the directory for settings and logs, which stay after the test.
     *  @param first Version that is written before the nodes start.
     *  @param routes Prefixes that are asked for without a key. @param key Key that is asked with
     * where one is needed. */
    RestoredSite(const std::string &name, const SiteVersion &first,
                 const std::vector<std::string> &routes, const std::string &key);
    ~RestoredSite();
    RestoredSite(const RestoredSite &) = delete;
    RestoredSite &operator=(const RestoredSite &) = delete;

    void run(Millis time);
    void runUntil(TimePoint time);
    /*! @return False if the condition does not hold in time. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition, Millis most);
    /*! @brief Runs until all nodes serve a route. @return False if they do not in time. */
    [[nodiscard]] bool runUntilServed(const std::string &route);

    /*! @name What the operator and the servers write. @return Time of the acknowledgement */
    /*!@{*/
    TimePoint publish(const SiteVersion &version);
    TimePoint publishServer(int server, const char *state);
    TimePoint removeServer(int server);
    /*! @brief The server starts again under another id. */
    TimePoint replaceServer(int server);
    TimePoint evacuate(const std::string &zone);
    TimePoint takeBack(const std::string &zone);
    /*! @brief Servers write entries that differ in their sequence numbers only. */
    void writeServers(int times);
    /*!@}*/

    /*! @brief The store is away for a moment, and comes back from the copy. @return Its return. */
    TimePoint restoreStore();
    /*! @brief The store turns these nodes away from now on. */
    void turnAway(const std::vector<int> &nodes);
    void restart(int node);

    /*! @return Time at which the copy was taken. */
    [[nodiscard]] TimePoint copiedAt() const noexcept { return m_copiedAt; }
    [[nodiscard]] const standin::soak::Store &store() const noexcept { return m_store; }
    [[nodiscard]] const ProbeLog &probes() const noexcept { return m_probes; }
    /*! @return Requests that servers began in a span of time. */
    [[nodiscard]] int executionsAt(int server, TimePoint from, TimePoint to) const;
    [[nodiscard]] int executionsIn(const std::string &zone, TimePoint from, TimePoint to) const;
    [[nodiscard]] bool areAllRunning();

private:
    struct Server
    {
        std::string id;
        int starts = 0;
        int sequence = 0;
        std::unique_ptr<standin::soak::Backend> backend;
    };

    void addServer(int index);
    void startNode(int index);

    boost::asio::io_context m_context;
    std::string m_directory;
    standin::soak::Store m_store;
    standin::soak::StoreCopy m_copy;
    TimePoint m_copiedAt;
    std::vector<Server> m_servers;
    std::vector<standin::soak::Execution> m_executions;
    standin::ProcessTable m_processes;
    ProbeLog m_probes;
    std::vector<std::unique_ptr<Prober>> m_probers; /*!< Node by node. */
};

} // namespace celeryramp::test
