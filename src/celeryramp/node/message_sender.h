#pragma once

#include <cstdint>
#include <string>

#include "transport/peer_transport.h"
#include "wire/codec.h"

namespace celeryramp {

/*! @brief Sends messages to the node of any server, including this one. */
class MessageSender
{
public:
    virtual ~MessageSender() = default;

    /*! @return The link used; 0 when the message was dropped immediately. */
    virtual LinkId post(const std::string &server, Message message, std::uint64_t token = 0) = 0;

    /*! @brief Answers on the link that a message arrived on; link 0 is this node. */
    virtual void answer(LinkId link, Message message) = 0;
};

} // namespace celeryramp
