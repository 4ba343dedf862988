#pragma once

#include <cstdint>
#include <string>

#include "transport/peer_transport.h"
#include "wire/codec.h"

namespace celeryramp {

/*! @brief Sends to any server's node, this one included. */
class PostOffice
{
public:
    virtual ~PostOffice() = default;

    /*! @return The link used; 0 when the message was dropped at once. */
    virtual LinkId post(const std::string &server, Message message, std::uint64_t token = 0) = 0;

    /*! @brief Answers on the link a message came by; link 0 is this node itself. */
    virtual void answer(LinkId link, Message message) = 0;
};

} // namespace celeryramp
