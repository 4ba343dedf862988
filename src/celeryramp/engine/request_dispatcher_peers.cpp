/*! @file
 *  Which peers are offered calls, and calls whose peer is lost, silent, leaving or cut off.
 */

#include <algorithm>
#include <vector>

#include "engine/request_dispatcher.h"
#include "observe/log.h"

namespace celeryramp::engine {

std::vector<proxy::Candidate> RequestDispatcher::candidates(const std::string &service,
                                                            const std::set<std::string> &excluded,
                                                            TimePoint now) const
{
    const auto &view = *m_dependencies.replica.view();
    std::vector<proxy::Candidate> preferred;
    std::vector<proxy::Candidate> leavingCandidates;
    const auto found = view.byService.find(service);
    if (found == view.byService.end()) {
        return preferred;
    }
    for (const auto *server : found->second) {
        const auto &mechanisms = m_dependencies.settings.mechanisms;
        if ((mechanisms.draining && server->isDraining)
            || (mechanisms.evacuation && view.evacuatedZones.count(server->zone) > 0)) {
            continue;
        }
        if (mechanisms.draining && m_leavingPeers.isLeaving(*server)) {
            continue;
        }
        const bool isLocal = server->address.host == m_dependencies.settings.links.host;
        const auto &host = server->address.host;
        const Address node{host, m_dependencies.settings.links.port};
        const auto process = m_leavingPeers.hasNodes()
                ? m_dependencies.peers.processInUse(node).text()
                : std::string{};
        if (!isLocal
            && (m_zones.isSuspected(server->zone) || m_leavingPeers.isClosed(process)
                || !m_dependencies.peers.isReachable(node, now))) {
            continue;
        }
        const proxy::Candidate candidate{server, server->zone == m_dependencies.settings.zone,
                                         excluded.count(server->id) > 0};
        (m_leavingPeers.isLeaving(process) ? leavingCandidates : preferred).push_back(candidate);
    }
    const bool areAllAsked
            = std::all_of(preferred.begin(), preferred.end(),
                          [](const auto &candidate) { return candidate.isExcluded; });
    if (areAllAsked) {
        preferred.insert(preferred.end(), leavingCandidates.begin(), leavingCandidates.end());
    }
    return preferred;
}

bool RequestDispatcher::isExpecting(const Call &call)
{
    return call.isStreaming || !call.dispatcher.pendingServer().empty();
}

bool RequestDispatcher::isExpecting(const Call &call, const links::PeerProcess &peer)
{
    return isExpecting(call) && call.peer == peer;
}

std::vector<std::uint64_t> RequestDispatcher::callsExpecting(const links::PeerProcess &peer) const
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, call] : m_calls) {
        if (isExpecting(call, peer)) {
            ids.push_back(id);
        }
    }
    return ids;
}

void RequestDispatcher::onLinkOpen(const links::PeerProcess &peer)
{
    for (const auto id : callsExpecting({peer.node, {}})) {
        m_calls.at(id).peer = peer;
    }
}

void RequestDispatcher::onLinkLost(const links::PeerProcess &peer, links::LinkLoss loss,
                                   TimePoint now)
{
    if (loss == links::LinkLoss::PeerGone) {
        m_leavingPeers.forgetNode(peer.text());
    }
    for (const auto id : callsExpecting(peer)) {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()
            || (it->second.isOnSilentLink && loss != links::LinkLoss::PeerGone)) {
            continue;
        }
        if (it->second.isStreaming) {
            abortStream(it->second, proxy::Reason::Lost, now);
            continue;
        }
        const bool isNotSent = loss == links::LinkLoss::NotOpened;
        endOffer(it->second, isNotSent ? "link-not-opened" : "link-lost",
                 isNotSent ? proxy::notRunReply(id, proxy::Reason::Unreachable)
                           : proxy::failedReply(id, proxy::Reason::Lost),
                 now);
    }
}

void RequestDispatcher::onLinkReplaced(const links::PeerProcess &peer)
{
    for (const auto id : callsExpecting(peer)) {
        m_calls.at(id).isOnSilentLink = true;
    }
}

void RequestDispatcher::onLinkSilent(const links::PeerProcess &peer, TimePoint now)
{
    leaveSilent(callsExpecting(peer), now);
}

void RequestDispatcher::leaveSilent(const std::vector<std::uint64_t> &ids, TimePoint now)
{
    for (const auto id : ids) {
        const auto it = m_calls.find(id);
        if (it == m_calls.end()) {
            continue;
        }
        if (it->second.isStreaming || !it->second.frame.isIdempotent) {
            it->second.isOnSilentLink = true;
            continue;
        }
        cancelAtGate(it->second, now);
        endOffer(it->second, "silence", proxy::failedReply(id, proxy::Reason::Lost), now);
    }
}

void RequestDispatcher::endOffer(Call &call, const char *cause, const proxy::ReplyFrame &reply,
                                 TimePoint now)
{
    logEvent(LogLevel::Info, "desk", "offer-ended",
             {{"request", call.frame.requestId},
              {"server", call.dispatcher.pendingServer()},
              {"peer", call.peer.node.text()},
              {"process", call.peer.incarnation},
              {"by", cause},
              {"not_run", reply.kind == proxy::ReplyKind::NotRun ? "1" : "0"},
              {"spent_ms", std::to_string(millisBetween(call.arrivedAt, now).count())}});
    onGateReply(call.id, reply, now);
}

void RequestDispatcher::onHung(const links::PeerProcess &peer, std::uint64_t id, TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || !isExpecting(it->second, peer) || it->second.isStreaming
        || m_shutdown) {
        return;
    }
    auto &call = it->second;
    if (!call.dispatcher.canLeaveServer(dispatchContext(), now)) {
        return;
    }
    logEvent(LogLevel::Info, "desk", "server-hangs",
             {{"request", call.frame.requestId},
              {"server", call.dispatcher.pendingServer()},
              {"spent_ms", std::to_string(millisBetween(call.arrivedAt, now).count())}});
    cancelOffer(call, now);
    onGateReply(id, proxy::failedReply(id, proxy::Reason::Hung), now);
}

void RequestDispatcher::onPeerLeaving(const links::PeerProcess &peer, TimePoint now)
{
    m_leavingPeers.onNodeLeaving(peer.text(), now);
}

void RequestDispatcher::onPeerClosed(const links::PeerProcess &peer, TimePoint now)
{
    m_leavingPeers.onNodeClosed(peer.text());
    for (const auto id : callsExpecting(peer)) {
        const auto it = m_calls.find(id);
        if (it == m_calls.end() || it->second.isStreaming || it->second.isOnSilentLink) {
            continue;
        }
        endOffer(it->second, "peer-closed", proxy::notRunReply(id, proxy::Reason::Draining), now);
    }
}

bool RequestDispatcher::isAwaiting(const links::PeerProcess &peer) const
{
    return std::any_of(m_calls.begin(), m_calls.end(),
                       [&peer](const auto &entry) { return isExpecting(entry.second, peer); });
}

void RequestDispatcher::pollZones(TimePoint now)
{
    if (m_isPollingZones) {
        return; // calls that are tried elsewhere are sent, too
    }
    m_isPollingZones = true;
    m_zones.onDirectory(m_dependencies.replica.view());
    for (const auto &peer : m_zones.poll(now)) {
        std::vector<std::uint64_t> ids;
        for (const auto &[id, call] : m_calls) {
            if (isExpecting(call) && call.peer.node == peer) {
                ids.push_back(id);
            }
        }
        leaveSilent(ids, now);
    }
    m_isPollingZones = false;
}

} // namespace celeryramp::engine
