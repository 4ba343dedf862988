#include "support/tcp_proxy.h"

#include <array>
#include <string>

#include <boost/asio/write.hpp>

namespace celeryramp::test {

struct TcpProxy::Direction
{
    Direction(boost::asio::ip::tcp::socket &a, boost::asio::ip::tcp::socket &b) : from{a}, to{b} { }

    boost::asio::ip::tcp::socket &from;
    boost::asio::ip::tcp::socket &to;
    std::array<char, 65536> input{};
    std::string held;
    bool isEnded = false;
};

struct TcpProxy::Pair
{
    explicit Pair(boost::asio::io_context &context, boost::asio::ip::tcp::socket it)
        : near{std::move(it)}, far{context}
    { }

    boost::asio::ip::tcp::socket near;
    boost::asio::ip::tcp::socket far;
    Direction inbound{near, far};
    Direction outbound{far, near};
};

TcpProxy::TcpProxy(boost::asio::io_context &context, const Address &address, Address target)
    : m_context{context}, m_target{std::move(target)},
      m_listener{context,
                 [this](boost::asio::ip::tcp::socket socket) { accept(std::move(socket)); }}
{
    if (const auto opened = m_listener.open(address); !opened) {
        throw std::runtime_error{opened.error().reason};
    }
}

void TcpProxy::accept(boost::asio::ip::tcp::socket socket)
{
    auto pair = std::make_shared<Pair>(m_context, std::move(socket));
    boost::system::error_code ec;
    pair->far.connect({boost::asio::ip::make_address(m_target.host), m_target.port}, ec);
    if (ec) {
        return;
    }
    m_pairs.push_back(pair);
    read(pair, pair->inbound);
    read(pair, pair->outbound);
}

void TcpProxy::read(const std::shared_ptr<Pair> &pair, Direction &direction)
{
    direction.from.async_read_some(
            boost::asio::buffer(direction.input),
            [this, pair, &direction](const boost::system::error_code &ec, std::size_t n) {
                direction.held.append(direction.input.data(), n);
                direction.isEnded = direction.isEnded || ec;
                flush(direction);
                if (!ec) {
                    read(pair, direction);
                }
            });
}

void TcpProxy::flush(Direction &direction)
{
    if (m_isSilent) {
        return;
    }
    boost::system::error_code ignored;
    boost::asio::write(direction.to, boost::asio::buffer(direction.held), ignored);
    direction.held.clear();
    if (direction.isEnded) {
        direction.to.close(ignored);
    }
}

void TcpProxy::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
    const auto pairs = m_pairs;
    for (const auto &pair : pairs) {
        flush(pair->inbound);
        flush(pair->outbound);
    }
}

void TcpProxy::resetAll()
{
    boost::system::error_code ignored;
    for (const auto &pair : m_pairs) {
        for (auto *socket : {&pair->near, &pair->far}) {
            socket->set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            socket->close(ignored);
        }
    }
    m_pairs.clear();
}

} // namespace celeryramp::test
