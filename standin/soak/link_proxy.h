#pragma once

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/address.h"
#include "core/time.h"
#include "http/listener.h"

namespace standin::soak {

/*! @brief How a proxy treats the bytes of its connections. */
struct LinkState
{
    celeryramp::Millis delay{0}; /*!< Before bytes are forwarded, in order. */
    bool isInboundHeld = false; /*!< Bytes to the target wait until the hold ends. */
    bool isOutboundHeld = false; /*!< Bytes from the target wait. */
    bool isDripping = false; /*!< A few bytes at a time. */
    std::size_t bytesPerSecond = 0; /*!< In each direction of a connection; 0 means no limit. */

    /*! @return A state in which bytes wait in both directions. */
    [[nodiscard]] static LinkState held()
    {
        LinkState state;
        state.isInboundHeld = true;
        state.isOutboundHeld = true;
        return state;
    }
};

/*! @brief Loopback proxy in front of one node's address for peers. */
class LinkProxy
{
public:
    LinkProxy(boost::asio::io_context &context, const celeryramp::Address &address,
              celeryramp::Address target);

    /*! @brief Changes how present and new connections are treated. */
    void setState(const LinkState &state);
    /*! @brief Changes how present connections are treated, but not new ones. */
    void setPresentState(const LinkState &state);
    /*! @brief Resets all connections. */
    void resetAll();

private:
    struct Direction;
    struct Pair;

    void accept(boost::asio::ip::tcp::socket socket);
    void read(const std::shared_ptr<Pair> &pair, Direction &direction);
    void forward(const std::shared_ptr<Pair> &pair, Direction &direction);
    void forwardAfter(const std::shared_ptr<Pair> &pair, Direction &direction,
                      celeryramp::Millis pause);

    boost::asio::io_context &m_context;
    celeryramp::Address m_target;
    LinkState m_state;
    std::vector<std::weak_ptr<Pair>> m_pairs;
    celeryramp::http::Listener m_listener;
};

} // namespace standin::soak
