#include "transport/peer_mesh.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/server.hpp>

#include "core/time.h"
#include "observe/log.h"

namespace celeryramp {

namespace internal {

namespace asio = boost::asio;
using ServerEndpoint = websocketpp::server<websocketpp::config::asio_tls>;
using ClientEndpoint = websocketpp::client<websocketpp::config::asio_tls_client>;
using SslContext = asio::ssl::context;
using SslContextPtr = std::shared_ptr<SslContext>;
using Handle = websocketpp::connection_hdl;
using ErrorCode = websocketpp::lib::error_code;

constexpr std::size_t kMaxWaitingFrames = 1024;
constexpr long kHandshakeTimeoutMs = 2000;
constexpr Millis kSweepInterval{500};
constexpr Millis kIdleClose{60'000};
constexpr Millis kIdleAvoid{50'000};
constexpr Millis kPauseLimit{3000};

enum class Side { Accepted, Opened };

struct WaitingFrame
{
    std::string bytes;
    std::uint64_t token = 0;
};

struct Link
{
    LinkId id = 0;
    Side side = Side::Accepted;
    Handle handle;
    std::string peer; /*!< Empty until the peer said hello, or known from who was called. */
    std::string zone;
    bool open = false;
    bool greeted = false; /*!< The peer said hello. */
    TimePoint lastUsed;
    std::deque<WaitingFrame> waiting;
};

using LinkPtr = std::shared_ptr<Link>;

[[nodiscard]] SslContextPtr makeContext(const TlsFiles &files)
{
    auto context = std::make_shared<SslContext>(SslContext::tls);
    context->set_options(SslContext::default_workarounds | SslContext::no_sslv2
                         | SslContext::no_sslv3 | SslContext::no_tlsv1 | SslContext::no_tlsv1_1);
    context->load_verify_file(files.authority);
    context->use_certificate_chain_file(files.certificate);
    context->use_private_key_file(files.privateKey, SslContext::pem);
    context->set_verify_mode(asio::ssl::verify_peer | asio::ssl::verify_fail_if_no_peer_cert);
    return context;
}

} // namespace internal

class PeerMesh::Impl
{
public:
    Impl(PeerMeshSettings settings, PeerEvents &events, const LinkPolicy &policy,
         MetricsRegistry &metrics)
        : m_settings{std::move(settings)}, m_events{events}, m_policy{policy},
          m_sent{metrics.counter("peer_frames_total{direction=\"sent\"}")},
          m_received{metrics.counter("peer_frames_total{direction=\"received\"}")},
          m_sentBytes{metrics.counter("peer_bytes_total{direction=\"sent\"}")},
          m_receivedBytes{metrics.counter("peer_bytes_total{direction=\"received\"}")},
          m_malformed{metrics.counter("peer_malformed_frames_total")},
          m_failedLinks{metrics.counter("peer_failed_connections_total")},
          m_openedLinks{metrics.counter("peer_connections_total")},
          m_dropped{metrics.counter("peer_dropped_frames_total")},
          m_cut{metrics.counter("peer_cut_frames_total")}, m_sweepTimer{m_io}
    { }

    [[nodiscard]] Result<bool, MeshError> start()
    {
        try {
            m_context = internal::makeContext(m_settings.tls);
            setUp(m_server);
            setUp(m_client);
            m_server.set_reuse_addr(true);
            const auto address = internal::asio::ip::make_address(m_settings.listen.host);
            m_server.listen(internal::asio::ip::tcp::endpoint{address, m_settings.listen.port});
            m_server.start_accept();
        } catch (const std::exception &error) {
            return MeshError{error.what()};
        }
        m_lastSweep = Clock::now();
        scheduleSweep();
        m_thread = std::thread{[this] { m_io.run(); }};
        return true;
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        internal::asio::post(m_io, [this] { closeAll(); });
        m_thread.join();
    }

    LinkId send(const std::string &name, const Message &message, std::uint64_t token)
    {
        if (m_policy.isCut(m_events.placeOf(name).zone)) {
            m_cut.add();
            return kSwallowed;
        }
        auto bytes = encode(message);
        internal::LinkPtr link;
        {
            const std::lock_guard lock{m_mutex};
            link = usableLink(name);
            if (link && !link->open) {
                return enqueue(*link, std::move(bytes), token);
            }
        }
        if (!link) {
            return open(name, std::move(bytes), token);
        }
        return transmit(*link, std::move(bytes)) ? link->id : 0;
    }

    bool reply(LinkId id, const Message &message)
    {
        internal::LinkPtr link;
        {
            const std::lock_guard lock{m_mutex};
            const auto it = m_links.find(id);
            if (it == m_links.end() || !it->second->open) {
                return false;
            }
            link = it->second;
            link->lastUsed = Clock::now();
        }
        if (m_policy.isCut(link->zone)) {
            m_cut.add();
            return true;
        }
        return transmit(*link, encode(message));
    }

    void connectTo(const Address &address)
    {
        internal::asio::post(m_io, [this, address] { dial(newLink({}), address); });
    }

    [[nodiscard]] std::size_t links() const
    {
        const std::lock_guard lock{m_mutex};
        return m_links.size();
    }

private:
    /*! A cut link swallows frames without a word. */
    static constexpr LinkId kSwallowed = 1;

    template <typename Endpoint>
    void setUp(Endpoint &endpoint)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&m_io);
        endpoint.set_max_message_size(kMaxFrameBytes);
        endpoint.set_open_handshake_timeout(internal::kHandshakeTimeoutMs);
        endpoint.set_close_handshake_timeout(internal::kHandshakeTimeoutMs);
        endpoint.set_tls_init_handler([this](const internal::Handle &) { return m_context; });
        endpoint.set_open_handler(
                [this, &endpoint](const internal::Handle &handle) { onOpen(endpoint, handle); });
        endpoint.set_fail_handler([this, &endpoint](const internal::Handle &handle) {
            onEnd(handle, isRefusal(endpoint, handle));
        });
        endpoint.set_close_handler(
                [this](const internal::Handle &handle) { onEnd(handle, false); });
        endpoint.set_message_handler([this](const internal::Handle &handle, const auto &message) {
            onFrame(handle, message->get_payload());
        });
    }

