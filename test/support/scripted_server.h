#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

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
    };

    using Respond = std::function<Script(const http::Request &)>;

    ScriptedServer(boost::asio::io_context &context, const Address &address, std::string id);

    /*! @brief Replaces the default behaviour, which is a complete signed answer. */
    void setRespond(Respond respond) { m_respond = std::move(respond); }

    /*! @return A complete signed answer to the request. */
    [[nodiscard]] static std::string good(const http::Request &request, const std::string &body);

    std::vector<http::Request> seen; /*!< Received requests except health probes. */
    int openConnections = 0;

private:
    struct Connection;

    void accept(boost::asio::ip::tcp::socket socket);
    void read(const std::shared_ptr<Connection> &connection);
    [[nodiscard]] Script respond(const http::Request &request);

    std::string m_id;
    Respond m_respond;
    http::Listener m_listener;
};

} // namespace celeryramp::test
