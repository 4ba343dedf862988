#include "http/client_connection.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/write.hpp>

#include "core/boot_clock.h"
#include "http/socket_options.h"

namespace celeryramp::http {

namespace internal {

/*! Answers to earlier requests that are skipped while one request waits. */
constexpr int kMaxForeignAnswers = 4;

/*! @return The timeout of a `Keep-Alive: timeout=N` header, or zero without one. */
[[nodiscard]] Millis announcedTimeout(const Answer &answer)
{
    constexpr std::string_view kTimeout = "timeout=";
    const auto value = findHeader(answer.headers, "Keep-Alive");
    const auto position = value.find(kTimeout);
    if (position == std::string_view::npos) {
        return Millis{0};
    }
    const auto text = value.substr(position + kTimeout.size());
    long seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return Millis{seconds * 1000};
}

} // namespace internal

ClientConnection::ClientConnection(boost::asio::io_context &context, Address address,
                                   Millis connectTimeout, std::size_t bodyLimit, Released released)
    : m_socket{context}, m_connectTimer{context}, m_address{std::move(address)},
      m_connectTimeout{connectTimeout}, m_reader{bodyLimit}, m_released{std::move(released)}
{ }

void ClientConnection::send(Exchange exchange)
{
    m_exchange = std::move(exchange);
    m_sent = false;
    m_hasReceived = false;
    m_restBefore = m_requests > 0 ? millisBetween(m_freeSince, bootNow()) : Millis{0};
    ++m_requests;
    m_foreignAnswers = 0;
    m_match.reset();
    m_answerError = AnswerError::None;
    m_isStreaming = false;
    m_isReadingPaused = false;
    m_reader.expect(m_exchange->isHead);
    if (m_connected) {
        write();
    } else {
        connect();
    }
}

void ClientConnection::connect()
{
    boost::system::error_code ec;
    const auto host = boost::asio::ip::make_address(m_address.host, ec);
    if (ec) {
        finish(ExchangeEnd::NotSent, {});
        return;
    }
    m_connectTimer.expires_after(m_connectTimeout);
    m_connectTimer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error && !self->m_connected && !self->m_closed) {
            self->close();
        }
    });
    m_socket.async_connect({host, m_address.port},
                           [self = shared_from_this()](const boost::system::error_code &error) {
                               self->m_connectTimer.cancel();
                               if (self->m_closed) {
                                   return;
                               }
                               if (error) {
                                   self->close();
                                   return;
                               }
                               self->m_connected = true;
                               applySocketOptions(self->m_socket);
                               self->write();
                               self->read();
                           });
}

void ClientConnection::write()
{
    m_sent = true;
    m_writing = true;
    m_output = std::move(m_exchange->wire);
    const auto body = m_exchange->body;
    const std::array<boost::asio::const_buffer, 2> buffers{boost::asio::buffer(m_output),
                                                           body ? boost::asio::buffer(*body)
                                                                : boost::asio::const_buffer{}};
    boost::asio::async_write(
            m_socket, buffers,
            [self = shared_from_this(), body](const boost::system::error_code &ec, std::size_t) {
                // A write error also ends the read, after any response that was already received.
                self->m_writing = false;
                self->m_hasWriteFailed = static_cast<bool>(ec);
                // The system reports a reset once. If the write gets the report, the read only
                // sees an end of the stream. `broken_pipe` means that the server had ended its
                // side in order before.
                self->m_isReset = ec && ec != boost::asio::error::broken_pipe;
            });
}

void ClientConnection::read()
{
    if (m_closed || m_reading || m_isReadingPaused) {
        return;
    }
    m_reading = true;
    m_socket.async_read_some(
            boost::asio::buffer(m_input),
            [self = shared_from_this()](const boost::system::error_code &ec, std::size_t n) {
                self->m_reading = false;
                if (self->m_closed) {
                    return;
                }
                if (ec) {
                    self->onReadError(ec);
                    return;
                }
                self->onBytes({self->m_input.data(), n});
            });
}

void ClientConnection::onBytes(std::string_view bytes)
{
    if (!m_exchange) {
        // Without a pending request, later bytes can no longer be matched to their requests.
        close();
        return;
    }
    m_hasReceived = true;
    m_lastReceivedAt = bootNow();
    m_reader.feed(bytes);
    if (processAnswer()) {
        read();
    }
}

