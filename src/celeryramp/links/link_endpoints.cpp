#include "links/link_endpoints.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "http/socket_options.h"
#include "links/peer_links.h"
#include "observe/log.h"

namespace celeryramp::links {

namespace internal {

/*! Header of the upgrade request with the address on which the opening node listens. */
constexpr const char *kNodeHeader = "Celeryramp-Node";
/*! Header of the upgrade request and its response with the incarnation of the sending process. */
constexpr const char *kIncarnationHeader = "Celeryramp-Incarnation";
constexpr const char *kPath = "/links";
/*! Maximum frame size; the longest frame is a whole published state. */
constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;
/*! Read buffer of websocketpp per link; a response of a few KB fits in one read. */
constexpr std::size_t kReadBufferBytes = 8192;

struct ServerConfig : websocketpp::config::asio
{
    // NOLINTNEXTLINE(readability-identifier-naming): name given by websocketpp
    static const std::size_t connection_read_buffer_size = kReadBufferBytes;
    // NOLINTNEXTLINE(readability-identifier-naming): name given by websocketpp
    static const std::size_t max_message_size = kMaxFrameBytes;
};

struct ClientConfig : websocketpp::config::asio_client
{
    // NOLINTNEXTLINE(readability-identifier-naming): name given by websocketpp
    static const std::size_t connection_read_buffer_size = kReadBufferBytes;
    // NOLINTNEXTLINE(readability-identifier-naming): name given by websocketpp
    static const std::size_t max_message_size = kMaxFrameBytes;
};

using Server = websocketpp::server<ServerConfig>;
using Client = websocketpp::client<ClientConfig>;

} // namespace internal

struct LinkEndpoints::Impl
{
    using Handle = websocketpp::connection_hdl;

    Impl(boost::asio::io_context &context, const Address &self, std::string own,
         ConnectionEvents &sink)
        : selfText{self.text()}, incarnation{std::move(own)}, events{sink}
    {
        server.set_reuse_addr(true);
        server.set_validate_handler([this](const Handle &handle) {
            websocketpp::lib::error_code ec;
            if (const auto connection = server.get_con_from_hdl(handle, ec); !ec) {
                connection->append_header(internal::kIncarnationHeader, incarnation);
            }
            return true;
        });
        server.set_open_handler([this](const Handle &handle) { onAccepted(handle); });
        client.set_open_handler([this](const Handle &handle) { onOpened(handle); });
        client.set_fail_handler([this](const Handle &handle) { events.onClosed({handle, true}); });
        init(server, context, false);
        init(client, context, true);
    }

    template <typename Endpoint>
    void init(Endpoint &endpoint, boost::asio::io_context &context, bool isOutgoing)
    {
        endpoint.clear_access_channels(websocketpp::log::alevel::all);
        endpoint.clear_error_channels(websocketpp::log::elevel::all);
        endpoint.init_asio(&context);
        endpoint.set_tcp_post_init_handler([&endpoint](const Handle &handle) {
            websocketpp::lib::error_code ec;
            if (const auto connection = endpoint.get_con_from_hdl(handle, ec); !ec) {
                http::applySocketOptions(connection->get_raw_socket());
            }
        });
        endpoint.set_message_handler([this, isOutgoing](const Handle &handle, const auto &message) {
            events.onMessage({handle, isOutgoing}, message->get_payload());
        });
        endpoint.set_pong_handler(
                [this, isOutgoing](const Handle &handle, const std::string &payload) {
                    events.onPong({handle, isOutgoing}, payload);
                });
        endpoint.set_close_handler([this, isOutgoing](const Handle &handle) {
            events.onClosed({handle, isOutgoing});
        });
    }

    void onAccepted(const Handle &handle)
    {
        websocketpp::lib::error_code ec;
        const auto connection = server.get_con_from_hdl(handle, ec);
        const auto peer = ec ? std::nullopt
                             : parseAddress(connection->get_request_header(internal::kNodeHeader));
        if (!peer) {
            logEvent(LogLevel::Warn, "links", "peer-refused",
                     {{"reason", "no valid node address in the upgrade request"}});
            server.close(handle, websocketpp::close::status::policy_violation, "", ec);
            return;
        }
        events.onAccepted({handle, false}, *peer,
                          connection->get_request_header(internal::kIncarnationHeader));
    }

