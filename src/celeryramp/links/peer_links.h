#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/address.h"
#include "core/result.h"
#include "core/time.h"
#include "links/link_error.h"
#include "links/link_events.h"
#include "links/peer_process.h"

namespace celeryramp::links {

/*! Time limit for opening a link; its frames then count as not sent. */
inline constexpr Millis kOpenTimeout{400};
/*! Time without data from a peer with a pending response after which the peer is pinged. */
inline constexpr Millis kSilenceBeforePing{400};
/*! Time without data from a peer with a pending response after which its link counts as silent. */
inline constexpr Millis kSilenceBeforeDetach{1500};
/*! Time after which a silent link is closed; longer than any caller waits for an answer. */
inline constexpr Millis kSilenceBeforeClose{10'000};
/*! Delay after a link could not be opened or was unresponsive before the peer is tried again. */
inline constexpr Millis kReopenPause{500};
/*! Limit of unsent bytes for all peers unless another one is set. */
inline constexpr std::size_t kDefaultMaxTotalBytes = 32 * 1024 * 1024;

/*!
 * @brief WebSocket links to other nodes, at most one in use per pair of nodes.
 *
 * A link on which a peer stays silent is detached: another one is opened for new calls, while the
 * silent one is still read, since the peer may only be slow or stopped for a while.
 *
 * The processes of a node follow one another at its address, and what one of them sent can arrive
 * after its successor was heard. Each frame is therefore reported with the process that sent it,
 * and can speak for that process only. Links of different processes are read side by side until one
 * process is known to be the successor, see `ProcessOrder`; those of the former one are closed
 * then.
 */
class PeerLinks
{
public:
    /*!
     * @param self Address by which peers reach and identify this node.
     * @param events Must outlive this object.
     */
    PeerLinks(boost::asio::io_context &context, const Address &self, LinkEvents &events);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /*! @brief Starts to accept links. @return Nothing, or why the node cannot listen. */
    [[nodiscard]] Result<void, LinkError> listen(const Address &address);

    /*! @brief Limits the unsent bytes for all peers, see `hasRoomForFrame`. */
    void setTotalLimit(std::size_t bytes) noexcept;

    /*!
     * @brief Sends a frame, or queues it while the link is being opened. Opens a link if none
     * exists.
     * @return False if the frame is refused: the peer is unreachable or its send buffer is full.
     */
    [[nodiscard]] bool send(const Address &peer, std::string frame, TimePoint now);

    /*!
     * @brief Sends a frame that belongs to a call that was sent or received before, to the process
     * that has the call. Unlike `send` it also uses a silent link if there is no other, so that the
     * frame arrives when the peer goes on, and opens none.
     * @param peer Not known for a call that waits for a link itself.
     */
    [[nodiscard]] bool sendFollowUp(const PeerProcess &peer, std::string frame, TimePoint now);

    /*! @return Process that gets the frames of `send`; not known while no link to it is open. */
    [[nodiscard]] PeerProcess processInUse(const Address &peer) const;

    /*! @return Incarnation of this process. */
    [[nodiscard]] const std::string &incarnation() const noexcept;

    /*! @brief Provokes a sign of life: pings the peer, or opens a link to it. */
    void probe(const Address &peer, TimePoint now);

    /*! @return True if a link to the peer is open. */
    [[nodiscard]] bool isOpen(const Address &peer) const;

    /*! @return Processes with an open link in use. */
    [[nodiscard]] std::vector<PeerProcess> openPeers() const;

    /*! @return False for `kReopenPause` after a failure, and while a ping is overdue. */
    [[nodiscard]] bool isReachable(const Address &peer, TimePoint now) const;

    /*!
     * @return True if opening a link failed or a link was closed as unresponsive, and none has been
     * opened since.
     */
    [[nodiscard]] bool hasFailed(const Address &peer) const;

    /*! @return Bytes of frames that are not handed to the operating system yet, over all links. */
    [[nodiscard]] std::size_t unsentBytes() const;
    /*! @return The same, with silent links and with frames that wait for a link to open. */
    [[nodiscard]] std::size_t heldBytes() const;

    /*! @brief Pings silent peers and detaches silent links; to be called periodically. */
    void sweep(TimePoint now);

    /*! @return Total payload bytes of frames sent and received. */
    [[nodiscard]] std::uint64_t frameBytes() const noexcept;

    /*! @brief Closes all links and stops listening. */
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace celeryramp::links
