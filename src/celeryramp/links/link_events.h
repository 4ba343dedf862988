#pragma once

#include <string_view>

#include "core/address.h"
#include "links/peer_process.h"

namespace celeryramp::links {

/*! @brief What the end of a link says of the frames that were passed to it. */
enum class LinkLoss {
    NotOpened, /*!< The link could not be opened; none of its frames was sent. */
    Closed, /*!< The link was closed; frames may have been lost. Other links are not affected. */
    PeerGone /*!< No link to the process is left, or it has a successor; no response will come. */
};

/*! @brief Callbacks of `PeerLinks`, called on the thread that runs its I/O context. */
class LinkEvents
{
public:
    LinkEvents() = default;
    LinkEvents(const LinkEvents &) = delete;
    LinkEvents &operator=(const LinkEvents &) = delete;
    virtual ~LinkEvents() = default;

    /*! @brief A frame was received. */
    virtual void onFrame(const PeerProcess &peer, std::string_view frame) = 0;
    /*! @brief Anything arrived from a peer: a frame, or the answer to a ping. */
    virtual void onPeerHeard(const Address &peer) = 0;
    /*! @brief A link is in use from now on. The frames that waited for one to this node have been
     * sent to this process. */
    virtual void onLinkOpen(const PeerProcess &peer) = 0;
    /*! @brief A link has ended or could not be opened.
     * @param peer Its process; not known for `LinkLoss::NotOpened`. */
    virtual void onLinkLost(const PeerProcess &peer, LinkLoss loss) = 0;
    /*! @brief A peer with a pending response is silent. Its link is still read, but new frames are
     * sent on another one. */
    virtual void onLinkSilent(const PeerProcess &peer) = 0;
    /*! @brief The process of a peer opened another link. The one before it is still read, but what
     * arrives on the two is in no order. */
    virtual void onLinkReplaced(const PeerProcess &peer) = 0;
    /*! @return True while a response from this peer is pending. */
    [[nodiscard]] virtual bool isAwaiting(const PeerProcess &peer) const = 0;
};

} // namespace celeryramp::links
