#pragma once

#include <cstddef>
#include <vector>

#include "http/client_connection.h"

namespace celeryramp::http {

/*! @brief Timeouts and limits for the connections of a pool. */
struct PoolSettings
{
    Millis connectTimeout{500};
    Millis idleLimit{4000}; /*!< Longest idle time of a reused connection. */
    std::size_t bodyLimit = 256 * 1024; /*!< Largest response body that is held, in bytes. What was
                                           passed on in pieces does not count. */
};

/*! @brief Pool of persistent connections to one server. */
class ClientPool
{
public:
    ClientPool(boost::asio::io_context &context, Address address, PoolSettings settings)
        : m_context{context}, m_address{std::move(address)}, m_settings{settings}
    { }

    /*!
     * @brief Sends a request on the most recently used free connection, or on a new one.
     * @param maxIdle Longest idle time of a connection to reuse. A server can close an idle
     * connection unnoticed, so requests that must not be repeated use a shorter time.
     * @return The connection that carries the request, for cancelling it.
     */
    ClientConnectionPtr send(Exchange exchange, Millis maxIdle, TimePoint now);

    /*! @brief Closes connections that exceed their idle limit. */
    void sweep(TimePoint now);

    /*! @brief Closes all free connections. */
    void closeIdle();

    [[nodiscard]] std::size_t idle() const noexcept { return m_idle.size(); }

private:
    /*! @return Idle time after which the connection is closed. */
    [[nodiscard]] Millis idleLimitOf(const ClientConnection &connection) const;

    boost::asio::io_context &m_context;
    Address m_address;
    PoolSettings m_settings;
    std::vector<ClientConnectionPtr> m_idle; /*!< Most recently used last. */
};

} // namespace celeryramp::http
