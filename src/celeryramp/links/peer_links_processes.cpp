/*! @file
 *  Which process is at the other end of each connection, and what is done when it has a successor.
 */

#include <algorithm>
#include <charconv>

#include "links/peer_links_impl.h"
#include "observe/log.h"

namespace celeryramp::links {

namespace internal {

/*! @return The incarnation that a peer names. Nodes of early releases name none, so that their
 * processes cannot be told apart. */
[[nodiscard]] std::string nameOrDefault(const std::string &incarnation)
{
    return incarnation.empty() ? "unnamed" : incarnation;
}

/*! @return The position that the payload of a ping names; 0 if it names none. */
[[nodiscard]] ProcessOrder::Step stepOf(std::string_view payload)
{
    ProcessOrder::Step step = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), step);
    return step;
}

} // namespace internal

void PeerLinks::Impl::onMessage(const Connection &connection, std::string_view payload)
{
    if (const auto it = ends.find(connection); it != ends.end()) {
        frameByteCount += payload.size();
        const auto peer = it->second.process;
        updateLastReceived(peer, connection);
        events.onFrame(peer, payload);
    }
}

void PeerLinks::Impl::onPong(const Connection &connection, const std::string &payload)
{
    if (const auto it = ends.find(connection); it != ends.end()) {
        const auto peer = it->second.process;
        updateLastReceived(peer, connection);
        noteAnswer(peer, internal::stepOf(payload));
    }
}

void PeerLinks::Impl::updateLastReceived(const PeerProcess &peer, const Connection &connection)
{
    const auto now = bootNow();
    events.onPeerHeard(peer.node);
    if (const auto it = links.find(peer.node); it != links.end()) {
        if (!it->second.isOpen || it->second.incarnation == peer.incarnation) {
            it->second.lastReceivedAt = now;
        }
    } else if (const auto silent = findSilent(peer.node, connection); silent != silentLinks.end()) {
        // The peer goes on, so its link is used again.
        silent->second.lastReceivedAt = now;
        useAgain(peer, silent);
    }
}

void PeerLinks::Impl::useAgain(const PeerProcess &peer, SilentMap::iterator silent)
{
    auto link = std::move(silent->second);
    silentLinks.erase(silent);
    links[peer.node] = std::move(link);
    failedAt.erase(peer.node);
    events.onLinkOpen(peer);
}

PeerLinks::Impl::SilentMap::iterator PeerLinks::Impl::findSilent(const Address &peer,
                                                                 const Connection &connection)
{
    const auto [first, last] = silentLinks.equal_range(peer);
    for (auto it = first; it != last; ++it) {
        if (it->second.connection == connection) {
            return it;
        }
    }
    return silentLinks.end();
}

PeerLinks::Impl::SilentMap::iterator PeerLinks::Impl::findSilent(const PeerProcess &peer)
{
    const auto [first, last] = silentLinks.equal_range(peer.node);
    const auto it = std::find_if(first, last, [&peer](const auto &entry) {
        return entry.second.incarnation == peer.incarnation;
    });
    return it == last ? silentLinks.end() : it;
}

bool PeerLinks::Impl::hasLink(const PeerProcess &peer) const
{
    if (const auto it = links.find(peer.node);
        it != links.end() && it->second.isOpen && it->second.incarnation == peer.incarnation) {
        return true;
    }
    const auto [first, last] = silentLinks.equal_range(peer.node);
    return std::any_of(first, last, [&peer](const auto &entry) {
        return entry.second.incarnation == peer.incarnation;
    });
}

void PeerLinks::Impl::noteAnswer(const PeerProcess &peer, ProcessOrder::Step asked)
{
    for (const auto &former : orders[peer.node].onAnswered(peer.incarnation, asked)) {
        drop({peer.node, former}, peer);
    }
    const auto &order = orders[peer.node];
    const auto inUse = links.find(peer.node);
    const auto silent = findSilent(peer);
    if (silent != silentLinks.end() && inUse != links.end() && inUse->second.isOpen
        && order.isFormer(inUse->second.incarnation) && !order.isFormer(peer.incarnation)) {
        // The link in use was opened by a process that had ended by then.
        silentLinks.emplace(peer.node, std::move(inUse->second));
        useAgain(peer, silent);
    }
}

void PeerLinks::Impl::drop(const PeerProcess &former, const PeerProcess &successor)
{
    int connections = 0;
    for (auto it = ends.begin(); it != ends.end();) {
        const bool isFormer = it->second.process == former;
        const auto connection = it->first;
        it = isFormer ? ends.erase(it) : std::next(it);
        if (isFormer) {
            ++connections;
            endpoints.closeSocket(connection);
        }
    }
    if (connections == 0) {
        return;
    }
    logEvent(LogLevel::Info, "links", "peer-succeeded",
             {{"peer", former.node.text()},
              {"process", former.incarnation},
              {"successor", successor.incarnation},
              {"connections", std::to_string(connections)}});
    const auto [first, last] = silentLinks.equal_range(former.node);
    for (auto it = first; it != last;) {
        it = it->second.incarnation == former.incarnation ? silentLinks.erase(it) : std::next(it);
    }
    const auto inUse = links.find(former.node);
    const bool wasInUse = inUse != links.end() && inUse->second.isOpen
            && inUse->second.incarnation == former.incarnation;
    if (wasInUse) {
        links.erase(inUse);
        if (const auto it = findSilent(successor); it != silentLinks.end()) {
            useAgain(successor, it);
        }
    }
    events.onLinkLost(former, LinkLoss::PeerGone);
}

