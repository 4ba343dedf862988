#include "links/peer_links.h"

#include <algorithm>
#include <map>
#include <vector>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "core/boot_clock.h"
#include "core/hash.h"
#include "http/socket_options.h"
#include "links/buffer_share.h"
#include "observe/log.h"

namespace celeryramp::links {

namespace internal {

/*! Header of the upgrade request with the address on which the opening node listens. */
constexpr const char *kNodeHeader = "Celeryramp-Node";
/*! Header of the upgrade request and its response with the incarnation of the sending process. */
constexpr const char *kIncarnationHeader = "Celeryramp-Incarnation";
constexpr std::size_t kIncarnationBytes = 8;
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

struct AddressLess
{
    bool operator()(const Address &a, const Address &b) const noexcept
    {
        return std::tie(a.host, a.port) < std::tie(b.host, b.port);
    }
};

struct Link
{
    websocketpp::connection_hdl handle;
    bool isOutgoing = false;
    bool isOpen = false;
    std::vector<std::string> pendingFrames; /*!< Frames to send once the link is open. */
    std::size_t pendingBytes = 0; /*!< Of `pendingFrames`. */
    TimePoint openingStartedAt; /*!< When opening began; for an incoming link, when it was accepted.
                                 */
    TimePoint lastReceivedAt;
    TimePoint lastPingAt;
    std::string incarnation; /*!< Of the peer's process; empty until the link is open. */
};

/*! Process at the other end of a connection. */
struct RemoteProcess
{
    Address peer;
    std::string incarnation; /*!< Empty until the link is open. */
};

void setSocketOptions(boost::asio::ip::tcp::socket &socket)
{
    http::applySocketOptions(socket);
}

} // namespace internal

struct PeerLinks::Impl
{
    using Handle = websocketpp::connection_hdl;
    using SilentMap = std::multimap<Address, internal::Link, internal::AddressLess>;
    using LinkMap = std::map<Address, internal::Link, internal::AddressLess>;
    using ProcessMap = std::map<Handle, internal::RemoteProcess, std::owner_less<Handle>>;

    Impl(boost::asio::io_context &context, Address own, LinkEvents &sink)
        : self{std::move(own)}, incarnation{randomHex(internal::kIncarnationBytes)}, events{sink}
    {
        server.clear_access_channels(websocketpp::log::alevel::all);
        server.clear_error_channels(websocketpp::log::elevel::all);
        client.clear_access_channels(websocketpp::log::alevel::all);
        client.clear_error_channels(websocketpp::log::elevel::all);
        server.init_asio(&context);
        client.init_asio(&context);
        server.set_reuse_addr(true);
        server.set_validate_handler([this](const Handle &handle) {
            websocketpp::lib::error_code ec;
            if (const auto connection = server.get_con_from_hdl(handle, ec); !ec) {
                connection->append_header(internal::kIncarnationHeader, incarnation);
            }
            return true;
        });
        server.set_open_handler([this](const Handle &handle) { onAccepted(handle); });
        setHandlers(server, incomingPeers);
        setHandlers(client, outgoingPeers);
        client.set_open_handler([this](const Handle &handle) { onOpen(handle, outgoingPeers); });
        client.set_fail_handler([this](const Handle &handle) { onClosed(handle, outgoingPeers); });
    }

    template <typename Endpoint>
    void setHandlers(Endpoint &endpoint, ProcessMap &processes)
    {
        endpoint.set_tcp_post_init_handler([&endpoint](const Handle &handle) {
            websocketpp::lib::error_code ec;
            if (const auto connection = endpoint.get_con_from_hdl(handle, ec); !ec) {
                internal::setSocketOptions(connection->get_raw_socket());
            }
        });
        endpoint.set_message_handler([this, &processes](const Handle &handle, const auto &message) {
            if (const auto it = processes.find(handle); it != processes.end()) {
                frameByteCount += message->get_payload().size();
                const Address peer = it->second.peer;
                updateLastReceived(peer, handle);
                events.onFrame(peer, message->get_payload());
            }
        });
        endpoint.set_pong_handler([this, &processes](const Handle &handle, const std::string &) {
            if (const auto it = processes.find(handle); it != processes.end()) {
                updateLastReceived(Address{it->second.peer}, handle);
            }
        });
        endpoint.set_close_handler(
                [this, &processes](const Handle &handle) { onClosed(handle, processes); });
    }

