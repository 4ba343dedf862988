#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "core/time.h"
#include "http/message.h"
#include "http/request_reader.h"

namespace celeryramp::http {

class CallerConnection;
using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

/*!
 * @brief Interface through which a caller's connection notifies its owner. All functions are called
 * on the thread of the connection's executor.
 */
class CallerEvents
{
public:
    CallerEvents() = default;
    CallerEvents(const CallerEvents &) = delete;
    CallerEvents &operator=(const CallerEvents &) = delete;
    virtual ~CallerEvents() = default;

    /*!
     * @brief Called for each complete request. The owner must call `CallerConnection::answer`
     * unless the connection closes first.
     */
    virtual void onRequest(const CallerConnectionPtr &connection, Request request) = 0;
    /*!
     * @brief Called when the connection rejects a request: it is malformed, exceeds the limits or
     * its header arrives too slowly. @param status HTTP status of the response.
     */
    virtual void onBadRequest(int status) = 0;
    /*! @brief Called once after the connection closed. The owner cancels the pending request. */
    virtual void onClosed(const CallerConnectionPtr &connection) = 0;
    /*! @return Size limits currently in force for requests. */
    [[nodiscard]] virtual RequestLimits requestLimits() const = 0;
};

/*!
 * @brief An HTTP/1.1 connection accepted from a caller. It serves one request at a time and keeps
 * reading meanwhile, so that it detects when the caller disconnects.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(boost::asio::ip::tcp::socket socket, CallerEvents &events, TimePoint now);

    /*! @brief Starts reading requests. */
    void start();

    /*!
     * @brief Sends the response to the current request.
     * @param closes Closes the connection once the response is sent.
     */
    void answer(const Answer &answer, bool closes);

    /*! @brief Closes the connection immediately. */
    void close();

    /*! @brief Closes the connection after the next response. An idle connection stays open. */
    void closeAfterResponse() noexcept;

    /*!
     * @brief Enforces the timeouts; the owner calls it periodically. Nothing happens while a
     * request waits for its response.
     * @param headerTimeout Longest time to receive a header; a slower caller gets status 408.
     * @param idleTimeout Longest time without progress in any other state.
     */
    void checkTimeouts(Millis headerTimeout, Millis idleTimeout, TimePoint now);

    /*! @return True if no request is being received or served and no response is being sent. */
    [[nodiscard]] bool isIdle() const noexcept
    {
        return !m_busy && m_reader.state() == RequestReader::State::Idle && m_output.empty();
    }
    [[nodiscard]] bool isClosed() const noexcept { return m_closed; }

private:
    void read();
    void onBytes(std::string_view bytes);
    void dispatch();
    void write();
    void shutdownAndClose();

    /*! Reading pauses when more than this many unparsed bytes of pipelined requests are buffered.
     */
    static constexpr std::size_t kPipelineBytes = 64 * 1024;

    boost::asio::ip::tcp::socket m_socket;
    CallerEvents &m_events;
    RequestReader m_reader;
    std::array<char, 4096> m_input{};
    std::deque<std::string> m_output;
    TimePoint m_lastChange; /*!< Start of the current request, or last progress of a response. */
    bool m_isHead = false;
    bool m_busy = false; /*!< A request was dispatched and has no response yet. */
    bool m_reading = false;
    bool m_writing = false;
    bool m_closesAfterWrite = false;
    bool m_closesWhenIdle = false;
    bool m_keepsAlive = true;
    bool m_closed = false;
};

} // namespace celeryramp::http
