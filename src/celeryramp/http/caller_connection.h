#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

#include "core/time.h"
#include "http/close_decision.h"
#include "http/message.h"
#include "http/request_reader.h"
#include "http/response_writer.h"

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

    /*! @brief Called for each complete request. The owner must complete the response unless the
     * connection closes first. */
    virtual void onRequest(ResponseWriter response, Request request) = 0;
    /*!
     * @brief Called when the connection rejects a request: it is malformed, exceeds the limits or
     * its header arrives too slowly. @param status HTTP status of the response.
     */
    virtual void onBadRequest(int status) = 0;
    /*! @brief Called once after the connection closed. The owner cancels its pending requests. */
    virtual void onClosed(const CallerConnectionPtr &connection) = 0;
    /*!
     * @brief Called when more of a request arrives that is long or unfinished.
     * @param bytes Bytes that the connection now holds of requests that were not passed on.
     * @return False if there is no room for them; the request is then refused with status 503.
     */
    [[nodiscard]] virtual bool mayHold(const CallerConnectionPtr & /*connection*/,
                                       std::size_t /*bytes*/)
    {
        return true;
    }
    /*! @return Size limits currently in force for requests. */
    [[nodiscard]] virtual RequestLimits requestLimits() const = 0;
    /*!
     * @return True if the request may be executed while earlier requests of its connection are. A
     * request that must not be repeated may not: if the connection closes after an earlier
     * response, the caller takes it for unread and sends it again.
     */
    [[nodiscard]] virtual bool mayOverlap(const Request & /*request*/) const { return false; }
    /*! @brief Called when bytes of a response body begun with `ResponseWriter::begin` were handed
     * to the operating system. @param id Number of the request on its connection. */
    virtual void onBodyWritten(const CallerConnection & /*connection*/, std::uint64_t /*id*/,
                               std::size_t /*bytes*/)
    { }
};

/*!
 * @brief An HTTP/1.1 connection accepted from a caller.
 *
 * It keeps reading while requests are served, so that it detects when the caller disconnects.
 * Pipelined requests are passed on while earlier ones are served, if `CallerEvents::mayOverlap`
 * allows it; responses are sent in the order of the requests. Nothing is passed on behind a
 * response that closes the connection.
 */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /*! Requests of one connection that are served at the same time. */
    static constexpr std::size_t kMaxOverlapping = 16;

    CallerConnection(boost::asio::ip::tcp::socket socket, CallerEvents &events, TimePoint now);

    /*! @brief Starts reading requests. */
    void start();

    /*! @name Responses, see `ResponseWriter` */
    /*!@{*/
    void answer(std::uint64_t id, const Answer &answer);
    void begin(std::uint64_t id, const Answer &head, std::optional<std::uint64_t> length);
    void append(std::uint64_t id, std::string bytes, bool isLast);
    void abort(std::uint64_t id, const Answer &replacement);
    /*!@}*/

    /*! @brief Closes the connection immediately. */
    void close();

    /*! @brief Closes the connection after the response to the last pending request, or after the
     * next one if none is pending or that response has begun. An idle connection stays open. */
    void closeAfterResponse() noexcept;

    /*!
     * @brief Enforces the timeouts; the owner calls it periodically. Nothing happens while a
     * request waits for its response.
     * @param headerTimeout Longest time to receive a header; a slower caller gets status 408.
     * @param idleTimeout Longest time without progress in any other state.
     */
    void checkTimeouts(Millis headerTimeout, Millis idleTimeout, TimePoint now);

    /*! @return Time for which no request was received or served and no response was sent; zero
     * while one is. */
    [[nodiscard]] Millis idleFor(TimePoint now) const noexcept
    {
        const bool isIdle = m_pending.empty() && !m_isLingering
                && m_reader.state() == RequestReader::State::Idle;
        return isIdle ? millisBetween(m_lastChange, now) : Millis{0};
    }
    [[nodiscard]] bool isClosed() const noexcept { return m_closed; }

    /*! @return Bytes of requests that were not passed on yet. */
    [[nodiscard]] std::size_t heldBytes() const
    {
        return m_reader.heldBytes() + (m_next ? m_next->body.capacity() : 0);
    }
    /*! @return True if a request is being served, or waits to be passed on. */
    [[nodiscard]] bool isServed() const noexcept { return !m_pending.empty() || m_next; }
    /*! @return Time since the current request began or a response made progress. */
    [[nodiscard]] Millis unchangedFor(TimePoint now) const noexcept
    {
        return millisBetween(m_lastChange, now);
    }
    /*! @return Bytes of responses that the caller has not taken yet. */
    [[nodiscard]] std::size_t unsentBytes() const noexcept { return m_unsentBytes; }
    /*! @return Time for which the caller has taken nothing of a response that waits for it. */
    [[nodiscard]] Millis stalledFor(TimePoint now) const noexcept
    {
        return m_writing ? millisBetween(m_lastChange, now) : Millis{0};
    }
    /*! @brief Resets the connection, so that an unfinished response does not look complete. */
    void reset();

private:
    /*! A request that was passed on, with the part of its response that is not sent yet. */
    struct Pending
    {
        std::uint64_t id = 0;
        bool isHead = false;
        bool isHttp10 = false;
        bool mayOverlap = false;
        bool isBegun = false; /*!< The body of its response arrives in pieces. */
        bool isChunked = false;
        bool isComplete = false; /*!< `output` ends the response. */
        bool isAborted = false;
        bool closes = false; /*!< The connection closes after the response. */
        bool isSending = false; /*!< Some bytes of the response may have been sent. */
        std::deque<std::string> output;
        std::deque<std::size_t> bodyBytes; /*!< Bytes of the body in each piece of `output`. */
    };

    /*! @brief Adds a piece of a response. @param bodyBytes Part of it that belongs to the body. */
    void addOutput(Pending &pending, std::string bytes, std::size_t bodyBytes);
    void read();
    void onBytes(std::string_view bytes);
    void scheduleDispatch();
    /*! @brief Passes on as many of the received requests as may be served now. */
    void dispatch();
    [[nodiscard]] bool mayPassOn(bool mayOverlap) const;
    /*! @param keepsAlive False if nothing may be passed on behind the request. */
    Pending &addPending(const Request &request, bool mayOverlap, bool keepsAlive);
    [[nodiscard]] Pending *findPending(std::uint64_t id);
    void rejectRequest(int status);
    void write();
    void onWritten();
    void shutdownAndClose();

    /*! Reading pauses when more than this many unparsed bytes of pipelined requests are buffered.
     */
    static constexpr std::size_t kPipelineBytes = 64 * 1024;

    boost::asio::ip::tcp::socket m_socket;
    CallerEvents &m_events;
    RequestReader m_reader;
    std::array<char, 4096> m_input{};
    std::deque<Pending> m_pending; /*!< In the order of the requests. */
    std::optional<Request> m_next; /*!< Received, but it may not be passed on yet. */
    std::uint64_t m_lastId = 0;
    std::size_t m_unsentBytes = 0;
    TimePoint m_lastChange; /*!< Start of the current request, or last progress of a response. */
    bool m_reading = false;
    bool m_isHeld = false; /*!< The owner was told of held bytes. */
    bool m_writing = false;
    bool m_isDispatchScheduled = false;
    CloseDecision m_closeDecision;
    bool m_isLingering = false; /*!< The last response is sent; what arrives is discarded. */
    bool m_closed = false;
};

} // namespace celeryramp::http
