#include "transport/peer_mesh.h"

#include <functional>
#include <thread>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio.hpp>
#include <websocketpp/config/asio_client.hpp>
#include <websocketpp/server.hpp>

#include "core/time.h"
#include "observe/log.h"
#include "transport/link_table.h"

namespace celeryramp {

namespace internal {

namespace asio = boost::asio;
using ServerEndpoint = websocketpp::server<websocketpp::config::asio_tls>;
using ClientEndpoint = websocketpp::client<websocketpp::config::asio_tls_client>;
using SslContext = asio::ssl::context;
using SslContextPtr = std::shared_ptr<SslContext>;
using Handle = websocketpp::connection_hdl;
using ErrorCode = websocketpp::lib::error_code;

constexpr long kHandshakeTimeoutMs = 2000;
constexpr Millis kSweepInterval{500};
constexpr Millis kIdleClose{60'000};
constexpr Millis kPauseLimit{3000};

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
        const auto link = m_links.usable(name, Clock::now());
        return link ? transmitOrWait(link, encode(message), token)
                    : open(name, encode(message), token);
    }

    bool reply(LinkId id, const Message &message)
    {
        const auto link = m_links.findOpen(id, Clock::now());
        if (!link) {
            return false;
        }
        if (m_policy.isCut(link->zone)) {
            m_cut.add();
            return true;
        }
        return transmit(*link, encode(message));
    }

    void connectTo(const Address &address)
    {
        internal::asio::post(
                m_io, [this, address] { dial(m_links.open({}, {}, Clock::now()), address); });
    }

    [[nodiscard]] std::size_t links() const { return m_links.size(); }

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

    LinkId transmitOrWait(const LinkPtr &link, std::string bytes, std::uint64_t token)
    {
        switch (m_links.waitUnlessOpen(link, bytes, token)) {
        case WaitResult::Waits:
            return link->id;
        case WaitResult::Full:
            m_dropped.add();
            return 0;
        case WaitResult::NotNeeded:
            break;
        }
        return transmit(*link, std::move(bytes)) ? link->id : 0;
    }

    LinkId open(const std::string &name, std::string bytes, std::uint64_t token)
    {
        const auto place = m_events.placeOf(name);
        if (place.address.port == 0) {
            m_dropped.add();
            return 0;
        }
        const auto link = m_links.open(name, place.zone, Clock::now());
        const auto id = transmitOrWait(link, std::move(bytes), token);
        internal::asio::post(m_io, [this, link, address = place.address] { dial(link, address); });
        return id;
    }

    void dial(const LinkPtr &link, const Address &address)
    {
        internal::ErrorCode ec;
        const auto connection = m_client.get_connection("wss://" + address.text() + "/", ec);
        if (ec) {
            endLink(link, false);
            return;
        }
        m_links.attach(link, connection->get_handle());
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
        auto link = m_links.find(handle);
        if (!link) {
            link = m_links.adopt(handle, Clock::now());
        }
        transmitNow(*link, encode(m_settings.self));
        m_links.openAndFlush(link, [&](const std::string &bytes) { transmitNow(*link, bytes); });
    }

    void onFrame(const internal::Handle &handle, const std::string &bytes)
    {
        const auto link = m_links.find(handle);
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
        m_links.touch(link, now);
        m_events.onPeerMessage(link->peer, link->id, std::move(message.value()));
    }

    void greet(const LinkPtr &link, const Message &message)
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
        m_links.greet(link, hello->server, hello->zone);
        m_events.onPeerUp(link->peer, link->id);
    }

    void onEnd(const internal::Handle &handle, bool refused)
    {
        if (const auto link = m_links.find(handle)) {
            endLink(link, refused);
        } else {
            m_failedLinks.add(); // a peer that never got through the TLS handshake
        }
    }

    void endLink(const LinkPtr &link, bool refused)
    {
        m_failedLinks.add(link->open ? 0 : 1);
        const auto unsent = m_links.end(link);
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

    bool transmit(const Link &link, std::string bytes)
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

    bool transmitNow(const Link &link, const std::string &bytes)
    {
        return write(link.side, link.handle, bytes);
    }

    bool write(LinkSide side, const internal::Handle &handle, const std::string &bytes)
    {
        internal::ErrorCode ec;
        if (side == LinkSide::Accepted) {
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

    void close(const Link &link, const std::string &why)
    {
        internal::ErrorCode ec;
        const auto code = websocketpp::close::status::normal;
        if (link.side == LinkSide::Accepted) {
            m_server.close(link.handle, code, why, ec);
        } else {
            m_client.close(link.handle, code, why, ec);
        }
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
        for (const auto &link : m_links.idle(internal::kIdleClose, now)) {
            close(*link, "idle");
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
        for (const auto &link : m_links.all()) {
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
        for (const auto &link : m_links.all()) {
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
    LinkTable m_links{kSwallowed};
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