void PeerLinks::Impl::askProcesses(const Address &peer)
{
    auto &order = orders[peer];
    if (!order.isAmbiguous()) {
        return;
    }
    const auto payload = std::to_string(order.onAsked());
    for (const auto &[connection, end] : ends) {
        if (end.process.node == peer && end.process.isKnown()) {
            endpoints.ping(connection, payload);
        }
    }
}

void PeerLinks::Impl::writePending(const PeerProcess &peer, const std::vector<std::string> &frames)
{
    for (const auto &frame : frames) {
        writeFrame(links[peer.node], frame);
    }
    events.onLinkOpen(peer);
}

void PeerLinks::Impl::onAccepted(const Connection &connection, const Address &node,
                                 const std::string &name)
{
    const PeerProcess peer{node, internal::nameOrDefault(name)};
    ends[connection] = {peer, 0};
    logOpen(peer, "peer");
    orders[node].onHeard(peer.incarnation);
    const auto now = bootNow();
    if (orders[node].isFormer(peer.incarnation)) {
        silentLinks.emplace(node, openLink(peer, connection, now));
        return;
    }
    auto &link = links[node];
    // If both nodes open a link at the same time, frames are read from both links.
    const bool isSameProcess = link.isOpen && link.incarnation == peer.incarnation;
    const bool isSimultaneousOpen = isSameProcess && link.connection.isOutgoing
            && millisBetween(link.openingStartedAt, bootNow()) < kOpenTimeout;
    if (isSimultaneousOpen) {
        return;
    }
    const auto pendingFrames = std::exchange(link.pendingFrames, {});
    if (link.isOpen) {
        // The peer finds the old link silent, or this is its successor. What was sent on the
        // old link may still arrive.
        silentLinks.emplace(node, link);
    }
    if (isSameProcess) {
        events.onLinkReplaced(peer);
    }
    links[node] = openLink(peer, connection, now);
    failedAt.erase(node);
    writePending(peer, pendingFrames);
    askProcesses(node);
}

void PeerLinks::Impl::logOpen(const PeerProcess &peer, const char *openedBy)
{
    logEvent(LogLevel::Info, "links", "link-open",
             {{"peer", peer.node.text()}, {"process", peer.incarnation}, {"opened_by", openedBy}});
}

internal::Link PeerLinks::Impl::openLink(const PeerProcess &peer, const Connection &connection,
                                         TimePoint now)
{
    return {connection, true, {}, 0, now, now, {}, peer.incarnation};
}

void PeerLinks::Impl::onOpened(const Connection &connection, const std::string &name)
{
    const auto it = ends.find(connection);
    if (it == ends.end()) {
        return;
    }
    auto &end = it->second;
    const auto node = end.process.node;
    const PeerProcess peer{node, internal::nameOrDefault(name)};
    end.process = peer;
    logOpen(peer, "self");
    failedAt.erase(node);
    orders[node].onHeard(peer.incarnation);
    noteAnswer(peer, end.askedAt);
    const auto now = bootNow();
    const auto inUse = links.find(node);
    if (inUse != links.end() && !(inUse->second.connection == connection)) {
        // A link that the peer has opened is in use.
        if (inUse->second.isOpen && inUse->second.incarnation != peer.incarnation) {
            silentLinks.emplace(node, openLink(peer, connection, now));
        }
    } else if (orders[node].isFormer(peer.incarnation)) {
        logEvent(LogLevel::Info, "links", "former-refused",
                 {{"peer", node.text()}, {"process", peer.incarnation}});
        ends.erase(connection);
        endpoints.closeSocket(connection);
        removeLink({node, {}}, connection);
        return;
    } else {
        auto &link = links[node];
        link.connection = connection;
        link.isOpen = true;
        link.incarnation = peer.incarnation;
        link.lastReceivedAt = now;
        link.pendingBytes = 0;
        writePending(peer, std::exchange(link.pendingFrames, {}));
    }
    askProcesses(node);
}

void PeerLinks::Impl::onClosed(const Connection &connection)
{
    const auto it = ends.find(connection);
    if (it == ends.end()) {
        return;
    }
    const auto peer = it->second.process;
    ends.erase(it);
    removeLink(peer, connection);
}

void PeerLinks::Impl::removeLink(const PeerProcess &peer, const Connection &connection)
{
    if (const auto silent = findSilent(peer.node, connection); silent != silentLinks.end()) {
        silentLinks.erase(silent);
        if (!hasLink(peer)) {
            events.onLinkLost(peer, LinkLoss::PeerGone);
        }
        return;
    }
    const auto it = links.find(peer.node);
    if (it == links.end() || !(it->second.connection == connection)) {
        return;
    }
    const bool wasOpen = it->second.isOpen;
    links.erase(it);
    if (!wasOpen) {
        failedAt[peer.node] = bootNow();
        events.onLinkLost({peer.node, {}}, LinkLoss::NotOpened);
        return;
    }
    events.onLinkLost(peer, hasLink(peer) ? LinkLoss::Closed : LinkLoss::PeerGone);
}

} // namespace celeryramp::links
