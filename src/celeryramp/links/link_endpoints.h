#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "core/address.h"
#include "core/result.h"
#include "links/link_error.h"

namespace celeryramp::links {

/*! @brief A WebSocket connection to another node. */
struct Connection
{
    std::weak_ptr<void> handle;
    bool isOutgoing = false;

    [[nodiscard]] bool operator==(const Connection &other) const noexcept
    {
        return !handle.owner_before(other.handle) && !other.handle.owner_before(handle);
    }
    [[nodiscard]] bool operator<(const Connection &other) const noexcept
    {
        return handle.owner_before(other.handle);
    }
};

/*! @brief Callbacks of `LinkEndpoints`, called on the thread that runs its I/O context. */
class ConnectionEvents
{
public:
    ConnectionEvents() = default;
    ConnectionEvents(const ConnectionEvents &) = delete;
    ConnectionEvents &operator=(const ConnectionEvents &) = delete;
    virtual ~ConnectionEvents() = default;

    /*! @brief A peer has opened a connection.
     * @param incarnation Of its process; empty if it does not say. */
    virtual void onAccepted(const Connection &connection, const Address &peer,
                            const std::string &incarnation)
            = 0;
    /*! @brief A connection to a peer has been opened. */
    virtual void onOpened(const Connection &connection, const std::string &incarnation) = 0;
    /*! @brief A connection has ended, or could not be opened. */
    virtual void onClosed(const Connection &connection) = 0;
    virtual void onMessage(const Connection &connection, std::string_view payload) = 0;
    /*! @brief The peer has answered a ping. @param payload That of the ping. */
    virtual void onPong(const Connection &connection, const std::string &payload) = 0;
};

/*! @brief Opens and accepts WebSocket connections between nodes. It decides nothing: `PeerLinks`
 * chooses which of them are used. */
class LinkEndpoints
{
public:
    /*!
     * @param self Address by which peers identify this node.
     * @param incarnation Of this process; sent with each upgrade.
     * @param events Must outlive this object.
     */
    LinkEndpoints(boost::asio::io_context &context, const Address &self,
                  const std::string &incarnation, ConnectionEvents &events);
    ~LinkEndpoints();
    LinkEndpoints(const LinkEndpoints &) = delete;
    LinkEndpoints &operator=(const LinkEndpoints &) = delete;

    /*! @return Nothing, or why the node cannot listen. */
    [[nodiscard]] Result<void, LinkError> listen(const Address &address);
    void stopListening();

    /*! @brief Begins to open a connection. @return Nothing if the address cannot be used. */
    [[nodiscard]] std::optional<Connection> open(const Address &peer);

    void write(const Connection &connection, const std::string &frame);
    void ping(const Connection &connection, const std::string &payload);
    /*! @return Bytes that were written and are not handed to the operating system yet. */
    [[nodiscard]] std::size_t bufferedBytes(const Connection &connection);
    /*! @brief Closes the socket without a closing handshake. */
    void closeSocket(const Connection &connection);

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryramp::links
