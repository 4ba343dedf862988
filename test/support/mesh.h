#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "directory/item_sink.h"
#include "engine/engine.h"
#include "support/scripted_server.h"
#include "support/test_dialect.h"
#include "support/text_decoder.h"

namespace celeryramp::test {

/*! @brief A source that a test speaks for. */
class ScriptedSource final : public directory::ItemSource
{
public:
    void start(directory::ItemSink &it) override { sink = &it; }
    void resume() override { }
    void stop() override { }

    directory::ItemSink *sink = nullptr;
};

/*! @brief Answer to a caller of the mesh, or how it failed. */
struct Outcome
{
    bool isDone = false;
    http::ExchangeEnd end = http::ExchangeEnd::NotSent;
    http::Answer answer;
};

/*!
 * @brief Nodes with their servers in one process and thread, on loopback addresses 127.0.0.11 and
 * on. All nodes are in zone `north` unless said otherwise, and all servers of service `stock`, with
 * the routes `/safe/` (may be repeated), `/once/` (may not), `/keyed/` (needs a key: `k1` of an
 * account without limit, `k3` of one with 20 requests a second and as many at once).
 */
class Mesh
{
public:
    /*! @param south The last so many nodes are in zone `south`. */
    explicit Mesh(int nodes, int south = 0);

    /*! @brief Lists all again to all nodes. @param draining Servers that leave. @param missing
     * Servers that are not listed. */
    void publish(const std::set<int> &draining = {}, const std::set<int> &missing = {});

    /*! @brief Sends a request to a node as a caller. */
    http::ClientConnectionPtr call(int node, const std::string &method, const std::string &target,
                                   const std::shared_ptr<Outcome> &outcome,
                                   const http::Headers &headers = {}, const std::string &body = {});
    /*! @brief Sends a request and waits for its end. */
    Outcome callAndWait(int node, const std::string &method, const std::string &target,
                        const http::Headers &headers = {}, const std::string &body = {});

    /*! @brief Runs for a time. */
    void run(Millis time);
    /*! @brief Runs until the condition holds. @return False when it did not in time. */
    [[nodiscard]] bool runUntil(const std::function<bool()> &condition, Millis most);

    struct Node
    {
        ScriptedSource source;
        std::unique_ptr<engine::Engine> engine;
        std::unique_ptr<ScriptedServer> server;
        std::string zone;
        std::string host;
    };

    boost::asio::io_context context;
    std::vector<std::unique_ptr<Node>> nodes;

    static constexpr std::uint16_t kCallerPort = 17801;
    static constexpr std::uint16_t kLinkPort = 17802;
    static constexpr std::uint16_t kReadinessPort = 17803;
    static constexpr std::uint16_t kServerPort = 17804;

private:
    TestDialect m_dialect;
    TextDecoder m_decoder;
    std::int64_t m_revision = 1;
    int m_nextRequest = 1;
};

} // namespace celeryramp::test
