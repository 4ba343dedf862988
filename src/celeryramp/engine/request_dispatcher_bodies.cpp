/*! @file
 *  Bodies of requests and answers that travel in parts.
 */

#include "core/boot_clock.h"
#include "engine/buffer_limits.h"
#include "engine/request_dispatcher.h"
#include "observe/log.h"
#include "proxy/answer_check.h"
#include "proxy/frame_codec.h"

namespace celeryramp::engine {

namespace internal {

/*! Bytes sent to a caller after which the gate is allowed as many more. */
constexpr std::uint64_t kCreditStep = 32 * 1024;
/*! Time after the caller's deadline after which an unfinished answer is broken off. Callers leave
 *  by themselves before. */
constexpr Millis kStreamGrace{1000};

} // namespace internal

void RequestDispatcher::sendUpload(Call &call, TimePoint now)
{
    if (!call.frame.longBody || call.peer.node.host.empty()) {
        return;
    }
    // Replies and credits keep half of the room on the links.
    const BufferLimits limits{m_dependencies.settings.memoryBytes,
                              m_dependencies.bodies.heldBytes()};
    while (const auto part = call.upload.next(call.id, call.frame.longBody->bytes)) {
        if (m_dependencies.peers.heldBytes() > limits.links / 2
            || !m_dependencies.peers.sendFollowUp(call.peer, proxy::encodeFrame(*part), now)) {
            return; // the rest follows with the next credit or sweep
        }
        call.upload.onSent(part->bytes.size());
    }
}

void RequestDispatcher::onUploadCredit(const links::PeerProcess &peer,
                                       const proxy::UploadCreditFrame &credit, TimePoint now)
{
    if (const auto it = m_calls.find(credit.id);
        it != m_calls.end() && isExpecting(it->second, peer)) {
        it->second.upload.onCredit(credit.bytes);
        sendUpload(it->second, now);
    }
}

bool RequestDispatcher::mayHold(const http::CallerConnectionPtr &connection, std::size_t bytes)
{
    return m_connections.mayHold(connection, bytes, bootNow());
}

void RequestDispatcher::beginStream(Call &call, const proxy::ReplyFrame &reply, TimePoint now)
{
    call.isStreaming = true;
    call.streamStatus = reply.answer.status;
    call.streamLength = reply.length;
    // An answer that has begun is delivered, also when it takes longer than the route's timeout.
    armTimer(call, call.callerDeadline + internal::kStreamGrace, now);
    call.streamBeganAt = now;
    call.response.begin(reply.answer, reply.length);
}

void RequestDispatcher::onBody(const links::PeerProcess &peer, proxy::BodyFrame part, TimePoint now)
{
    const auto it = m_calls.find(part.id);
    if (it == m_calls.end() || !it->second.isStreaming || !(it->second.peer == peer)) {
        return;
    }
    auto &call = it->second;
    if (part.end == proxy::BodyEnd::Broken && !m_dependencies.settings.mechanisms.wholeBodies) {
        part.end = proxy::BodyEnd::Complete;
    }
    if (part.end == proxy::BodyEnd::Broken || part.offset != call.bodyReceived) {
        cancelAtGate(call, now);
        abortStream(call, proxy::Reason::Lost, now);
        return;
    }
    if (m_dependencies.settings.mechanisms.wholeBodies
        && !proxy::fitsLength(part, call.streamLength)) {
        recordPeerError(call, http::AnswerError::Framing);
        cancelAtGate(call, now);
        abortStream(call, proxy::Reason::Malformed, now);
        return;
    }
    call.bodyReceived += part.bytes.size();
    const bool isLast = part.end == proxy::BodyEnd::Complete;
    const auto response = call.response;
    if (isLast) {
        m_serverPicker.onDelivered(call.frame.serverId, call.bodyReceived,
                                   millisBetween(call.streamBeganAt, now), now);
        // The rest is held here until the caller has read it, and no longer on the way.
        sendCredit(call, call.bodyReceived - call.bodyCredited, now);
        recordEnd(call, call.streamStatus, proxy::Reason::None, now);
        removeCall(call);
    }
    response.append(std::move(part.bytes), isLast);
}

void RequestDispatcher::onBodyWritten(const http::CallerConnection &connection, std::uint64_t id,
                                      std::size_t bytes)
{
    const auto entry = m_callIdsByResponse.find({&connection, id});
    const auto it
            = entry == m_callIdsByResponse.end() ? m_calls.end() : m_calls.find(entry->second);
    if (it == m_calls.end() || !it->second.isStreaming) {
        return;
    }
    auto &call = it->second;
    call.bodyUnacknowledged += bytes;
    if (call.bodyUnacknowledged >= internal::kCreditStep) {
        sendCredit(call, std::exchange(call.bodyUnacknowledged, 0), bootNow());
    }
}

void RequestDispatcher::sendCredit(Call &call, std::uint64_t bytes, TimePoint now)
{
    call.bodyCredited += bytes;
    const proxy::CreditFrame credit{call.id, bytes};
    if (call.peer.node.host.empty()) {
        m_dependencies.gate.addCredit(std::string{BackendGate::kLocalOrigin}, credit);
    } else if (!m_dependencies.peers.sendFollowUp(call.peer, proxy::encodeFrame(credit), now)) {
        logEvent(LogLevel::Warn, "desk", "credit-not-sent",
                 {{"request", call.frame.requestId}, {"peer", call.peer.node.text()}});
    }
}

void RequestDispatcher::abortStream(Call &call, proxy::Reason reason, TimePoint now)
{
    constexpr int kBadGateway = 502;
    const auto response = call.response;
    const auto replacement = m_dependencies.headerAdapter.localAnswer(
            {kBadGateway, reason, call.frame.requestId, std::nullopt});
    recordEnd(call, kBadGateway, reason, now);
    removeCall(call);
    response.abort(replacement);
}

} // namespace celeryramp::engine
