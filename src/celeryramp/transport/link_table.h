#pragma once

#include <map>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "transport/link.h"

namespace celeryramp {

/*! @brief What became of a frame that was to wait for its connection. */
enum class WaitResult {
    NotNeeded, /*!< The connection is open; send at once. */
    Waits,
    Full /*!< Too many wait; the frame is dropped. */
};

/*! @brief All connections of a mesh by identity, library handle and peer. Safe to use from several
 * threads. */
class LinkTable
{
public:
    using Handle = std::weak_ptr<void>;

    /*! @param firstId Identities start above this. */
    explicit LinkTable(LinkId firstId) : m_lastId{firstId} { }

    /*! @return A new link to a peer that is to be called; the peer may be unknown. */
    [[nodiscard]] LinkPtr open(const std::string &peer, const std::string &zone, TimePoint now);

    /*! @return A new link for a connection that a peer made. */
    [[nodiscard]] LinkPtr adopt(const Handle &handle, TimePoint now);

    /*! @brief Names the library's connection of a link. */
    void attach(const LinkPtr &link, const Handle &handle);

    /*! @return The link, or null. */
    [[nodiscard]] LinkPtr find(const Handle &handle) const;

    /*! @return The link, if it is open, marked as used; or null. */
    [[nodiscard]] LinkPtr findOpen(LinkId id, TimePoint now);

    /*! @return The link to use for a peer, marked as used; null when a new one is needed. */
    [[nodiscard]] LinkPtr usable(const std::string &peer, TimePoint now);

    /*! @brief Lets a frame wait unless the connection is open. */
    [[nodiscard]] WaitResult waitUnlessOpen(const LinkPtr &link, std::string &bytes,
                                            std::uint64_t token);

    /*! @brief Writes what waited, then lets later frames go straight: none overtakes another. */
    template <typename Write>
    void openAndFlush(const LinkPtr &link, Write write)
    {
        const std::lock_guard lock{m_mutex};
        for (const auto &frame : link->waiting) {
            write(frame.bytes);
        }
        link->waiting.clear();
        link->open = true;
    }

    /*! @brief The peer said who it is. */
    void greet(const LinkPtr &link, const std::string &peer, const std::string &zone);

    /*! @brief Marks a link as used. */
    void touch(const LinkPtr &link, TimePoint now);

    /*! @brief Forgets a link. @return Frames that were not sent. */
    [[nodiscard]] std::deque<WaitingFrame> end(const LinkPtr &link);

    /*! @return Links that this side made and nobody used for so long. */
    [[nodiscard]] std::vector<LinkPtr> idle(Millis limit, TimePoint now) const;

    [[nodiscard]] std::vector<LinkPtr> all() const;
    [[nodiscard]] std::size_t size() const;

private:
    void forgetPeer(const Link &link);

    mutable std::mutex m_mutex;
    std::map<LinkId, LinkPtr> m_links;
    std::map<Handle, LinkPtr, std::owner_less<Handle>> m_byHandle;
    std::unordered_map<std::string, LinkPtr> m_byPeer;
    LinkId m_lastId;
};

} // namespace celeryramp
