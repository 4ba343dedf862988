#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "config/config_document.h"
#include "transport/peer_transport.h"
#include "transport/platform_source.h"
#include "wire/codec.h"

namespace celeryramp {

/*! @brief A control message of a peer. */
struct PeerMessageEvent
{
    std::string from;
    Message message;
};

/*! @brief A peer introduced itself. */
struct PeerUpEvent
{
    std::string name;
};

/*! @brief A connection to a peer ended. */
struct PeerLostEvent
{
    std::string name;
    bool refused = false;
};

/*! @brief The platform delivered a whole configuration. */
struct PlatformDocumentEvent
{
    ConfigDocument document;
};

/*! @brief The platform answered and had nothing newer. */
struct PlatformConfirmedEvent
{
};

/*! @brief The platform's list of instances was read. */
struct InstanceListEvent
{
    InstanceList list;
};

/*! @brief This node learned facts for all. */
struct PublishEvent
{
    std::vector<Rumour> rumours;
};

/*! @brief This node is to announce that it leaves. */
struct LeaveEvent
{
};

/*! @brief Anything the control duty handles. */
using ControlEvent
        = std::variant<PeerMessageEvent, PeerUpEvent, PeerLostEvent, PlatformDocumentEvent,
                       PlatformConfirmedEvent, InstanceListEvent, PublishEvent, LeaveEvent>;

} // namespace celeryramp
