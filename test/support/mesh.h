#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "directory/item_sink.h"
#include "engine/engine.h"
#include "soak/link_proxy.h"
#include "support/raw_caller.h"
#include "support/scripted_server.h"
#include "support/test_header_adapter.h"
#include "support/text_decoder.h"

namespace celeryramp::test {

/*! @brief Item source whose sink a test calls directly. */
class ScriptedSource final : public directory::ItemSource
{
public:
    void start(directory::ItemSink &it) override { sink = &it; }
    void resume() override { ++resumes; }
    void stop() override { }

    directory::ItemSink *sink = nullptr;
    int resumes = 0; /*!< Times at which the node wanted to read. */
};

/*! @brief Result of a call to the mesh: an answer, or how the exchange ended. */
struct Outcome
{
    bool isDone = false;
    http::ExchangeEnd end = http::ExchangeEnd::NotSent;
    http::Answer answer;
};

/*!
 * @brief Nodes with their servers in one process and thread, on loopback addresses from 127.0.0.11.
 *
 * All nodes are in zone `north` by default. All servers belong to service `stock`. The routes are
 * `/safe/` (idempotent), `/once/` and, with a timeout of 6 s, `/slow/` (not idempotent) and
 * `/keyed/` (idempotent, requires a key). Key
 * `k1` belongs to an account without limit, `k3` to one with a rate of 20 requests per second and a
 * burst of 20.
 */
class Mesh
{
public:
    /*! @param count Number of nodes. @param south Number of nodes in zone `south`, the last ones.
     */
    explicit Mesh(int count, int south = 0) : Mesh{count, south, std::string{}, 0} { }

    /*!
     * @return A mesh in which the links that others open to the last node lead through `proxy`.
     * @param proxyHost Under which the others know it; the lowest host of a zone reads for it.
     */
    [[nodiscard]] static std::unique_ptr<Mesh>
    withProxy(const std::string &proxyHost = "127.0.0.51", int count = 2);

    /*! @return A mesh of one node in zone `north` and `south` nodes in zone `south`, to each of
     * which the links of others lead through one of `proxies`. */
    [[nodiscard]] static std::unique_ptr<Mesh> withZoneBehindProxies(int south);

    /*!
     * @brief Sends a complete list of items to all nodes.
     * @param draining Indexes of servers listed as draining.
     * @param missing Indexes of servers that are not listed.
     */
    void publish(const std::set<int> &draining = {}, const std::set<int> &missing = {});

    /*! @brief Publishes a configuration with other accounts. */
    void publishAccounts(directory::AccountList accounts);

    /*! @brief Publishes a configuration with another limit for the bodies of requests. */
    void limitBodies(std::size_t bytes);

    /*! @brief Lets a read of all nodes fail that was sent just now. */
    void failSource();

    /*! @brief Opens a connection of a caller that sends and receives raw bytes. */
    [[nodiscard]] std::shared_ptr<RawCaller> connect(int node, int receiveBuffer = 0);
    /*! @return The bytes of a request, with a new id. */
    [[nodiscard]] std::string request(const std::string &method, const std::string &target,
                                      const std::string &body = {}, Millis deadline = Millis{1500});
    /*! @brief Restarts the server of a node with this id. `publish` lists it from then on. */
    void restartServer(int index, const std::string &id);
    /*! @brief Replaces the engine of a node by a new one that has received nothing yet. */
    void restartNode(int index);

    /*! @brief Restarts a node with another memory limit. `publish` informs it. */
    void limitMemory(int index, std::size_t bytes);

    /*! @brief Sends a request to a node as a caller, with a deadline of 1.5 s unless `headers` has
     * another. */
    http::ClientConnectionPtr call(int node, const std::string &method, const std::string &target,
                                   const std::shared_ptr<Outcome> &outcome,
                                   const http::Headers &headers = {}, const std::string &body = {});
    /*! @brief Sends a request and waits up to 4 s for the result. */
    Outcome callAndWait(int node, const std::string &method, const std::string &target,
                        const http::Headers &headers = {}, const std::string &body = {});

    /*! @return Sum of the counters of a node whose names begin with `prefix`, labels included. */
    [[nodiscard]] double metric(int node, const std::string &prefix);
    /*! @return A gauge of a node; 0 if there is none. */
    [[nodiscard]] double gauge(int node, const std::string &name);

    /*! @return Number of requests that reached the servers. */
    [[nodiscard]] std::size_t receivedRequests() const;

    /*! @brief Runs the event loop for a time. */
    void run(Millis time);
    /*! @brief Runs the event loop until a condition holds. @return False on timeout. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition, Millis most);

    struct Node
    {
        std::string serverId;
        int serverStarts = 1;
        ScriptedSource source;
        std::unique_ptr<engine::Engine> engine;
        std::unique_ptr<ScriptedServer> server;
        std::string zone;
        std::string host;
        std::string backendHost; /*!< Differs from `host` if links lead through a proxy. */
    };

    boost::asio::io_context context;
    std::vector<std::unique_ptr<Node>> nodes;
    int serverSlots = 4; /*!< Listed with the next `publish`. */

    static constexpr std::uint16_t kCallerPort = 17801;
    static constexpr std::uint16_t kLinkPort = 17802;
    static constexpr std::uint16_t kReadinessPort = 17803;
    static constexpr std::uint16_t kServerPort = 17804;
    static constexpr std::uint16_t kMetricsPort = 17807;

    std::vector<std::unique_ptr<standin::soak::LinkProxy>> proxies;
    standin::soak::LinkProxy *proxy = nullptr; /*!< The last of `proxies`. */

private:
    /*! @return Sum of the values of the metrics of a node whose lines begin with `prefix`. */
    [[nodiscard]] double sumOfLines(int node, const std::string &prefix);
    /*! @brief Sends a request to a port of a node, on a connection of its own. */
    http::ClientConnectionPtr send(int node, std::uint16_t port, const http::Request &request,
                                   const std::shared_ptr<Outcome> &outcome);
    /*! @param proxied Number of nodes behind proxies, the last ones; the last octet of `proxyHost`
     * grows from the first to the last. */
    Mesh(int count, int south, const std::string &proxyHost, int proxied);

    TestHeaderAdapter m_headerAdapter;
    TextDecoder m_decoder;
    std::vector<engine::EngineSettings> m_settings; /*!< Of each node. */
    std::vector<std::unique_ptr<engine::Engine>> m_stoppedEngines;
    std::int64_t m_revision = 1;
    std::int64_t m_version = 1; /*!< Of the configuration, and its revision. */
    int m_nextRequest = 1;
};

} // namespace celeryramp::test