    void updateLastReceived(const Address &peer, const Handle &handle)
    {
        const auto now = bootNow();
        events.onPeerHeard(peer);
        if (const auto it = links.find(peer); it != links.end()) {
            it->second.lastReceivedAt = now;
        } else if (const auto silent = findSilent(peer, handle); silent != silentLinks.end()) {
            // The peer goes on, so its link is used again.
            auto link = std::move(silent->second);
            silentLinks.erase(silent);
            link.lastReceivedAt = now;
            links[peer] = std::move(link);
            failedAt.erase(peer);
            events.onLinkOpen(peer);
        }
    }

    SilentMap::iterator findSilent(const Address &peer, const Handle &handle)
    {
        const auto [first, last] = silentLinks.equal_range(peer);
        for (auto it = first; it != last; ++it) {
            if (it->second.handle.lock() == handle.lock()) {
                return it;
            }
        }
        return silentLinks.end();
    }

    /*! Stops reading from earlier processes of a peer. What they sent may arrive late, after a cut,
     *  and must not be taken for frames of the present one. */
    void forgetOtherProcesses(ProcessMap &processes, const Address &peer,
                              const std::string &current)
    {
        for (auto it = processes.begin(); it != processes.end();) {
            const auto &process = it->second;
            const bool isOther = process.peer == peer && !process.incarnation.empty()
                    && process.incarnation != current;
            const auto handle = it->first;
            it = isOther ? processes.erase(it) : std::next(it);
            if (isOther) {
                closeSocket(handle, &processes == &outgoingPeers);
            }
        }
    }

    /*! Ends the calls with an earlier process of a peer. */
    void dropOtherIncarnations(const Address &peer, const std::string &current)
    {
        forgetOtherProcesses(incomingPeers, peer, current);
        forgetOtherProcesses(outgoingPeers, peer, current);
        bool isAnyDropped = false;
        const auto [first, last] = silentLinks.equal_range(peer);
        for (auto it = first; it != last;) {
            const bool isOther = it->second.incarnation != current;
            isAnyDropped = isAnyDropped || isOther;
            it = isOther ? silentLinks.erase(it) : std::next(it);
        }
        if (isAnyDropped) {
            events.onLinkLost(peer, LinkLoss::PeerGone);
        }
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
        const auto peerIncarnation = connection->get_request_header(internal::kIncarnationHeader);
        incomingPeers[handle] = {*peer, peerIncarnation};
        dropOtherIncarnations(*peer, peerIncarnation);
        auto &link = links[*peer];
        // If both nodes open a link at the same time, frames are read from both links.
        const bool isSameProcess = link.isOpen && link.incarnation == peerIncarnation;
        const bool isSimultaneousOpen = isSameProcess && link.isOutgoing
                && millisBetween(link.openingStartedAt, bootNow()) < kOpenTimeout;
        if (isSimultaneousOpen) {
            return;
        }
        auto pendingFrames = std::exchange(link.pendingFrames, {});
        if (isSameProcess) {
            // The peer finds the old link silent. What it sent on it may still arrive.
            silentLinks.emplace(*peer, link);
            events.onLinkReplaced(*peer);
        } else if (link.isOpen) {
            events.onLinkLost(*peer, LinkLoss::PeerGone);
        }
        const auto now = bootNow();
        links[*peer] = {handle, false, true, {}, 0, now, now, {}, peerIncarnation};
        for (const auto &frame : pendingFrames) {
            writeFrame(links[*peer], frame);
        }
        failedAt.erase(*peer);
        events.onLinkOpen(*peer);
    }