bool ClientConnection::processAnswer()
{
    while (true) {
        if (m_reader.state() == AnswerReader::State::Bad) {
            reject(m_reader.error());
            return false;
        }
        if (!m_reader.hasHead()) {
            return true;
        }
        if (!m_match) {
            m_match = m_exchange->match ? m_exchange->match(m_reader.head(), m_requests > 1)
                                        : AnswerMatch::Ours;
        }
        if (*m_match == AnswerMatch::Ours) {
            break;
        }
        static_cast<void>(m_reader.takeBody()); // not kept
        const bool isForeign = *m_match == AnswerMatch::Foreign;
        if (isForeign && m_reader.state() != AnswerReader::State::Done) {
            return true;
        }
        if (!isForeign || ++m_foreignAnswers > internal::kMaxForeignAnswers) {
            reject(AnswerError::Unattributed);
            return false;
        }
        m_match.reset();
        m_reader.expect(m_exchange->isHead);
        m_reader.feed({});
    }
    const auto length = m_reader.announcedLength();
    const bool isLong = !m_exchange->isHead
            && std::max<std::uint64_t>(length.value_or(0), m_reader.bodySize())
                    > m_exchange->wholeBytes;
    // The handlers may cancel and so destroy the exchange, therefore copies of them are called.
    if (isLong && !m_isStreaming && m_exchange->onHead) {
        m_isStreaming = true;
        const auto onHead = m_exchange->onHead;
        onHead(m_reader.head(), length);
    }
    if (m_isStreaming && m_exchange && m_reader.bodySize() > 0) {
        const auto onBytes = m_exchange->onBytes;
        onBytes(m_reader.takeBody());
    }
    if (!m_exchange || m_closed) {
        return false;
    }
    if (m_reader.state() == AnswerReader::State::Done) {
        finish(ExchangeEnd::Answered, m_reader.take());
        return false;
    }
    return true;
}

void ClientConnection::onReadError(const boost::system::error_code &ec)
{
    if (!m_exchange) {
        close();
        return;
    }
    // An answer without a length is complete at the orderly end of the connection only.
    const bool isOrderly = ec == boost::asio::error::eof && !m_isReset;
    if (isOrderly && m_reader.finish() == AnswerReader::State::Done) {
        m_closesAfterAnswer = true;
        if (!processAnswer()) {
            return;
        }
    }
    finish(ExchangeEnd::Lost, {});
}

void ClientConnection::reject(AnswerError error)
{
    m_answerError = error;
    finish(ExchangeEnd::Malformed, {});
}

void ClientConnection::finish(ExchangeEnd end, Answer answer)
{
    auto exchange = std::move(m_exchange);
    m_exchange.reset();
    m_freeSince = bootNow();
    const bool isReusable = end == ExchangeEnd::Answered && answer.keepsAlive
            && m_reader.buffered() == 0 && !m_writing && !m_hasWriteFailed && !m_closed
            && !m_closesAfterAnswer;
    if (isReusable) {
        m_announcedIdle = internal::announcedTimeout(answer);
        m_isReadingPaused = false;
        read();
        m_released(shared_from_this());
    } else {
        close();
    }
    if (exchange) {
        exchange->done(end, std::move(answer));
    }
}

std::optional<std::uint64_t> ClientConnection::bytesToCome() const
{
    const auto length = m_reader.hasHead() ? m_reader.announcedLength() : std::nullopt;
    return length ? std::optional{*length - std::min<std::uint64_t>(*length, m_reader.bodySize())}
                  : std::nullopt;
}

void ClientConnection::setReadingPaused(bool isPaused)
{
    if (std::exchange(m_isReadingPaused, isPaused) && !isPaused && m_connected) {
        read();
    }
}

void ClientConnection::cancel()
{
    if (m_exchange) {
        finish(m_sent ? ExchangeEnd::Cancelled : ExchangeEnd::NotSent, {});
    } else {
        close();
    }
}

void ClientConnection::close()
{
    if (m_closed) {
        return;
    }
    m_closed = true;
    boost::system::error_code ignored;
    m_connectTimer.cancel(ignored);
    m_socket.close(ignored);
    m_released(shared_from_this());
    if (m_exchange) {
        finish(m_sent ? ExchangeEnd::Lost : ExchangeEnd::NotSent, {});
    }
}

} // namespace celeryramp::http
