#include "links/peer_links.h"

#include <algorithm>
#include <utility>

#include "links/peer_links_impl.h"
#include "observe/log.h"

namespace celeryramp::links {

PeerLinks::PeerLinks(boost::asio::io_context &context, const Address &self, LinkEvents &events)
    : m_impl{std::make_unique<Impl>(context, self, events)}
{ }

PeerLinks::~PeerLinks() = default;

Result<void, LinkError> PeerLinks::listen(const Address &address)
{
    return m_impl->endpoints.listen(address);
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

bool PeerLinks::sendFollowUp(const PeerProcess &peer, std::string frame, TimePoint now)
{
    if (const auto it = m_impl->links.find(peer.node);
        it != m_impl->links.end() && it->second.incarnation == peer.incarnation) {
        return send(peer.node, std::move(frame), now);
    }
    const auto silent = m_impl->findSilent(peer);
    if (silent == m_impl->silentLinks.end() || !m_impl->takeRoom(silent->second, frame.size())) {
        return false;
    }
    m_impl->writeFrame(silent->second, frame);
    return true;
}

PeerProcess PeerLinks::processInUse(const Address &peer) const
{
    const auto it = m_impl->links.find(peer);
    return {peer, it == m_impl->links.end() ? std::string{} : it->second.incarnation};
}

const std::string &PeerLinks::incarnation() const noexcept
{
    return m_impl->incarnation;
}

std::size_t PeerLinks::unsentBytes() const
{
    std::size_t sum = 0;
    for (const auto &[peer, link] : m_impl->links) {
        sum += link.isOpen ? m_impl->endpoints.bufferedBytes(link.connection) : 0;
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
        m_impl->ping(peer, it->second, now);
    }
}

bool PeerLinks::isOpen(const Address &peer) const
{
    const auto it = m_impl->links.find(peer);
    return it != m_impl->links.end() && it->second.isOpen;
}

std::vector<PeerProcess> PeerLinks::openPeers() const
{
    std::vector<PeerProcess> peers;
    for (const auto &[peer, link] : m_impl->links) {
        if (link.isOpen) {
            peers.push_back({peer, link.incarnation});
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
        if (!isPinged && !m_impl->events.isAwaiting({peer, link.incarnation})) {
            continue;
        }
        const auto silence = millisBetween(isPinged ? link.lastPingAt : link.lastReceivedAt, now);
        if (!isPinged && silence > kSilenceBeforePing) {
            m_impl->ping(peer, link, now);
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
    m_impl->endpoints.stopListening();
    std::vector<Address> peers;
    for (const auto &[peer, link] : m_impl->links) {
        peers.push_back(peer);
    }
    for (const auto &peer : peers) {
        m_impl->closeAbruptly(peer);
    }
    // Links that are only read, and those that the peers opened at the same time.
    for (const auto &[connection, end] : std::exchange(m_impl->ends, {})) {
        m_impl->endpoints.closeSocket(connection);
    }
    m_impl->silentLinks.clear();
}

} // namespace celeryramp::links