    void onOpen(const Handle &handle, ProcessMap &processes)
    {
        const auto it = processes.find(handle);
        if (it == processes.end()) {
            return;
        }
        const Address peer = it->second.peer;
        failedAt.erase(peer);
        websocketpp::lib::error_code ec;
        const auto connection = client.get_con_from_hdl(handle, ec);
        const auto peerIncarnation
                = ec ? "" : connection->get_response_header(internal::kIncarnationHeader);
        it->second.incarnation = peerIncarnation;
        dropOtherIncarnations(peer, peerIncarnation);
        auto &link = links[peer];
        if (link.handle.lock() != handle.lock()) {
            return;
        }
        link.isOpen = true;
        link.incarnation = peerIncarnation;
        link.lastReceivedAt = bootNow();
        const auto pendingFrames = std::move(link.pendingFrames);
        link.pendingFrames.clear();
        link.pendingBytes = 0;
        for (const auto &frame : pendingFrames) {
            writeFrame(link, frame);
        }
        events.onLinkOpen(peer);
    }

    void onClosed(const Handle &handle, ProcessMap &processes)
    {
        const auto it = processes.find(handle);
        if (it == processes.end()) {
            return;
        }
        const Address peer = it->second.peer;
        processes.erase(it);
        removeLink(peer, handle);
    }

    void removeLink(const Address &peer, const Handle &handle)
    {
        if (const auto silent = findSilent(peer, handle); silent != silentLinks.end()) {
            silentLinks.erase(silent);
            if (links.count(peer) == 0 && silentLinks.count(peer) == 0) {
                events.onLinkLost(peer, LinkLoss::PeerGone);
            }
            return;
        }
        const auto it = links.find(peer);
        if (it == links.end() || it->second.handle.lock() != handle.lock()) {
            return;
        }
        const bool wasOpen = it->second.isOpen;
        links.erase(it);
        if (!wasOpen) {
            failedAt[peer] = bootNow();
        }
        const bool isLast = silentLinks.count(peer) == 0;
        events.onLinkLost(peer,
                          !wasOpen         ? LinkLoss::NotOpened
                                  : isLast ? LinkLoss::PeerGone
                                           : LinkLoss::Closed);
    }

    /*! Stops using a link on which the peer is silent, but keeps reading from it. */
    void detach(const Address &peer, TimePoint now)
    {
        const auto it = links.find(peer);
        auto link = std::move(it->second);
        links.erase(it);
        silentLinks.emplace(peer, std::move(link));
        failedAt[peer] = now;
        events.onLinkSilent(peer);
    }

    void closeSocket(const Handle &handle, bool isOutgoing)
    {
        websocketpp::lib::error_code ec;
        boost::system::error_code ignored;
        if (isOutgoing) {
            if (const auto connection = client.get_con_from_hdl(handle, ec); !ec) {
                connection->get_raw_socket().close(ignored);
            }
        } else if (const auto connection = server.get_con_from_hdl(handle, ec); !ec) {
            connection->get_raw_socket().close(ignored);
        }
    }

    void closeSocket(const internal::Link &link)
    {
        (link.isOutgoing ? outgoingPeers : incomingPeers).erase(link.handle);
        closeSocket(link.handle, link.isOutgoing);
    }

    /*! Closes the socket of a link without a closing handshake. */
    void closeAbruptly(const Address &peer)
    {
        const auto it = links.find(peer);
        if (it == links.end()) {
            return;
        }
        const auto handle = it->second.handle;
        closeSocket(it->second);
        failedAt[peer] = bootNow();
        removeLink(peer, handle);
    }

    void closeSilent(TimePoint now)
    {
        std::vector<std::pair<Address, Handle>> expired;
        for (const auto &[peer, link] : silentLinks) {
            if (millisBetween(link.lastReceivedAt, now) > kSilenceBeforeClose) {
                closeSocket(link);
                expired.emplace_back(peer, link.handle);
            }
        }
        for (const auto &[peer, handle] : expired) {
            removeLink(peer, handle);
        }
    }

    bool open(const Address &peer, TimePoint now)
    {
        websocketpp::lib::error_code ec;
        const auto connection = client.get_connection("ws://" + peer.text() + internal::kPath, ec);
        if (ec) {
            logEvent(LogLevel::Warn, "links", "open-failed",
                     {{"peer", peer.text()}, {"reason", ec.message()}});
            return false;
        }
        connection->append_header(internal::kNodeHeader, self.text());
        connection->append_header(internal::kIncarnationHeader, incarnation);
        connection->set_open_handshake_timeout(static_cast<long>(kOpenTimeout.count()));
        outgoingPeers[connection->get_handle()] = {peer, {}};
        links[peer] = {connection->get_handle(), true, false, {}, 0, now, now, {}, {}};
        client.connect(connection);
        return true;
    }

