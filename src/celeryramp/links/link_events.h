#pragma once

#include <string_view>

#include "core/address.h"

namespace celeryramp::links {

/*! @brief Callbacks of `PeerLinks`, called on the thread that runs its I/O context. */
class LinkEvents
{
public:
    LinkEvents() = default;
    LinkEvents(const LinkEvents &) = delete;
    LinkEvents &operator=(const LinkEvents &) = delete;
    virtual ~LinkEvents() = default;

    /*! @brief A frame was received. */
    virtual void onFrame(const Address &peer, std::string_view frame) = 0;
    /*! @brief A link has been opened. */
    virtual void onLinkOpen(const Address &peer) = 0;
    /*!
     * @brief A link has been closed or could not be opened.
     * @param wasOpen If false, none of the frames passed to the link was sent.
     */
    virtual void onLinkLost(const Address &peer, bool wasOpen) = 0;
    /*! @return True while a response from this peer is pending. */
    [[nodiscard]] virtual bool isAwaiting(const Address &peer) const = 0;
};

} // namespace celeryramp::links