    template <typename Endpoint>
    [[nodiscard]] static bool isRefusal(Endpoint &endpoint, const internal::Handle &handle)
    {
        internal::ErrorCode ec;
        const auto connection = endpoint.get_con_from_hdl(handle, ec);
        // The library hides the system's error; a connect that times out has a code of its own.
        return !ec && connection->get_ec() == websocketpp::transport::error::pass_through;
    }

    /*! The link to use for a peer, if any; called with the lock held. */
    [[nodiscard]] internal::LinkPtr usableLink(const std::string &name)
    {
        const auto now = Clock::now();
        const auto it = m_byPeer.find(name);
        if (it == m_byPeer.end()) {
            return nullptr;
        }
        const auto &link = it->second;
        const bool closesSoon = link->side == internal::Side::Accepted
                && now - link->lastUsed >= internal::kIdleAvoid;
        if (closesSoon) {
            return nullptr;
        }
        link->lastUsed = now;
        return link;
    }

    LinkId enqueue(internal::Link &link, std::string bytes, std::uint64_t token)
    {
        if (link.waiting.size() >= internal::kMaxWaitingFrames) {
            m_dropped.add();
            return 0;
        }
        link.waiting.push_back({std::move(bytes), token});
        return link.id;
    }

    [[nodiscard]] internal::LinkPtr newLink(const std::string &name)
    {
        auto link = std::make_shared<internal::Link>();
        const std::lock_guard lock{m_mutex};
        link->id = ++m_lastLink;
        link->side = internal::Side::Opened;
        link->peer = name;
        link->lastUsed = Clock::now();
        m_links[link->id] = link;
        if (!name.empty()) {
            m_byPeer[name] = link;
        }
        return link;
    }

    LinkId open(const std::string &name, std::string bytes, std::uint64_t token)
    {
        const auto place = m_events.placeOf(name);
        if (place.address.port == 0) {
            m_dropped.add();
            return 0;
        }
        auto link = newLink(name);
        {
            const std::lock_guard lock{m_mutex};
            enqueue(*link, std::move(bytes), token);
        }
        const auto id = link->id;
        link->zone = place.zone;
        internal::asio::post(m_io, [this, link = std::move(link), address = place.address] {
            dial(link, address);
        });
        return id;
    }

    void dial(const internal::LinkPtr &link, const Address &address)
    {
        internal::ErrorCode ec;
        const auto connection = m_client.get_connection("wss://" + address.text() + "/", ec);
        if (ec) {
            endLink(link, false);
            return;
        }
        link->handle = connection->get_handle();
        {
            const std::lock_guard lock{m_mutex};
            m_byHandle[link->handle] = link;
        }
        m_client.connect(connection);
    }

    template <typename Endpoint>
    void onOpen(Endpoint &endpoint, const internal::Handle &handle)
    {
        m_openedLinks.add();
        internal::ErrorCode ec;
        if (const auto connection = endpoint.get_con_from_hdl(handle, ec); !ec) {
            boost::system::error_code ignored;
            connection->get_raw_socket().set_option(internal::asio::ip::tcp::no_delay(true),
                                                    ignored);
        }
        std::deque<internal::WaitingFrame> waiting;
        auto link = linkOf(handle);
        if (!link) {
            link = adopt(handle);
        }
        transmitNow(*link, encode(m_settings.self));
        // Frames that waited go first, so that later ones cannot overtake them.
        const std::lock_guard lock{m_mutex};
        waiting.swap(link->waiting);
        for (auto &frame : waiting) {
            transmitNow(*link, frame.bytes);
        }
        link->open = true;
    }

