#pragma once

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/address.h"
#include "http/listener.h"

namespace celeryramp::test {

/*! @brief Forwards TCP connections and can keep silent or reset them. */
class TcpProxy
{
public:
    TcpProxy(boost::asio::io_context &context, const Address &address, Address target);

    /*! @brief Holds back all bytes in both directions; they are forwarded once it ends. */
    void setSilent(bool isSilent);
    /*! @brief Resets all connections. */
    void resetAll();

private:
    struct Direction;
    struct Pair;

    void accept(boost::asio::ip::tcp::socket socket);
    void read(const std::shared_ptr<Pair> &pair, Direction &direction);
    /*! @brief Forwards what was read, unless the proxy is silent. */
    void flush(Direction &direction);

    boost::asio::io_context &m_context;
    Address m_target;
    bool m_isSilent = false;
    std::vector<std::shared_ptr<Pair>> m_pairs;
    http::Listener m_listener;
};

} // namespace celeryramp::test
