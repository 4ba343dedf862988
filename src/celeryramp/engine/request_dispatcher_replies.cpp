/*! @file
 *  Replies of gates, of the own node and of others.
 */

#include "engine/request_dispatcher.h"
#include "observe/rejected_answer.h"
#include "proxy/answer_check.h"

namespace celeryramp::engine {

void RequestDispatcher::onReply(const links::PeerProcess &peer, const proxy::ReplyFrame &reply,
                                TimePoint now)
{
    const auto it = m_calls.find(reply.id);
    if (it == m_calls.end() || !(it->second.peer == peer)
        || it->second.dispatcher.pendingServer().empty()) {
        return;
    }
    const auto &call = it->second;
    const auto error = checkReply(call, reply);
    if (error == http::AnswerError::None) {
        onGateReply(reply.id, reply, now);
        return;
    }
    if (reply.hasMore) {
        cancelOffer(call, now); // the rest of the body is of no use
    }
    auto failed = proxy::failedReply(reply.id, proxy::Reason::Malformed);
    failed.load = reply.load;
    recordPeerError(call, error);
    onGateReply(reply.id, failed, now);
}

void RequestDispatcher::onUnreadableAnswer(const links::PeerProcess &peer, std::uint64_t id,
                                           TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || !isExpecting(it->second, peer)) {
        return;
    }
    auto &call = it->second;
    recordPeerError(call, http::AnswerError::Syntax);
    cancelOffer(call, now);
    if (call.isStreaming) {
        abortStream(call, proxy::Reason::Malformed, now);
    } else {
        onGateReply(id, proxy::failedReply(id, proxy::Reason::Malformed), now);
    }
}

void RequestDispatcher::recordPeerError(const Call &call, http::AnswerError error)
{
    recordRejectedAnswer(
            m_dependencies.metrics,
            {"peer", call.frame.requestId, call.peer.node.text(), http::answerErrorName(error)});
}

http::AnswerError RequestDispatcher::checkReply(const Call &call,
                                                const proxy::ReplyFrame &reply) const
{
    const auto error = proxy::checkReply(reply, call.frame.request.method == "HEAD");
    if (error != http::AnswerError::None || reply.kind != proxy::ReplyKind::Answer
        || !m_dependencies.settings.mechanisms.attribution) {
        return error;
    }
    const auto metadata = m_dependencies.headerAdapter.readAnswer(reply.answer);
    return proxy::checkAnswer(reply.answer.status, metadata, call.frame.requestId, false)
                    == http::AnswerMatch::Ours
            ? http::AnswerError::None
            : http::AnswerError::Unattributed;
}

void RequestDispatcher::onGateReply(std::uint64_t id, const proxy::ReplyFrame &reply, TimePoint now)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.dispatcher.pendingServer().empty()) {
        return;
    }
    auto &call = it->second;
    if (reply.load.isLeaving) {
        m_leavingPeers.onServerLeaving(call.frame.serverId, call.serverStartedMillis, now);
    }
    const auto step = call.dispatcher.onReply(reply, dispatchContext(), now);
    if (std::holds_alternative<proxy::OfferStep>(step)) {
        m_dependencies.metrics
                .counter("further_offers_total{service=\"" + call.frame.service + "\",after=\""
                         + std::string{proxy::reasonName(reply.reason)} + "\"}")
                .add();
    }
    if (reply.hasMore && !std::holds_alternative<proxy::AnswerStep>(step)) {
        cancelOffer(call, now); // the rest of the body is of no use
    }
    executeStep(call, step, &reply, now);
}

} // namespace celeryramp::engine
