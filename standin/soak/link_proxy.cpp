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
/*! Bytes that a direction keeps before it stops reading. */
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
/*! Bounds what the kernel holds for a direction on the way in. */
constexpr int kReceiveBufferBytes = 1024 * 1024;

/*! Bytes forwarded at a time on a link with a limited rate. */
constexpr std::size_t kRatedPieceBytes = 4096;

/*! @return Most bytes that are forwarded at a time. */
std::size_t pieceBytes(const LinkState &state)
{
    if (state.isDripping) {
        return kDripBytes;
    }
    return state.bytesPerSecond > 0 ? kRatedPieceBytes : kMaxPendingBytes * 2;
}

/*! @return Time to wait after bytes were forwarded. */
Millis pauseAfter(const LinkState &state, std::size_t bytes)
{
    if (state.isDripping) {
        return kDripPause;
    }
    return state.bytesPerSecond > 0 ? Millis{bytes * 1000 / state.bytesPerSecond} : state.delay;
}

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
    std::string pending; /*!< Read, but not forwarded yet. */
    std::string output; /*!< Being written. */
    bool isReading = false;
    bool isForwarding = false;
    bool isEnded = false;
};

struct LinkProxy::Pair
{
    Pair(boost::asio::io_context &context, tcp::socket it)
        : near{std::move(it)}, far{context}, inbound{context, near, far, true}, outbound{context,
                                                                                         far, near,
                                                                                         false}
    {
        const boost::asio::socket_base::receive_buffer_size size{kReceiveBufferBytes};
        far.open(tcp::v4());
        near.set_option(size);
        far.set_option(size);
    }

    void close()
    {
        boost::system::error_code ignored;
        near.close(ignored);
        far.close(ignored);
    }

    tcp::socket near;
    tcp::socket far;
    Direction inbound;
    Direction outbound;
    LinkState state;
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
    pair->state = m_state;
    m_pairs.push_back(pair);
    pair->far.async_connect({boost::asio::ip::make_address(m_target.host), m_target.port},
                            [this, pair](const boost::system::error_code &ec) {
                                if (ec) {
                                    pair->close();
                                    return;
                                }
                                read(pair, pair->inbound);
                                read(pair, pair->outbound);
                            });
}

void LinkProxy::read(const std::shared_ptr<Pair> &pair, Direction &direction)
{
    if (direction.isReading || direction.isEnded || direction.pending.size() >= kMaxPendingBytes) {
        return;
    }
    direction.isReading = true;
    direction.from.async_read_some(
            boost::asio::buffer(direction.input),
            [this, pair, &direction](const boost::system::error_code &ec, std::size_t n) {
                direction.isReading = false;
                direction.isEnded = static_cast<bool>(ec);
                direction.pending.append(direction.input.data(), n);
                if (!direction.isForwarding) {
                    direction.isForwarding = true;
                    forwardAfter(pair, direction, pair->state.delay);
                }
                read(pair, direction);
            });
}

void LinkProxy::forwardAfter(const std::shared_ptr<Pair> &pair, Direction &direction, Millis pause)
{
    direction.timer.expires_after(pause);
    direction.timer.async_wait([this, pair, &direction](const boost::system::error_code &ec) {
        if (!ec) {
            forward(pair, direction);
        }
    });
}

void LinkProxy::forward(const std::shared_ptr<Pair> &pair, Direction &direction)
{
    if (direction.isInbound ? pair->state.isInboundHeld : pair->state.isOutboundHeld) {
        forwardAfter(pair, direction, kHoldCheck);
        return;
    }
    if (direction.pending.empty()) {
        direction.isForwarding = false;
        if (direction.isEnded) {
            pair->close();
        }
        return;
    }
    const auto n = std::min(pieceBytes(pair->state), direction.pending.size());
    direction.output = direction.pending.substr(0, n);
    direction.pending.erase(0, n);
    boost::asio::async_write(
            direction.to, boost::asio::buffer(direction.output),
            [this, pair, &direction](const boost::system::error_code &ec, std::size_t sent) {
                if (ec) {
                    pair->close();
                    return;
                }
                read(pair, direction);
                if (direction.pending.empty() && pair->state.bytesPerSecond == 0) {
                    forward(pair, direction);
                } else {
                    forwardAfter(pair, direction, pauseAfter(pair->state, sent));
                }
            });
}

void LinkProxy::setState(const LinkState &state)
{
    m_state = state;
    setPresentState(state);
}

void LinkProxy::setPresentState(const LinkState &state)
{
    for (const auto &weak : m_pairs) {
        if (const auto pair = weak.lock()) {
            pair->state = state;
        }
    }
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