    void writeFrame(const internal::Link &link, const std::string &frame)
    {
        websocketpp::lib::error_code ec;
        frameByteCount += frame.size();
        if (link.isOutgoing) {
            client.send(link.handle, frame, websocketpp::frame::opcode::binary, ec);
        } else {
            server.send(link.handle, frame, websocketpp::frame::opcode::binary, ec);
        }
        if (ec) {
            logEvent(LogLevel::Warn, "links", "send-failed", {{"reason", ec.message()}});
        }
    }

    [[nodiscard]] std::size_t bufferedBytes(const internal::Link &link)
    {
        websocketpp::lib::error_code ec;
        if (link.isOutgoing) {
            const auto connection = client.get_con_from_hdl(link.handle, ec);
            return ec ? 0 : connection->get_buffered_amount();
        }
        const auto connection = server.get_con_from_hdl(link.handle, ec);
        return ec ? 0 : connection->get_buffered_amount();
    }

    [[nodiscard]] std::size_t heldBytes(const internal::Link &link)
    {
        return link.pendingBytes + (link.isOpen ? bufferedBytes(link) : 0);
    }

    [[nodiscard]] std::size_t heldBytes()
    {
        std::size_t sum = 0;
        for (const auto &[peer, link] : links) {
            sum += heldBytes(link);
        }
        for (const auto &[peer, link] : silentLinks) {
            sum += heldBytes(link);
        }
        return sum;
    }

    /*! Counts a frame if there is room for it. */
    [[nodiscard]] bool takeRoom(const internal::Link &link, std::size_t frameBytes)
    {
        const auto held = heldBytes(link);
        if (!hasRoomForFrame(held, heldAtMost, maxTotal)) {
            heldAtMost = heldBytes();
        }
        if (!hasRoomForFrame(held, heldAtMost, maxTotal)) {
            return false;
        }
        heldAtMost += frameBytes;
        return true;
    }

    void ping(internal::Link &link, TimePoint now)
    {
        websocketpp::lib::error_code ec;
        link.lastPingAt = now;
        if (link.isOutgoing) {
            client.ping(link.handle, "", ec);
        } else {
            server.ping(link.handle, "", ec);
        }
    }

