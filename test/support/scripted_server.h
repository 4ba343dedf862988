#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
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
        bool shutsDown = false; /*!< Ends its side only, after all bytes. */
        Millis pause{0}; /*!< Between the last byte and the end. */
    };

    /*! @return A script that sends each byte by itself. */
    [[nodiscard]] static Script byteByByte(std::string bytes);

    /*! Answers a request with a body before all of it has arrived. */
    struct EarlyAnswer
    {
        std::size_t bodyBytes = 0; /*!< Bytes of the body to read before. */
        bool readsOn = false; /*!< The rest of the body is read, else it is left. */
        std::function<Script(const http::Request &head)> respond;
    };
    /*! @brief Answers the next requests with a body early. They are not in `seen`. */
    void setRespondEarly(EarlyAnswer early) { m_early = std::move(early); }

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
    int earlyAnswers = 0;

private:
    struct Connection;

    void accept(boost::asio::ip::tcp::socket socket);
    void read(const std::shared_ptr<Connection> &connection);
    /*! @return True if the request on the connection was answered early. */
    bool answerEarly(const std::shared_ptr<Connection> &connection, std::string_view bytes);
    void end(const std::shared_ptr<Connection> &connection);
    void writeAfter(const std::shared_ptr<Connection> &connection, Millis delay);
    void write(const std::shared_ptr<Connection> &connection);
    [[nodiscard]] Script respond(const http::Request &request);

    boost::asio::io_context &m_context;
    std::string m_id;
    bool m_checksId = false;
    Respond m_respond;
    Respond m_respondHealth;
    std::optional<EarlyAnswer> m_early;
    http::Listener m_listener;
};

} // namespace celeryramp::test
