#include "soak/link_proxy.h"

#include <array>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace standin::soak {

namespace {

using boost::asio::ip::tcp;
using celeryramp::Millis;

constexpr std::size_t kDripBytes = 200;
constexpr Millis kDripPause{10};
/*! Interval at which held bytes are looked at again. */
constexpr Millis kHoldCheck{20};

} // namespace

struct LinkProxy::Direction
{
    Direction(boost::asio::io_context &context, tcp::socket &a, tcp::socket &b, bool inbound)
        : from{a}, to{b}, timer{context}, isInbound{inbound}
    { }

    tcp::socket &from;
    tcp::socket &to;
    boost::asio::steady_timer timer;
    bool isInbound;
    std::array<char, 16384> input{};
    std::string pending;
};

struct LinkProxy::Pair
{
    Pair(boost::asio::io_context &context, tcp::socket it) : near{std::move(it)}, far{context} { }

    void close()
    {
        boost::system::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }

    tcp::socket near;
    tcp::socket far;
    std::unique_ptr<Direction> inbound;
    std::unique_ptr<Direction> outbound;
};

LinkProxy::LinkProxy(boost::asio::io_context &context, const celeryramp::Address &address,
                     celeryramp::Address target)
    : m_context{context}, m_target{std::move(target)}, m_listener{context,
                                                                  [this](tcp::socket socket) {
                                                                      accept(std::move(socket));
                                                                  }}
{
    if (const auto opened = m_listener.open(address); !opened) {
        throw std::runtime_error{"proxy cannot listen on " + opened.error().place + ": "
                                 + opened.error().reason};
    }
}

void LinkProxy::accept(tcp::socket socket)
{
    auto pair = std::make_shared<Pair>(m_context, std::move(socket));
    pair->inbound = std::make_unique<Direction>(m_context, pair->near, pair->far, true);
    pair->outbound = std::make_unique<Direction>(m_context, pair->far, pair->near, false);
    m_pairs.push_back(pair);
    pair->far.async_connect({boost::asio::ip::make_address(m_target.host), m_target.port},
                            [this, pair](const boost::system::error_code &ec) {
                                if (ec) {
                                    pair->close();
                                    return;
                                }
                                read(pair, *pair->inbound);
                                read(pair, *pair->outbound);
                            });
}

void LinkProxy::read(const std::shared_ptr<Pair> &pair, Direction &direction)
{
    direction.from.async_read_some(
            boost::asio::buffer(direction.input),
            [this, pair, &direction](const boost::system::error_code &ec, std::size_t n) {
                if (ec) {
                    pair->close();
                    return;
                }
                direction.pending.assign(direction.input.data(), n);
                direction.timer.expires_after(m_state.delay);
                direction.timer.async_wait(
                        [this, pair, &direction](const boost::system::error_code &error) {
                            if (!error) {
                                forward(pair, direction);
                            }
                        });
            });
}

void LinkProxy::forward(const std::shared_ptr<Pair> &pair, Direction &direction)
{
    const bool isHeld = direction.isInbound ? m_state.isInboundHeld : m_state.isOutboundHeld;
    const auto waitThenForward = [this, pair, &direction](Millis pause) {
        direction.timer.expires_after(pause);
        direction.timer.async_wait([this, pair, &direction](const boost::system::error_code &ec) {
            if (!ec) {
                forward(pair, direction);
            }
        });
    };
    if (isHeld) {
        waitThenForward(kHoldCheck);
        return;
    }
    const auto n = m_state.isDripping ? std::min(kDripBytes, direction.pending.size())
                                      : direction.pending.size();
    boost::asio::async_write(direction.to, boost::asio::buffer(direction.pending.data(), n),
                             [this, pair, &direction, waitThenForward](
                                     const boost::system::error_code &ec, std::size_t written) {
                                 if (ec) {
                                     pair->close();
                                     return;
                                 }
                                 direction.pending.erase(0, written);
                                 if (direction.pending.empty()) {
                                     read(pair, direction);
                                 } else {
                                     waitThenForward(kDripPause);
                                 }
                             });
}

void LinkProxy::setState(const LinkState &state)
{
    m_state = state;
}

void LinkProxy::resetAll()
{
    for (const auto &weak : m_pairs) {
        if (const auto pair = weak.lock()) {
            boost::system::error_code ignored;
            pair->near.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            pair->far.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
            pair->close();
        }
    }
    m_pairs.clear();
}

} // namespace standin::soak