    Address self;
    std::string incarnation; /*!< Differs for each process of a node. */
    LinkEvents &events;
    internal::Server server;
    internal::Client client;
    LinkMap links;
    SilentMap silentLinks;
    std::map<Address, TimePoint, internal::AddressLess> failedAt;
    ProcessMap incomingPeers;
    ProcessMap outgoingPeers;
    std::uint64_t frameByteCount = 0;
    std::size_t maxTotal = kDefaultMaxTotalBytes;
    std::size_t heldAtMost = 0; /*!< Upper bound of `heldBytes`, which is costly to sum up. */
};

PeerLinks::PeerLinks(boost::asio::io_context &context, Address self, LinkEvents &events)
    : m_impl{std::make_unique<Impl>(context, std::move(self), events)}
{ }

PeerLinks::~PeerLinks() = default;

Result<void, LinkError> PeerLinks::listen(const Address &address)
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

bool PeerLinks::send(const Address &peer, std::string frame, TimePoint now)
{
    auto it = m_impl->links.find(peer);
    if (it == m_impl->links.end()) {
        if (!isReachable(peer, now) || !m_impl->open(peer, now)) {
            return false;
        }
        it = m_impl->links.find(peer);
        if (it == m_impl->links.end()) {
            return false;
        }
    }
    auto &link = it->second;
    if (!m_impl->takeRoom(link, frame.size())) {
        return false;
    }
    if (!link.isOpen) {
        link.pendingBytes += frame.size();
        link.pendingFrames.push_back(std::move(frame));
        return true;
    }
    m_impl->writeFrame(link, frame);
    return true;
}

bool PeerLinks::sendFollowUp(const Address &peer, std::string frame, TimePoint now)
{
    const auto silent = m_impl->silentLinks.find(peer);
    if (silent == m_impl->silentLinks.end() || isOpen(peer)) {
        return send(peer, std::move(frame), now);
    }
    if (!m_impl->takeRoom(silent->second, frame.size())) {
        return false;
    }
    m_impl->writeFrame(silent->second, frame);
    return true;
}

std::size_t PeerLinks::unsentBytes() const
{
    std::size_t sum = 0;
    for (const auto &[peer, link] : m_impl->links) {
        sum += link.isOpen ? m_impl->bufferedBytes(link) : 0;
    }
    return sum;
}

std::size_t PeerLinks::heldBytes() const
{
    return m_impl->heldBytes();
}

void PeerLinks::setTotalLimit(std::size_t bytes) noexcept
{
    m_impl->maxTotal = bytes;
}

void PeerLinks::probe(const Address &peer, TimePoint now)
{
    if (const auto it = m_impl->links.find(peer); it == m_impl->links.end()) {
        if (isReachable(peer, now)) {
            static_cast<void>(m_impl->open(peer, now));
        }
    } else if (it->second.isOpen && it->second.lastPingAt <= it->second.lastReceivedAt) {
        m_impl->ping(it->second, now);
    }
}

bool PeerLinks::isOpen(const Address &peer) const
{
    const auto it = m_impl->links.find(peer);
    return it != m_impl->links.end() && it->second.isOpen;
}

std::vector<Address> PeerLinks::openPeers() const
{
    std::vector<Address> peers;
    for (const auto &[peer, link] : m_impl->links) {
        if (link.isOpen) {
            peers.push_back(peer);
        }
    }
    return peers;
}

bool PeerLinks::isReachable(const Address &peer, TimePoint now) const
{
    if (const auto it = m_impl->links.find(peer); it != m_impl->links.end()) {
        const auto &link = it->second;
        // An overdue ping makes the peer unreachable before its link is closed.
        return !link.isOpen || link.lastPingAt <= link.lastReceivedAt
                || millisBetween(link.lastPingAt, now) < kSilenceBeforePing;
    }
    const auto it = m_impl->failedAt.find(peer);
    return it == m_impl->failedAt.end() || millisBetween(it->second, now) > kReopenPause;
}

bool PeerLinks::hasFailed(const Address &peer) const
{
    return m_impl->failedAt.count(peer) > 0;
}

void PeerLinks::sweep(TimePoint now)
{
    std::vector<Address> unopened;
    std::vector<Address> silent;
    for (auto &[peer, link] : m_impl->links) {
        if (!link.isOpen) {
            if (millisBetween(link.openingStartedAt, now) > kOpenTimeout) {
                unopened.push_back(peer);
            }
            continue;
        }
        const bool isPinged = link.lastPingAt > link.lastReceivedAt;
        if (!isPinged && !m_impl->events.isAwaiting(peer)) {
            continue;
        }
        const auto silence = millisBetween(isPinged ? link.lastPingAt : link.lastReceivedAt, now);
        if (!isPinged && silence > kSilenceBeforePing) {
            m_impl->ping(link, now);
        } else if (isPinged && silence > kSilenceBeforeDetach - kSilenceBeforePing) {
            silent.push_back(peer);
        }
    }
    for (const auto &peer : unopened) {
        m_impl->closeAbruptly(peer);
    }
    for (const auto &peer : silent) {
        logEvent(LogLevel::Info, "links", "peer-silent", {{"peer", peer.text()}});
        m_impl->detach(peer, now);
    }
    m_impl->closeSilent(now);
    m_impl->heldAtMost = m_impl->heldBytes();
}

std::uint64_t PeerLinks::frameBytes() const noexcept
{
    return m_impl->frameByteCount;
}

void PeerLinks::close()
{
    websocketpp::lib::error_code ignored;
    m_impl->server.stop_listening(ignored);
    std::vector<Address> peers;
    for (const auto &[peer, link] : m_impl->links) {
        peers.push_back(peer);
    }
    for (const auto &peer : peers) {
        m_impl->closeAbruptly(peer);
    }
}

} // namespace celeryramp::links
