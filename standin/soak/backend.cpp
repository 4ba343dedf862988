#include "soak/backend.h"

#include <array>
#include <cstdlib>
#include <deque>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "core/boot_clock.h"
#include "http/request_reader.h"
#include "names.h"

namespace standin::soak {

namespace {

using boost::asio::ip::tcp;
using celeryramp::bootNow;
using celeryramp::Millis;
namespace http = celeryramp::http;
namespace platform = celeryramp::platform;

/*! Longest body that is read; tests set lower limits at the nodes. */
constexpr std::size_t kMaxBodyBytes = 64U << 20U;
/*! Share of the answers that a fault hits. */
constexpr double kFaultShare = 0.4;
constexpr std::size_t kEndlessBlock = 16'384;

std::string statusAnswer(const std::string &line, const std::string &headers)
{
    return "HTTP/1.1 " + line + "\r\n" + headers + "Content-Length: 0\r\n\r\n";
}

} // namespace

std::string bodyOf(const std::string &requestId, std::size_t size)
{
    std::string body = requestId + ":";
    body.reserve(size + requestId.size());
    while (body.size() < size) {
        body += requestId;
    }
    body.resize(size);
    return body;
}

struct Backend::Connection
{
    Connection(boost::asio::io_context &context, tcp::socket it)
        : socket{std::move(it)}, timer{context}
    { }

    tcp::socket socket;
    boost::asio::steady_timer timer; /*!< Ends the work on the current request. */
    http::RequestReader reader;
    std::array<char, 8192> input{};
    std::deque<std::string> output;
    std::string endless;
    bool closesAfterOutput = false;
    bool isClosed = false;
};

Backend::Backend(boost::asio::io_context &context, const celeryramp::Address &address,
                 std::string zone, std::uint64_t seed, Executed executed)
    : m_context{context}, m_zone{std::move(zone)}, m_random{seed}, m_executed{std::move(executed)},
      m_listener{context, [this](tcp::socket socket) {
                     read(std::make_shared<Connection>(m_context, std::move(socket)));
                 }}
{
    if (const auto opened = m_listener.open(address); !opened) {
        throw std::runtime_error{"backend cannot listen: " + opened.error().reason};
    }
}

void Backend::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(
            boost::asio::buffer(connection->input),
            [this, connection](const boost::system::error_code &ec, std::size_t n) {
                if (ec) {
                    // A caller that leaves ends the work.
                    connection->isClosed = true;
                    connection->timer.cancel();
                    return;
                }
                const auto state = connection->reader.feed({connection->input.data(), n},
                                                           {65'536, kMaxBodyBytes});
                if (state == http::RequestReader::State::Done) {
                    handle(connection, connection->reader.take());
                }
                read(connection);
            });
}

void Backend::handle(const std::shared_ptr<Connection> &connection, const http::Request &request)
{
    const auto header = [&request](std::string_view name) {
        return std::string{http::findHeader(request.headers, name)};
    };
    if (request.target == "/health") {
        send(connection,
             statusAnswer("200 OK", std::string{platform::kServerIdHeader} + ": " + m_id + "\r\n"),
             false);
        return;
    }
    const auto id = header(platform::kRequestIdHeader);
    const auto idHeader = std::string{platform::kRequestIdHeader} + ": " + id + "\r\n";
    if (header(platform::kTargetServerHeader) != m_id) {
        send(connection, statusAnswer("421 Misdirected", idHeader), false);
        return;
    }
    Execution execution{id, m_id, m_zone, header(platform::kAccountHeader), bootNow(), {}, {}};
    m_executed(execution);
    const auto size = static_cast<std::size_t>(
            std::atoi(request.target.c_str() + request.target.rfind('/') + 1));
    const auto body = bodyOf(id, size);
    auto answer = "HTTP/1.1 200 OK\r\n" + idHeader + std::string{platform::kServerStampHeader}
            + ": s\r\n";
    if (size % 2 == 0) {
        answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    } else {
        answer += "Transfer-Encoding: chunked\r\n\r\n" + http::chunkHeader(body.size()) + body
                + "\r\n0\r\n\r\n";
    }
    const auto fault = m_random.unit() < kFaultShare ? m_fault : AnswerFault::None;
    const bool isSlow = size % 16 == 0;
    const Millis work{10 + static_cast<int>(m_random.below(60)) + (isSlow ? 1200 : 0)};
    connection->timer.expires_after(work);
    connection->timer.async_wait(
            [this, connection, fault, execution = std::move(execution),
             answer = std::move(answer)](const boost::system::error_code &ec) mutable {
                execution.endedAt = bootNow();
                m_executed(execution);
                if (ec || fault == AnswerFault::Hangs) {
                    return;
                }
                switch (fault) {
                case AnswerFault::Lost:
                    send(connection, {}, true);
                    break;
                case AnswerFault::Truncated:
                    answer.resize(answer.size() / 2);
                    send(connection, std::move(answer), true);
                    break;
                case AnswerFault::Endless:
                    sendEndless(connection);
                    break;
                case AnswerFault::Twice: {
                    // The copy comes where the next answer is due.
                    const auto copy = answer;
                    send(connection, std::move(answer), false);
                    const auto timer = std::make_shared<boost::asio::steady_timer>(
                            m_context, Millis{static_cast<int>(m_random.below(30))});
                    timer->async_wait([this, connection, timer,
                                       copy](const boost::system::error_code &error) {
                        if (!error) {
                            send(connection, copy, false);
                        }
                    });
                    break;
                }
                default:
                    send(connection, std::move(answer), false);
                }
            });
}

void Backend::send(const std::shared_ptr<Connection> &connection, std::string bytes, bool closes)
{
    connection->output.push_back(std::move(bytes));
    connection->closesAfterOutput = connection->closesAfterOutput || closes;
    if (connection->output.size() == 1) {
        write(connection);
    }
}

void Backend::write(const std::shared_ptr<Connection> &connection)
{
    boost::asio::async_write(connection->socket, boost::asio::buffer(connection->output.front()),
                             [this, connection](const boost::system::error_code &ec, std::size_t) {
                                 connection->output.pop_front();
                                 if (!connection->output.empty() && !ec) {
                                     write(connection);
                                 } else if (connection->closesAfterOutput) {
                                     boost::system::error_code ignored;
                                     connection->socket.close(ignored);
                                 }
                             });
}

void Backend::sendEndless(const std::shared_ptr<Connection> &connection)
{
    if (connection->isClosed) {
        return;
    }
    connection->endless.assign(kEndlessBlock, 'x');
    boost::asio::async_write(connection->socket, boost::asio::buffer(connection->endless),
                             [this, connection](const boost::system::error_code &ec, std::size_t) {
                                 if (!ec) {
                                     sendEndless(connection);
                                 }
                             });
}

} // namespace standin::soak