    [[nodiscard]] internal::LinkPtr adopt(const internal::Handle &handle)
    {
        auto link = std::make_shared<internal::Link>();
        const std::lock_guard lock{m_mutex};
        link->id = ++m_lastLink;
        link->handle = handle;
        link->lastUsed = Clock::now();
        m_links[link->id] = link;
        m_byHandle[handle] = link;
        return link;
    }

    [[nodiscard]] internal::LinkPtr linkOf(const internal::Handle &handle)
    {
        const std::lock_guard lock{m_mutex};
        const auto it = m_byHandle.find(handle);
        return it == m_byHandle.end() ? nullptr : it->second;
    }

    void onFrame(const internal::Handle &handle, const std::string &bytes)
    {
        const auto link = linkOf(handle);
        const auto now = Clock::now();
        if (!link) {
            return;
        }
        if (now - m_lastSweep >= internal::kPauseLimit) {
            closeAfterPause();
            return;
        }
        m_received.add();
        m_receivedBytes.add(bytes.size());
        auto message = decode(bytes);
        if (!message) {
            m_malformed.add();
            logEvent(LogLevel::Warn, "peers", "malformed-frame",
                     {{"peer", link->peer}, {"reason", message.error().reason}});
            close(*link, "malformed frame");
            return;
        }
        if (!link->greeted) {
            greet(link, message.value());
            return;
        }
        if (m_policy.isCut(link->zone)) {
            m_cut.add();
            return;
        }
        {
            const std::lock_guard lock{m_mutex};
            link->lastUsed = now;
        }
        m_events.onPeerMessage(link->peer, link->id, std::move(message.value()));
    }

    void greet(const internal::LinkPtr &link, const Message &message)
    {
        const auto *hello = std::get_if<HelloMessage>(&message);
        if (hello == nullptr || hello->server.empty()) {
            m_malformed.add();
            close(*link, "expected hello");
            return;
        }
        if (m_policy.isCut(hello->zone)) {
            m_cut.add();
            close(*link, "cut");
            return;
        }
        {
            const std::lock_guard lock{m_mutex};
            if (!link->peer.empty() && link->peer != hello->server) {
                forgetPeer(*link);
            }
            link->peer = hello->server;
            link->zone = hello->zone;
            link->greeted = true;
            m_byPeer.emplace(hello->server, link);
        }
        m_events.onPeerUp(link->peer, link->id);
    }

    void onEnd(const internal::Handle &handle, bool refused)
    {
        if (const auto link = linkOf(handle)) {
            endLink(link, refused);
        } else {
            m_failedLinks.add(); // a peer that never got through the TLS handshake
        }
    }

    void endLink(const internal::LinkPtr &link, bool refused)
    {
        std::deque<internal::WaitingFrame> unsent;
        {
            const std::lock_guard lock{m_mutex};
            m_failedLinks.add(link->open ? 0 : 1);
            link->open = false;
            m_links.erase(link->id);
            m_byHandle.erase(link->handle);
            forgetPeer(*link);
            unsent.swap(link->waiting);
        }
        for (const auto &frame : unsent) {
            m_dropped.add();
            if (frame.token != 0) {
                m_events.onUnsent(link->peer, frame.token);
            }
        }
        if (!link->peer.empty()) {
            m_events.onPeerLost(link->peer, link->id, refused);
        }
    }

    /*! Called with the lock held. */
    void forgetPeer(const internal::Link &link)
    {
        const auto it = m_byPeer.find(link.peer);
        if (it == m_byPeer.end() || it->second->id != link.id) {
            return;
        }
        m_byPeer.erase(it);
        for (const auto &[id, other] : m_links) {
            if (other->peer == link.peer && other->id != link.id && other->open) {
                m_byPeer[link.peer] = other;
            }
        }
    }

    bool transmit(const internal::Link &link, std::string bytes)
    {
        const auto delay = link.zone == m_settings.self.zone ? Millis{0} : m_policy.zoneDelay();
        if (delay.count() == 0) {
            return transmitNow(link, bytes);
        }
        auto timer = std::make_shared<internal::asio::steady_timer>(m_io, delay);
        const auto handle = link.handle;
        const auto side = link.side;
        timer->async_wait([this, timer, handle, side, bytes = std::move(bytes)](const auto &ec) {
            if (!ec) {
                write(side, handle, bytes);
            }
        });
        return true;
    }

    bool transmitNow(const internal::Link &link, const std::string &bytes)
    {
        return write(link.side, link.handle, bytes);
    }

