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

/*! @brief A control message from a peer. */
struct PeerMessageEvent
{
    std::string from;
    Message message;
};

/*! @brief A peer connected and identified itself. */
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

/*! @brief A complete configuration was read from the platform. */
struct PlatformDocumentEvent
{
    ConfigDocument document;
    TimePoint readAt; /*!< When its manifest was read. */
};

/*! @brief The platform's manifest was read and is not wanted: no newer than the one in force. */
struct PlatformManifestEvent
{
    ConfigStamp stamp;
    TimePoint readAt;
};

/*! @brief The platform's list of instances was read. */
struct InstanceListEvent
{
    InstanceList list;
    bool restored = false; /*!< Starts a new history of lists, whose indices may be lower. */
};

/*! @brief This node has rumours to publish to all nodes. */
struct PublishEvent
{
    std::vector<Rumour> rumours;
};

/*! @brief This node starts to leave and must announce it. */
struct LeaveEvent
{
};

/*! @brief Any event handled by the control service. */
using ControlEvent
        = std::variant<PeerMessageEvent, PeerUpEvent, PeerLostEvent, PlatformDocumentEvent,
                       PlatformManifestEvent, InstanceListEvent, PublishEvent, LeaveEvent>;

} // namespace celeryramp
