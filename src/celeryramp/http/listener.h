#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/address.h"
#include "core/result.h"
#include "http/http_error.h"

namespace celeryramp::http {

/*! @brief Accepts TCP connections on one address until it is closed or destroyed. */
class Listener
{
public:
    using Accepted = std::function<void(boost::asio::ip::tcp::socket)>;

    /*! @param accepted Called with the socket of each new connection. */
    Listener(boost::asio::io_context &context, Accepted accepted)
        : m_acceptor{context}, m_accepted{std::move(accepted)}
    { }

    /*!
     * @brief Starts to listen and to accept connections.
     * @return An error if the address is invalid or cannot be listened on.
     */
    [[nodiscard]] Result<void, HttpError> open(const Address &address);

    /*! @brief Stops accepting connections. Those that wait to be accepted are reset. */
    void close();
    /*! @brief Accepts the connections that wait now, then stops accepting. */
    void acceptWaitingAndClose();

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Accepted m_accepted;
};

} // namespace celeryramp::http