    void onOpened(const Handle &handle)
    {
        websocketpp::lib::error_code ec;
        const auto connection = client.get_con_from_hdl(handle, ec);
        events.onOpened({handle, true},
                        ec ? "" : connection->get_response_header(internal::kIncarnationHeader));
    }

    /*! Calls a function with the connection, unless it has ended. */
    template <typename Function>
    void with(const Connection &link, Function function)
    {
        websocketpp::lib::error_code ec;
        if (link.isOutgoing) {
            if (const auto connection = client.get_con_from_hdl(link.handle, ec); !ec) {
                function(*connection);
            }
        } else if (const auto connection = server.get_con_from_hdl(link.handle, ec); !ec) {
            function(*connection);
        }
    }

    std::string selfText;
    std::string incarnation;
    ConnectionEvents &events;
    internal::Server server;
    internal::Client client;
};

LinkEndpoints::LinkEndpoints(boost::asio::io_context &context, const Address &self,
                             const std::string &incarnation, ConnectionEvents &events)
    : m_impl{std::make_unique<Impl>(context, self, incarnation, events)}
{ }

LinkEndpoints::~LinkEndpoints() = default;

Result<void, LinkError> LinkEndpoints::listen(const Address &address)
{
    websocketpp::lib::error_code ec;
    boost::system::error_code addressError;
    const auto host = boost::asio::ip::make_address(address.host, addressError);
    if (addressError) {
        return LinkError{address.text(), addressError.message()};
    }
    m_impl->server.listen(boost::asio::ip::tcp::endpoint{host, address.port}, ec);
    if (!ec) {
        m_impl->server.start_accept(ec);
    }
    if (ec) {
        return LinkError{address.text(), ec.message()};
    }
    return boost::outcome_v2::success();
}

void LinkEndpoints::stopListening()
{
    websocketpp::lib::error_code ignored;
    m_impl->server.stop_listening(ignored);
}

std::optional<Connection> LinkEndpoints::open(const Address &peer)
{
    websocketpp::lib::error_code ec;
    auto &client = m_impl->client;
    const auto connection = client.get_connection("ws://" + peer.text() + internal::kPath, ec);
    if (ec) {
        logEvent(LogLevel::Warn, "links", "open-failed",
                 {{"peer", peer.text()}, {"reason", ec.message()}});
        return std::nullopt;
    }
    connection->append_header(internal::kNodeHeader, m_impl->selfText);
    connection->append_header(internal::kIncarnationHeader, m_impl->incarnation);
    connection->set_open_handshake_timeout(static_cast<long>(kOpenTimeout.count()));
    client.connect(connection);
    return Connection{connection->get_handle(), true};
}

void LinkEndpoints::write(const Connection &connection, const std::string &frame)
{
    websocketpp::lib::error_code ec;
    if (connection.isOutgoing) {
        m_impl->client.send(connection.handle, frame, websocketpp::frame::opcode::binary, ec);
    } else {
        m_impl->server.send(connection.handle, frame, websocketpp::frame::opcode::binary, ec);
    }
    if (ec) {
        logEvent(LogLevel::Warn, "links", "send-failed", {{"reason", ec.message()}});
    }
}

void LinkEndpoints::ping(const Connection &connection, const std::string &payload)
{
    m_impl->with(connection, [&payload](auto &it) {
        websocketpp::lib::error_code ignored;
        it.ping(payload, ignored);
    });
}

std::size_t LinkEndpoints::bufferedBytes(const Connection &connection)
{
    std::size_t bytes = 0;
    m_impl->with(connection, [&bytes](const auto &it) { bytes = it.get_buffered_amount(); });
    return bytes;
}

void LinkEndpoints::closeSocket(const Connection &connection)
{
    m_impl->with(connection, [](auto &it) {
        boost::system::error_code ignored;
        it.get_raw_socket().close(ignored);
    });
}

} // namespace celeryramp::links
