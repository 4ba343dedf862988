#include "support/scripted_server.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace celeryramp::test {

struct ScriptedServer::Connection
{
    explicit Connection(boost::asio::ip::tcp::socket it) : socket{std::move(it)} { }

    boost::asio::ip::tcp::socket socket;
    http::RequestReader reader;
    std::array<char, 4096> input{};
    Script script; /*!< Being sent. */
    std::string received; /*!< Of the current request, while it may be answered early. */
    bool isAnsweredEarly = false;
};

ScriptedServer::ScriptedServer(boost::asio::io_context &context, const Address &address,
                               std::string id)
    : m_context{context}, m_id{std::move(id)}, m_respond{[](const http::Request &request) {
          return Script{good(request, "ok"), false};
      }},
      m_listener{context,
                 [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); }}
{
    const auto opened = m_listener.open(address);
    if (!opened) {
        throw std::runtime_error{opened.error().reason};
    }
}

void ScriptedServer::restartAs(std::string id)
{
    m_id = std::move(id);
    m_checksId = true;
}

std::string ScriptedServer::good(const http::Request &request, const std::string &body)
{
    return head(request) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ScriptedServer::Script ScriptedServer::byteByByte(std::string bytes)
{
    Script script{bytes.substr(0, 1)};
    script.more = [bytes = std::move(bytes), i = std::size_t{1}]() mutable {
        return i < bytes.size() ? bytes.substr(i++, 1) : std::string{};
    };
    return script;
}

std::string ScriptedServer::head(const http::Request &request)
{
    return "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Request: "
            + std::string{http::findHeader(request.headers, "T-Request")} + "\r\n";
}

void ScriptedServer::accept(boost::asio::ip::tcp::socket socket)
{
    ++openConnections;
    read(std::make_shared<Connection>(std::move(socket)));
}

void ScriptedServer::read(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(
            boost::asio::buffer(connection->input),
            [this, connection](const boost::system::error_code &ec, std::size_t n) {
                if (ec) {
                    --openConnections;
                    boost::system::error_code ignored;
                    connection->socket.close(ignored);
                    return;
                }
                if (m_early && answerEarly(connection, {connection->input.data(), n})) {
                    if (m_early->readsOn) {
                        read(connection);
                    }
                    return;
                }
                const auto state = connection->reader.feed({connection->input.data(), n}, {});
                if (state == http::RequestReader::State::Done) {
                    connection->script = respond(connection->reader.take());
                    writeAfter(connection, connection->script.delay);
                }
                read(connection);
            });
}

bool ScriptedServer::answerEarly(const std::shared_ptr<Connection> &connection,
                                 std::string_view bytes)
{
    if (connection->isAnsweredEarly) {
        return true;
    }
    connection->received.append(bytes);
    const auto headEnd = connection->received.find("\r\n\r\n");
    const std::string_view head{connection->received.data(),
                                std::min(headEnd, connection->received.size())};
    if (headEnd == std::string::npos || head.find("Content-Length: ") == std::string_view::npos
        || connection->received.size() - headEnd - 4 < m_early->bodyBytes) {
        return false;
    }
    constexpr std::string_view kId = "T-Request: ";
    const auto id = head.substr(std::min(head.find(kId), head.size() - kId.size()) + kId.size());
    http::Request request;
    request.headers = {{"T-Request", std::string{id.substr(0, id.find('\r'))}}};
    connection->isAnsweredEarly = true;
    ++earlyAnswers;
    connection->script = m_early->respond(request);
    write(connection);
    return true;
}

void ScriptedServer::end(const std::shared_ptr<Connection> &connection)
{
    boost::system::error_code ignored;
    const auto &script = connection->script;
    if (script.shutsDown) {
        connection->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }
    if (script.closes) {
        if (script.resets) {
            connection->socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
        }
        connection->socket.close(ignored);
    }
}

void ScriptedServer::writeAfter(const std::shared_ptr<Connection> &connection, Millis delay)
{
    if (delay.count() == 0) {
        write(connection);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_context, delay);
    timer->async_wait([this, connection, timer](const boost::system::error_code &ec) {
        if (!ec) {
            write(connection);
        }
    });
}

void ScriptedServer::write(const std::shared_ptr<Connection> &connection)
{
    boost::asio::async_write(
            connection->socket, boost::asio::buffer(connection->script.bytes),
            [this, connection](const boost::system::error_code &ec, std::size_t n) {
                bytesSent += n;
                if (ec) {
                    return; // the reading side handles the end of the connection
                }
                auto &script = connection->script;
                script.bytes = script.more ? script.more() : std::string{};
                if (!script.bytes.empty()) {
                    write(connection);
                } else if (script.pause.count() > 0) {
                    const auto timer
                            = std::make_shared<boost::asio::steady_timer>(m_context, script.pause);
                    timer->async_wait([this, connection, timer](const boost::system::error_code &) {
                        end(connection);
                    });
                } else {
                    end(connection);
                }
            });
}

ScriptedServer::Script ScriptedServer::respond(const http::Request &request)
{
    if (request.target == "/health") {
        if (m_respondHealth) {
            return m_respondHealth(request);
        }
        return {"HTTP/1.1 200 OK\r\nT-Server: " + m_id + "\r\nContent-Length: 0\r\n\r\n", false};
    }
    seen.push_back(request);
    if (m_checksId && http::findHeader(request.headers, "T-Server") != m_id) {
        return {"HTTP/1.1 421 Misdirected Request\r\nT-Request: "
                        + std::string{http::findHeader(request.headers, "T-Request")}
                        + "\r\nContent-Length: 0\r\n\r\n",
                false};
    }
    return m_respond(request);
}

} // namespace celeryramp::test
