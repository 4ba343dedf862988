#pragma once

#include <cstdint>
#include <string>

#include "core/address.h"
#include "wire/codec.h"

namespace celeryramp {

/*! @brief Identity of one connection, never used again; 0 is none. */
using LinkId = std::uint64_t;

/*! @brief Where the node of a server is to be found. */
struct PeerPlace
{
    Address address; /*!< Port 0 when not known. */
    std::string zone;
};

/*! @brief What the transport tells the node. Calls come from the transport's own thread. */
class PeerEvents
{
public:
    virtual ~PeerEvents() = default;

    /*! @brief A message arrived. @param from Name of the peer's server. */
    virtual void onPeerMessage(const std::string &from, LinkId link, Message message) = 0;

    /*! @brief A peer introduced itself. */
    virtual void onPeerUp(const std::string &name, LinkId link) = 0;

    /*!
     * @brief A connection ended.
     * @param refused The peer's host answered that nobody listens there.
     */
    virtual void onPeerLost(const std::string &name, LinkId link, bool refused) = 0;

    /*! @brief A message was certainly not sent. @param token Identity given with it. */
    virtual void onUnsent(const std::string &name, std::uint64_t token) = 0;

    /*! @return Where the node of a server is to be found. */
    [[nodiscard]] virtual PeerPlace placeOf(const std::string &name) = 0;
};

/*! @brief Sends typed messages to the nodes of other servers. */
class PeerTransport
{
public:
    virtual ~PeerTransport() = default;

    /*!
     * @brief Sends to a node, connecting first when needed.
     * @param token Reported by `onUnsent` when the message certainly was not sent; 0 for none.
     * @return The link used; 0 when the message was dropped at once.
     */
    virtual LinkId send(const std::string &name, const Message &message, std::uint64_t token) = 0;

    /*! @brief Sends on the link that a message came by. @return False when that link is gone. */
    virtual bool reply(LinkId link, const Message &message) = 0;
};

} // namespace celeryramp
