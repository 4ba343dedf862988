#include "transport/link_table.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kMaxWaitingFrames = 1024;
constexpr Millis kIdleAvoid{50'000}; /*!< The side that made a link closes it soon after. */

} // namespace internal

LinkPtr LinkTable::open(const std::string &peer, const std::string &zone, TimePoint now)
{
    auto link = std::make_shared<Link>();
    link->side = LinkSide::Opened;
    link->peer = peer;
    link->zone = zone;
    link->lastUsed = now;
    const std::lock_guard lock{m_mutex};
    link->id = ++m_lastId;
    m_links[link->id] = link;
    if (!peer.empty()) {
        m_byPeer[peer] = link;
    }
    return link;
}

LinkPtr LinkTable::adopt(const Handle &handle, TimePoint now)
{
    auto link = std::make_shared<Link>();
    link->handle = handle;
    link->lastUsed = now;
    const std::lock_guard lock{m_mutex};
    link->id = ++m_lastId;
    m_links[link->id] = link;
    m_byHandle[handle] = link;
    return link;
}

void LinkTable::attach(const LinkPtr &link, const Handle &handle)
{
    const std::lock_guard lock{m_mutex};
    link->handle = handle;
    m_byHandle[handle] = link;
}

LinkPtr LinkTable::find(const Handle &handle) const
{
    const std::lock_guard lock{m_mutex};
    const auto it = m_byHandle.find(handle);
    return it == m_byHandle.end() ? nullptr : it->second;
}

LinkPtr LinkTable::findOpen(LinkId id, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    const auto it = m_links.find(id);
    if (it == m_links.end() || !it->second->open) {
        return nullptr;
    }
    it->second->lastUsed = now;
    return it->second;
}

LinkPtr LinkTable::usable(const std::string &peer, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    const auto it = m_byPeer.find(peer);
    if (it == m_byPeer.end()) {
        return nullptr;
    }
    const auto &link = it->second;
    const bool closesSoon
            = link->side == LinkSide::Accepted && now - link->lastUsed >= internal::kIdleAvoid;
    if (closesSoon) {
        return nullptr;
    }
    link->lastUsed = now;
    return link;
}

WaitResult LinkTable::waitUnlessOpen(const LinkPtr &link, std::string &bytes, std::uint64_t token)
{
    const std::lock_guard lock{m_mutex};
    if (link->open) {
        return WaitResult::NotNeeded;
    }
    if (m_links.count(link->id) == 0 || link->waiting.size() >= internal::kMaxWaitingFrames) {
        return WaitResult::Full;
    }
    link->waiting.push_back({std::move(bytes), token});
    return WaitResult::Waits;
}

void LinkTable::greet(const LinkPtr &link, const std::string &peer, const std::string &zone)
{
    const std::lock_guard lock{m_mutex};
    if (!link->peer.empty() && link->peer != peer) {
        forgetPeer(*link);
    }
    if (link->peer != peer) {
        link->peer = peer;
    }
    if (link->zone != zone) {
        link->zone = zone;
    }
    link->greeted = true;
    m_byPeer.emplace(peer, link);
}

void LinkTable::touch(const LinkPtr &link, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    link->lastUsed = now;
}

std::deque<WaitingFrame> LinkTable::end(const LinkPtr &link)
{
    const std::lock_guard lock{m_mutex};
    link->open = false;
    m_links.erase(link->id);
    m_byHandle.erase(link->handle);
    forgetPeer(*link);
    return std::exchange(link->waiting, {});
}

std::vector<LinkPtr> LinkTable::idle(Millis limit, TimePoint now) const
{
    std::vector<LinkPtr> links;
    const std::lock_guard lock{m_mutex};
    for (const auto &[id, link] : m_links) {
        if (link->side == LinkSide::Opened && now - link->lastUsed >= limit) {
            links.push_back(link);
        }
    }
    return links;
}

std::vector<LinkPtr> LinkTable::all() const
{
    const std::lock_guard lock{m_mutex};
    std::vector<LinkPtr> links;
    links.reserve(m_links.size());
    for (const auto &[id, link] : m_links) {
        links.push_back(link);
    }
    return links;
}

std::size_t LinkTable::size() const
{
    const std::lock_guard lock{m_mutex};
    return m_links.size();
}

/*! Called with the lock held. Another open link of the peer takes the place. */
void LinkTable::forgetPeer(const Link &link)
{
    const auto it = m_byPeer.find(link.peer);
    if (it == m_byPeer.end() || it->second->id != link.id) {
        return;
    }
    m_byPeer.erase(it);
    for (const auto &[id, other] : m_links) {
        if (other->peer == link.peer && other->id != link.id && other->open) {
            m_byPeer[link.peer] = other;
        }
    }
}

} // namespace celeryramp
