#include "http/caller_connection.h"

#include <algorithm>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "core/boot_clock.h"
#include "http/socket_options.h"

namespace celeryramp::http {

namespace internal {

constexpr int kRequestTimeout = 408;
constexpr int kUnavailable = 503;
/*! Bytes of unfinished requests of a connection that are not counted in the memory of all. */
constexpr std::size_t kUncountedBytes = 16 * 1024;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/*! Time in which the caller closes its side after the last response. */
constexpr Millis kLingerTime{500};
constexpr std::string_view kLastChunk = "0\r\n\r\n";

} // namespace internal

CallerConnection::CallerConnection(boost::asio::ip::tcp::socket socket, CallerEvents &events,
                                   TimePoint now)
    : m_socket{std::move(socket)}, m_events{events}, m_lastChange{now}
{
    applySocketOptions(m_socket);
}

void CallerConnection::start()
{
    read();
}

void CallerConnection::read()
{
    if (m_closed || m_reading || (m_reader.buffered() > kPipelineBytes && !m_isLingering)) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(
            boost::asio::buffer(m_input),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                self->m_reading = false;
                if (ec) {
                    self->close();
                    return;
                }
                self->onBytes({self->m_input.data(), n});
            });
}

void CallerConnection::onBytes(std::string_view bytes)
{
    if (m_isLingering) {
        read();
        return;
    }
    const bool wasIdle = m_reader.state() == RequestReader::State::Idle;
    m_reader.feed(bytes, m_events.requestLimits());
    if (const auto held = heldBytes(); held > internal::kUncountedBytes || m_isHeld) {
        m_isHeld = held > internal::kUncountedBytes;
        if (!m_events.mayHold(shared_from_this(), m_isHeld ? held : 0)) {
            m_reader.refuse(internal::kUnavailable);
            m_isHeld = false;
        }
        if (m_closed) {
            return;
        }
    }
    if (wasIdle) {
        m_lastChange = bootNow();
    }
    if (m_reader.takeExpectContinue()) {
        // Sent in its turn, as an interim response before that to the request itself.
        Pending interim;
        addOutput(interim, std::string{internal::kContinue}, 0);
        interim.isComplete = true;
        m_pending.push_back(std::move(interim));
        write();
    }
    // Reading first lets a disconnect that has arrived meanwhile be handled before the request is
    // passed on: a caller that has left needs no answer.
    read();
    scheduleDispatch();
}

void CallerConnection::scheduleDispatch()
{
    if (m_closed || std::exchange(m_isDispatchScheduled, true)) {
        return;
    }
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_isDispatchScheduled = false;
        self->dispatch();
        self->read();
    });
}

bool CallerConnection::mayPassOn(bool mayOverlap) const
{
    return m_pending.empty()
            || (mayOverlap && m_pending.size() < kMaxOverlapping
                && std::all_of(m_pending.begin(), m_pending.end(), [](const Pending &pending) {
                       return pending.mayOverlap || pending.isComplete;
                   }));
}

void CallerConnection::dispatch()
{
    while (!m_closed && m_closeDecision.takesRequests()) {
        if (!m_next) {
            if (m_reader.state() == RequestReader::State::Idle && m_reader.buffered() > 0) {
                m_reader.feed({}, m_events.requestLimits());
            }
            if (m_reader.state() == RequestReader::State::Bad) {
                rejectRequest(m_reader.errorStatus());
                return;
            }
            if (m_reader.state() != RequestReader::State::Done) {
                return;
            }
            m_next = m_reader.take();
        }
        const bool mayOverlap = m_events.mayOverlap(*m_next);
        if (!mayPassOn(mayOverlap)) {
            return;
        }
        auto request = std::move(*m_next);
        m_next.reset();
        // The end of the connection may end the body of a response to HTTP/1.0.
        const auto id = addPending(request, mayOverlap && !request.isHttp10, request.keepsAlive).id;
        m_events.onRequest(ResponseWriter{shared_from_this(), id}, std::move(request));
    }
}

CallerConnection::Pending &CallerConnection::addPending(const Request &request, bool mayOverlap,
                                                        bool keepsAlive)
{
    Pending pending;
    pending.id = ++m_lastId;
    pending.isHead = request.method == "HEAD";
    pending.isHttp10 = request.isHttp10;
    pending.mayOverlap = mayOverlap;
    m_closeDecision.onRequest(pending.id, keepsAlive);
    m_pending.push_back(std::move(pending));
    return m_pending.back();
}

void CallerConnection::rejectRequest(int status)
{
    m_reader.refuse(status);
    const auto &pending = addPending({}, false, false);
    m_events.onBadRequest(status);
    Answer refusal;
    refusal.status = status;
    answer(pending.id, refusal);
}

CallerConnection::Pending *CallerConnection::findPending(std::uint64_t id)
{
    const auto it = std::find_if(m_pending.begin(), m_pending.end(), [id](const Pending &pending) {
        return pending.id == id && !pending.isComplete && !pending.isAborted;
    });
    return it == m_pending.end() || m_closed ? nullptr : &*it;
}