    bool write(internal::Side side, const internal::Handle &handle, const std::string &bytes)
    {
        internal::ErrorCode ec;
        if (side == internal::Side::Accepted) {
            m_server.send(handle, bytes, websocketpp::frame::opcode::binary, ec);
        } else {
            m_client.send(handle, bytes, websocketpp::frame::opcode::binary, ec);
        }
        if (ec) {
            m_dropped.add();
            return false;
        }
        m_sent.add();
        m_sentBytes.add(bytes.size());
        return true;
    }

    void close(const internal::Link &link, const std::string &why)
    {
        internal::ErrorCode ec;
        const auto code = websocketpp::close::status::normal;
        if (link.side == internal::Side::Accepted) {
            m_server.close(link.handle, code, why, ec);
        } else {
            m_client.close(link.handle, code, why, ec);
        }
    }

    [[nodiscard]] std::vector<internal::LinkPtr> allLinks() const
    {
        const std::lock_guard lock{m_mutex};
        std::vector<internal::LinkPtr> links;
        links.reserve(m_links.size());
        for (const auto &[id, link] : m_links) {
            links.push_back(link);
        }
        return links;
    }

    void scheduleSweep()
    {
        m_sweepTimer.expires_after(internal::kSweepInterval);
        m_sweepTimer.async_wait([this](const auto &ec) {
            if (ec || m_stopping) {
                return;
            }
            const auto now = Clock::now();
            if (now - m_lastSweep >= internal::kPauseLimit) {
                closeAfterPause();
            } else {
                sweep(now);
            }
            m_lastSweep = now;
            scheduleSweep();
        });
    }

    void sweep(TimePoint now)
    {
        for (const auto &link : allLinks()) {
            const bool idle = now - link->lastUsed >= internal::kIdleClose;
            if (idle && link->side == internal::Side::Opened) {
                close(*link, "idle");
            }
        }
    }

    /*!
     * This process was paused. What its connections still hold may be long out of date: calls in
     * it must not start now, so the connections are given up unread.
     */
    void closeAfterPause()
    {
        m_lastSweep = Clock::now();
        logEvent(LogLevel::Warn, "peers", "paused", {{"links", std::to_string(links())}});
        for (const auto &link : allLinks()) {
            link->greeted = false;
            link->zone.clear();
            close(*link, "paused");
            endLink(link, false);
        }
    }

    void closeAll()
    {
        m_stopping = true;
        m_sweepTimer.cancel();
        internal::ErrorCode ec;
        m_server.stop_listening(ec);
        for (const auto &link : allLinks()) {
            close(*link, "stop");
        }
        auto timer = std::make_shared<internal::asio::steady_timer>(m_io, Millis{300});
        timer->async_wait([this, timer](const auto &) { m_io.stop(); });
    }

    PeerMeshSettings m_settings;
    PeerEvents &m_events;
    const LinkPolicy &m_policy;
    Counter &m_sent;
    Counter &m_received;
    Counter &m_sentBytes;
    Counter &m_receivedBytes;
    Counter &m_malformed;
    Counter &m_failedLinks;
    Counter &m_openedLinks;
    Counter &m_dropped;
    Counter &m_cut;
    internal::asio::io_context m_io;
    internal::SslContextPtr m_context;
    internal::ServerEndpoint m_server;
    internal::ClientEndpoint m_client;
    internal::asio::steady_timer m_sweepTimer;
    TimePoint m_lastSweep;
    bool m_stopping = false;
    mutable std::mutex m_mutex;
    std::map<LinkId, internal::LinkPtr> m_links;
    std::map<internal::Handle, internal::LinkPtr, std::owner_less<internal::Handle>> m_byHandle;
    std::unordered_map<std::string, internal::LinkPtr> m_byPeer;
    LinkId m_lastLink = kSwallowed;
    std::thread m_thread;
};

PeerMesh::PeerMesh(PeerMeshSettings settings, PeerEvents &events, const LinkPolicy &policy,
                   MetricsRegistry &metrics)
    : m_impl{std::make_unique<Impl>(std::move(settings), events, policy, metrics)}
{ }

PeerMesh::~PeerMesh()
{
    stop();
}

Result<bool, MeshError> PeerMesh::start()
{
    return m_impl->start();
}

void PeerMesh::stop()
{
    m_impl->stop();
}

LinkId PeerMesh::send(const std::string &name, const Message &message, std::uint64_t token)
{
    return m_impl->send(name, message, token);
}

bool PeerMesh::reply(LinkId link, const Message &message)
{
    return m_impl->reply(link, message);
}

void PeerMesh::connectTo(const Address &address)
{
    m_impl->connectTo(address);
}

std::size_t PeerMesh::links() const
{
    return m_impl->links();
}

} // namespace celeryramp
