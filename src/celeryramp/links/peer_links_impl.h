#pragma once

#include <map>
#include <tuple>
#include <vector>

#include "core/boot_clock.h"
#include "core/hash.h"
#include "links/buffer_share.h"
#include "links/link_endpoints.h"
#include "links/peer_links.h"
#include "links/process_order.h"

namespace celeryramp::links {

namespace internal {

constexpr std::size_t kIncarnationBytes = 8;

struct AddressLess
{
    bool operator()(const Address &a, const Address &b) const noexcept
    {
        return std::tie(a.host, a.port) < std::tie(b.host, b.port);
    }
};

struct Link
{
    Connection connection;
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
struct RemoteEnd
{
    PeerProcess process; /*!< Not known until the connection is open. */
    ProcessOrder::Step askedAt = 0; /*!< When opening began; 0 for an incoming connection. */
};

} // namespace internal

struct PeerLinks::Impl final : private ConnectionEvents
{
    using SilentMap = std::multimap<Address, internal::Link, internal::AddressLess>;
    using LinkMap = std::map<Address, internal::Link, internal::AddressLess>;
    using EndMap = std::map<Connection, internal::RemoteEnd>;
    using OrderMap = std::map<Address, ProcessOrder, internal::AddressLess>;

    Impl(boost::asio::io_context &context, const Address &self, LinkEvents &sink)
        : events{sink}, incarnation{randomHex(internal::kIncarnationBytes)}, endpoints{context,
                                                                                       self,
                                                                                       incarnation,
                                                                                       *this}
    { }

    void onMessage(const Connection &connection, std::string_view payload) override;
    void onPong(const Connection &connection, const std::string &payload) override;
    void updateLastReceived(const PeerProcess &peer, const Connection &connection);
    /*! Uses a link again that is only read. */
    void useAgain(const PeerProcess &peer, SilentMap::iterator silent);
    SilentMap::iterator findSilent(const Address &peer, const Connection &connection);
    SilentMap::iterator findSilent(const PeerProcess &peer);
    [[nodiscard]] bool hasLink(const PeerProcess &peer) const;
    /*! Records that a process has answered what was sent at a position. Closes the links of those
     *  that it has succeeded, and uses its own one. */
    void noteAnswer(const PeerProcess &peer, ProcessOrder::Step asked);
    /*! Closes all connections of a process that has ended. */
    void drop(const PeerProcess &former, const PeerProcess &successor);
    /*! While more than one process may be the present one of a peer, asks all of them. */
    void askProcesses(const Address &peer);
    /*! Sends the frames that have waited for a link. From now on they are the process's. */
    void writePending(const PeerProcess &peer, const std::vector<std::string> &frames);
    void onAccepted(const Connection &connection, const Address &node,
                    const std::string &name) override;
    static void logOpen(const PeerProcess &peer, const char *openedBy);
    [[nodiscard]] static internal::Link openLink(const PeerProcess &peer,
                                                 const Connection &connection, TimePoint now);
    void onOpened(const Connection &connection, const std::string &name) override;
    void onClosed(const Connection &connection) override;
    void removeLink(const PeerProcess &peer, const Connection &connection);

    /*! Stops using a link on which the peer is silent, but keeps reading from it. */
    void detach(const Address &peer, TimePoint now)
    {
        const auto it = links.find(peer);
        auto link = std::move(it->second);
        const PeerProcess process{peer, link.incarnation};
        links.erase(it);
        silentLinks.emplace(peer, std::move(link));
        failedAt[peer] = now;
        events.onLinkSilent(process);
    }

    void closeSocket(const internal::Link &link)
    {
        ends.erase(link.connection);
        endpoints.closeSocket(link.connection);
    }

    /*! Closes the socket of a link without a closing handshake. */
    void closeAbruptly(const Address &peer)
    {
        const auto it = links.find(peer);
        if (it == links.end()) {
            return;
        }
        const auto connection = it->second.connection;
        const PeerProcess process{peer, it->second.incarnation};
        closeSocket(it->second);
        failedAt[peer] = bootNow();
        removeLink(process, connection);
    }

    void closeSilent(TimePoint now)
    {
        std::vector<std::pair<PeerProcess, Connection>> expired;
        for (const auto &[peer, link] : silentLinks) {
            if (millisBetween(link.lastReceivedAt, now) > kSilenceBeforeClose) {
                closeSocket(link);
                expired.emplace_back(PeerProcess{peer, link.incarnation}, link.connection);
            }
        }
        for (const auto &[peer, connection] : expired) {
            removeLink(peer, connection);
        }
    }

    bool open(const Address &peer, TimePoint now)
    {
        const auto connection = endpoints.open(peer);
        if (!connection) {
            return false;
        }
        ends[*connection] = {{peer, {}}, orders[peer].onAsked()};
        links[peer] = {*connection, false, {}, 0, now, now, {}, {}};
        return true;
    }

    void writeFrame(const internal::Link &link, const std::string &frame)
    {
        frameByteCount += frame.size();
        endpoints.write(link.connection, frame);
    }

    [[nodiscard]] std::size_t heldBytes(const internal::Link &link)
    {
        return link.pendingBytes + (link.isOpen ? endpoints.bufferedBytes(link.connection) : 0);
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

    void ping(const Address &peer, internal::Link &link, TimePoint now)
    {
        link.lastPingAt = now;
        endpoints.ping(link.connection, std::to_string(orders[peer].onAsked()));
    }

    LinkEvents &events;
    std::string incarnation; /*!< Of this process. */
    LinkMap links; /*!< In use, or being opened. */
    SilentMap silentLinks; /*!< Only read. */
    std::map<Address, TimePoint, internal::AddressLess> failedAt;
    EndMap ends; /*!< Of all connections that are read. */
    OrderMap orders;
    std::uint64_t frameByteCount = 0;
    std::size_t maxTotal = kDefaultMaxTotalBytes;
    std::size_t heldAtMost = 0; /*!< Upper bound of `heldBytes`, which is costly to sum up. */
    LinkEndpoints endpoints; /*!< Last, so that its handlers end first. */
};

} // namespace celeryramp::links