void CallerConnection::answer(std::uint64_t id, const Answer &answer)
{
    auto *pending = findPending(id);
    if (pending == nullptr || pending->isBegun) {
        return;
    }
    pending->closes = m_closeDecision.onResponse(id, false);
    addOutput(*pending, serialize(answer, pending->closes, pending->isHead), 0);
    pending->isComplete = true;
    m_lastChange = bootNow();
    write();
}

void CallerConnection::begin(std::uint64_t id, const Answer &head,
                             std::optional<std::uint64_t> length)
{
    auto *pending = findPending(id);
    if (pending == nullptr || pending->isBegun) {
        return;
    }
    pending->isBegun = true;
    pending->isChunked = !length && !pending->isHttp10;
    pending->closes = m_closeDecision.onResponse(id, !length && pending->isHttp10);
    addOutput(*pending, serializeHead(head, pending->closes, {length, pending->isChunked}), 0);
    m_lastChange = bootNow();
    write();
}

void CallerConnection::append(std::uint64_t id, std::string bytes, bool isLast)
{
    auto *pending = findPending(id);
    if (pending == nullptr || !pending->isBegun) {
        return;
    }
    const auto n = bytes.size();
    if (pending->isChunked && n > 0) {
        bytes = chunkHeader(n).append(bytes).append("\r\n");
    }
    if (pending->isChunked && isLast) {
        bytes.append(internal::kLastChunk);
    }
    if (!bytes.empty()) {
        addOutput(*pending, std::move(bytes), n);
    }
    pending->isComplete = isLast;
    write();
}

void CallerConnection::abort(std::uint64_t id, const Answer &replacement)
{
    auto *pending = findPending(id);
    if (pending == nullptr) {
        return;
    }
    if (!pending->isSending) {
        for (const auto &piece : pending->output) {
            m_unsentBytes -= piece.size();
        }
        pending->output.clear();
        pending->bodyBytes.clear();
        pending->isBegun = false;
        answer(id, replacement);
        return;
    }
    pending->isAborted = true;
    write();
}

void CallerConnection::write()
{
    if (m_writing || m_closed || m_pending.empty()) {
        return;
    }
    auto &front = m_pending.front();
    if (front.isAborted) {
        reset();
        return;
    }
    if (front.output.empty()) {
        return;
    }
    m_writing = true;
    front.isSending = true;
    boost::asio::async_write(
            m_socket, boost::asio::buffer(front.output.front()),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
                self->m_writing = false;
                if (ec) {
                    self->close();
                    return;
                }
                self->onWritten();
            });
}

void CallerConnection::onWritten()
{
    if (m_closed) {
        return;
    }
    m_lastChange = bootNow();
    auto &front = m_pending.front();
    const auto id = front.id;
    const auto n = front.bodyBytes.front();
    m_unsentBytes -= front.output.front().size();
    front.output.pop_front();
    front.bodyBytes.pop_front();
    if (front.isComplete && front.output.empty()) {
        const bool closes = front.closes;
        m_pending.pop_front();
        if (closes) {
            shutdownAndClose();
            return;
        }
        // A request may have waited for the end of this response.
        if (m_next || m_reader.buffered() > 0 || m_reader.state() == RequestReader::State::Done) {
            scheduleDispatch();
        }
    }
    write();
    if (n > 0 && !m_closed) {
        m_events.onBodyWritten(*this, id, n);
    }
}

void CallerConnection::shutdownAndClose()
{
    // Closing a socket with unread bytes sends a reset, which can reach the caller before the
    // response. Therefore only the sending side is shut down here; the connection is closed when
    // the caller closes its side or `checkTimeouts` finds that it does not.
    boost::system::error_code ec;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    if (ec) {
        close();
        return;
    }
    m_isLingering = true;
    read();
}

void CallerConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_events.onClosed(shared_from_this());
}

void CallerConnection::reset()
{
    // A reset also marks a body without announced length as incomplete.
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    close();
}

void CallerConnection::addOutput(Pending &pending, std::string bytes, std::size_t bodyBytes)
{
    m_unsentBytes += bytes.size();
    pending.output.push_back(std::move(bytes));
    pending.bodyBytes.push_back(bodyBytes);
}

void CallerConnection::closeAfterResponse() noexcept
{
    m_closeDecision.requestClose();
}

void CallerConnection::checkTimeouts(Millis headerTimeout, Millis idleTimeout, TimePoint now)
{
    const auto elapsed = millisBetween(m_lastChange, now);
    const bool awaitsAnswer = !m_pending.empty() && !m_writing;
    if (m_closed || awaitsAnswer) {
        return;
    }
    const bool isInHeader = m_reader.state() == RequestReader::State::Header && m_pending.empty()
            && m_closeDecision.takesRequests();
    if (isInHeader && elapsed > headerTimeout) {
        rejectRequest(internal::kRequestTimeout);
    } else if (elapsed > (m_isLingering ? internal::kLingerTime : idleTimeout)) {
        // The caller is idle, sends its body too slowly or does not read its response.
        close();
    }
}

} // namespace celeryramp::http
