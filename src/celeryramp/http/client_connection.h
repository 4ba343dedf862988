#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/address.h"
#include "http/answer_reader.h"
#include "http/exchange.h"

namespace celeryramp::http {

/*! @brief A persistent HTTP/1.1 connection to a server that carries one request at a time. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /*! Called when the connection becomes free for the next request or has closed. */
    using Released = std::function<void(const std::shared_ptr<ClientConnection> &)>;

    ClientConnection(boost::asio::io_context &context, Address address, Millis connectTimeout,
                     std::size_t bodyLimit, Released released);

    /*!
     * @brief Sends a request and connects first if necessary. The connection must be free, see
     * `isFree`. The result, including a failure to connect, is passed to `Exchange::done`.
     */
    void send(Exchange exchange);

    /*!
     * @brief Closes the connection. A pending request ends as `ExchangeEnd::Cancelled`, or as
     * `ExchangeEnd::NotSent` if none of it was sent.
     */
    void cancel();

    /*! @brief Stops or resumes reading a response, so that the server waits for its receiver. */
    void setReadingPaused(bool isPaused);

    /*! @return True if a request can be sent. */
    [[nodiscard]] bool isFree() const noexcept { return !m_exchange && !m_closed; }
    [[nodiscard]] bool isClosed() const noexcept { return m_closed; }

    /*! @return Time at which the connection last became free. */
    [[nodiscard]] TimePoint freeSince() const noexcept { return m_freeSince; }

    /*! @return Time for which the connection had rested before the last request; zero for the
     * first one. */
    [[nodiscard]] Millis restBefore() const noexcept { return m_restBefore; }
    /*! @return True if any byte was received since the last request was sent. */
    [[nodiscard]] bool hasReceived() const noexcept { return m_hasReceived; }

    /*! @return Why the last exchange ended as `ExchangeEnd::Malformed`; `None` if it did not. */
    [[nodiscard]] AnswerError answerError() const noexcept { return m_answerError; }

    /*! @return Time at which bytes were last received; `TimePoint{}` before the first ones. */
    [[nodiscard]] TimePoint lastReceivedAt() const noexcept { return m_lastReceivedAt; }
    /*! @return Bytes that are still to come of the response that is being received, by the length
     * that the server announced; nothing if that is not known. */
    [[nodiscard]] std::optional<std::uint64_t> bytesToCome() const;

    /*! @return Idle timeout that the server announced in `Keep-Alive`; zero without one. */
    [[nodiscard]] Millis announcedIdle() const noexcept { return m_announcedIdle; }

private:
    void connect();
    void write();
    void read();
    void onBytes(std::string_view bytes);
    /*! @brief Handles what the reader has parsed. @return False if the exchange or the connection
     * ended, true to read on. */
    bool processAnswer();
    void onReadError(const boost::system::error_code &ec);
    /*! @brief Ends the exchange as `ExchangeEnd::Malformed`. */
    void reject(AnswerError error);
    void finish(ExchangeEnd end, Answer answer);
    void close();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connectTimer;
    Address m_address;
    Millis m_connectTimeout;
    AnswerReader m_reader;
    Released m_released;
    std::optional<Exchange> m_exchange;
    std::array<char, 16384> m_input{};
    std::string m_output;
    TimePoint m_freeSince;
    int m_requests = 0; /*!< Sent on this connection, with the current one. */
    int m_foreignAnswers = 0; /*!< Skipped before the answer to the current request. */
    std::optional<AnswerMatch> m_match; /*!< Of the answer that is being read. */
    AnswerError m_answerError = AnswerError::None;
    bool m_isStreaming = false; /*!< The head of the answer was passed to `Exchange::onHead`. */
    bool m_isReadingPaused = false;
    bool m_closesAfterAnswer = false; /*!< The server has closed its side. */
    Millis m_restBefore{0};
    bool m_hasReceived = false;
    TimePoint m_lastReceivedAt;
    Millis m_announcedIdle{0};
    bool m_connected = false;
    bool m_sent = false; /*!< Bytes of the current request may have been sent. */
    bool m_reading = false;
    bool m_writing = false; /*!< May still be set when an early response arrives. */
    bool m_hasWriteFailed = false;
    bool m_isReset = false; /*!< The server has reset the connection. */
    bool m_closed = false;
};

using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

} // namespace celeryramp::http
