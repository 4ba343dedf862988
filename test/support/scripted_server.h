#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/time.h"
#include "http/listener.h"
#include "http/request_reader.h"

namespace celeryramp::test {

/*! @brief Backend server that sends scripted bytes and records the requests it receives. */
class ScriptedServer
{
public:
    /*! Bytes to send for a request; `closes` closes the connection afterwards. */
    struct Script
    {
        std::string bytes; /*!< Empty for no answer. */
        bool closes = false;
        bool resets = false; /*!< Together with `closes`: the connection is reset. */
        std::function<std::string()> more = {}; /*!< Returns further bytes once those before are
                                              sent; empty at the end. */
        Millis delay{0}; /*!< Before the first byte. */
    };

    using Respond = std::function<Script(const http::Request &)>;

    ScriptedServer(boost::asio::io_context &context, const Address &address, std::string id);

    /*! @brief Replaces the default behaviour, which is a complete signed answer. */
    void setRespond(Respond respond) { m_respond = std::move(respond); }

    /*! @brief Replaces the answers to health probes, which are good ones. */
    void setRespondHealth(Respond respond) { m_respondHealth = std::move(respond); }

    /*! @brief Gives the server another id, as after a restart. Requests for any other one are
     * rejected from now on. */
    void restartAs(std::string id);

    /*! @return A complete signed answer to the request. */
    [[nodiscard]] static std::string good(const http::Request &request, const std::string &body);

    /*! @return Status line and headers of a signed answer, without framing and empty line. */
    [[nodiscard]] static std::string head(const http::Request &request);

    std::size_t bytesSent = 0; /*!< Of all answers. */
    std::vector<http::Request> seen; /*!< Received requests except health probes. */
    int openConnections = 0;

private:
    struct Connection;

    void accept(boost::asio::ip::tcp::socket socket);
    void read(const std::shared_ptr<Connection> &connection);
    void writeAfter(const std::shared_ptr<Connection> &connection, Millis delay);
    void write(const std::shared_ptr<Connection> &connection);
    [[nodiscard]] Script respond(const http::Request &request);

    boost::asio::io_context &m_context;
    std::string m_id;
    bool m_checksId = false;
    Respond m_respond;
    Respond m_respondHealth;
    http::Listener m_listener;
};

} // namespace celeryramp::test
