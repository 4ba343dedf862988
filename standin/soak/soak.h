#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/random.h"
#include "http/client_connection.h"
#include "lab/process_table.h"
#include "soak/backend.h"
#include "soak/fault_plan.h"
#include "soak/link_proxy.h"
#include "soak/operator.h"
#include "soak/promise_check.h"
#include "soak/store.h"
#include "soak/store_writer.h"

namespace standin::soak {

/*! @brief Size and place of a run. */
struct SoakOptions
{
    std::uint64_t seed = 1;
    celeryramp::Millis length{18'000}; /*!< Time in which faults begin. */
    celeryramp::Millis calm{9000}; /*!< Time after the last fault has ended. */
    int nodes = 9;
    int callers = 30;
    std::string program; /*!< Path of the node program. */
    std::string directory; /*!< For settings and logs. */
    std::vector<std::string> without; /*!< Mechanisms that the nodes switch off. */
};

/*! @brief Result of a run. */
struct SoakResult
{
    std::vector<Violation> violations;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t executions = 0;
};

/*!
 * @brief Runs nodes as processes between stand-ins of callers, backends and the store, injects the
 * faults of a schedule and checks what callers and backends have seen.
 */
class Soak
{
public:
    explicit Soak(SoakOptions options);
    ~Soak();

    [[nodiscard]] SoakResult run();

private:
    struct Node;
    struct Caller;

    [[nodiscard]] std::string host(int network, int index) const;
    [[nodiscard]] std::string settings(const Node &node) const;
    void addNode(int index);
    void record(const Execution &execution);
    void startNode(Node &node);
    void publishServer(Node &node, const char *state);
    void schedule(celeryramp::Millis at, std::function<void()> action);
    void begin(const Fault &fault);
    void silenceZone(const std::string &zone, celeryramp::Millis duration);
    void beginLinkFault(const Fault &fault, Node &node);
    void beginStoreFault(const Fault &fault);
    void beginAnswerFault(const Fault &fault, Node &node);
    void evacuate(const std::string &zone, celeryramp::Millis duration);
    void setStoreState(StoreState state, celeryramp::Millis duration);
    void keepCopy(const Fault &fault);
    void publishStatus();
    void restoreStore(const Fault &fault);
    void loseStore(celeryramp::Millis duration, std::function<void()> returns);
    void returnStore(const Fault &fault);
    void endIncarnation(const Node &node, celeryramp::TimePoint now);
    void killNode(Node &node, celeryramp::Millis downFor);
    void stopNode(Node &node);
    void awaitStopped(Node &node, celeryramp::TimePoint since);
    void replaceServer(Node &node, celeryramp::Millis after);
    void sendNext(Caller &caller);
    [[nodiscard]] SentRequest drawRequest(const Caller &caller);
    void sendRequest(Caller &caller);
    void onEnd(Caller &caller, const std::string &id, std::size_t size,
               celeryramp::http::ExchangeEnd end, const celeryramp::http::Answer &answer);
    void pauseThenSend(Caller &caller);
    [[nodiscard]] SoakResult conclude();

    SoakOptions m_options;
    boost::asio::io_context m_context;
    celeryramp::RandomEngine m_random;
    std::unique_ptr<Store> m_store;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<std::unique_ptr<Caller>> m_callers;
    std::vector<std::unique_ptr<boost::asio::steady_timer>> m_timers;
    ProcessTable m_processes;
    Observations m_observations;
    StoreWriter m_writer;
    Operator m_operator;
    std::optional<StoreCopy> m_copy; /*!< That the store comes back from next. */
    bool m_isStoreAway = false;
    int m_nextId = 1;
    int m_nextServer = 1;
    std::size_t m_nextStatus = 0; /*!< Index of the node whose server writes its status next. */
    bool m_isOver = false;
};

} // namespace standin::soak
