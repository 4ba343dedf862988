#include "http/caller_connection.h"

#include <boost/asio/write.hpp>

#include "core/boot_clock.h"
#include "http/socket_options.h"

namespace celeryramp::http {

namespace internal {

constexpr int kRequestTimeout = 408;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

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
    if (m_closed || m_reading || m_reader.buffered() > kPipelineBytes) {
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
    const bool wasIdle = m_reader.state() == RequestReader::State::Idle;
    m_reader.feed(bytes, m_events.requestLimits());
    if (wasIdle) {
        m_lastChange = bootNow();
    }
    if (m_reader.takeExpectContinue()) {
        m_output.emplace_back(internal::kContinue);
        write();
    }
    dispatch();
    read();
}

void CallerConnection::dispatch()
{
    if (m_busy || m_closed) {
        return;
    }
    if (m_reader.state() == RequestReader::State::Bad) {
        m_busy = true;
        m_events.onBadRequest(m_reader.errorStatus());
        Answer refusal;
        refusal.status = m_reader.errorStatus();
        answer(refusal, true);
        return;
    }
    if (m_reader.state() != RequestReader::State::Done) {
        return;
    }
    m_busy = true;
    auto request = m_reader.take();
    m_keepsAlive = request.keepsAlive;
    m_isHead = request.method == "HEAD";
    m_events.onRequest(shared_from_this(), std::move(request));
}

void CallerConnection::answer(const Answer &answer, bool closes)
{
    if (m_closed || !m_busy) {
        return;
    }
    const bool isLast = closes || m_closesWhenIdle || !m_keepsAlive;
    m_output.push_back(serialize(answer, isLast, m_isHead));
    m_closesAfterWrite = m_closesAfterWrite || isLast;
    m_busy = false;
    m_lastChange = bootNow();
    write();
    if (!m_closesAfterWrite && m_reader.buffered() > 0) {
        m_reader.feed({}, m_events.requestLimits());
        // Dispatching from the event loop avoids deep recursion over pipelined requests.
        boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->dispatch();
            self->read();
        });
    }
}

void CallerConnection::write()
{
    if (m_writing || m_output.empty() || m_closed) {
        return;
    }
    m_writing = true;
    boost::asio::async_write(
            m_socket, boost::asio::buffer(m_output.front()),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
                self->m_writing = false;
                if (ec) {
                    self->close();
                    return;
                }
                self->m_output.pop_front();
                self->m_lastChange = bootNow();
                if (self->m_output.empty() && self->m_closesAfterWrite) {
                    self->shutdownAndClose();
                    return;
                }
                self->write();
            });
}

void CallerConnection::shutdownAndClose()
{
    // Closing a socket with unread bytes sends a reset, which can reach the caller before the
    // response. Therefore only the sending side is shut down here; the connection is closed when
    // reading fails or when `checkTimeouts` finds it idle for too long.
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    if (ignored || m_reader.state() == RequestReader::State::Idle) {
        close();
    }
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

void CallerConnection::closeAfterResponse() noexcept
{
    m_closesWhenIdle = true;
}

void CallerConnection::checkTimeouts(Millis headerTimeout, Millis idleTimeout, TimePoint now)
{
    const auto elapsed = millisBetween(m_lastChange, now);
    if (m_closed || m_busy) {
        return;
    }
    const bool isInHeader = m_reader.state() == RequestReader::State::Header && m_output.empty()
            && !m_closesAfterWrite;
    if (isInHeader && elapsed > headerTimeout) {
        m_busy = true;
        m_events.onBadRequest(internal::kRequestTimeout);
        Answer refusal;
        refusal.status = internal::kRequestTimeout;
        answer(refusal, true);
    } else if (elapsed > idleTimeout) {
        // The caller is idle, sends its body too slowly or does not read its response.
        close();
    }
}

} // namespace celeryramp::http
