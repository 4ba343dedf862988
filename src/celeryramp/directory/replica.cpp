#include "directory/replica.h"

#include <algorithm>
#include <map>
#include <set>

#include "directory/value_delta.h"

namespace celeryramp::directory {

namespace internal {

/*! Unreadable entries of one version that are reported; a version can have thousands of routes. */
constexpr std::size_t kMaxLoggedProblems = 8;

} // namespace internal

std::vector<ReplicaEvent> Replica::applyList(const std::vector<ItemChange> &items,
                                             std::int64_t revision, TimePoint requestedAt,
                                             Millis renewalTime, TimePoint now)
{
    std::vector<ReplicaEvent> events;
    if (m_isComplete && revision < m_revision) {
        events.push_back({"list-ignored", std::to_string(revision),
                          "older than " + std::to_string(m_revision)});
        return events;
    }
    std::set<std::string> listed;
    for (const auto &item : items) {
        listed.insert(item.key);
        applyItem(item, renewalTime, now, events);
    }
    std::vector<std::string> missing;
    for (const auto &[key, held] : m_items) {
        if (listed.count(key) == 0 && held.revision <= revision) {
            missing.push_back(key);
        }
    }
    for (const auto &key : missing) {
        removeItem(key, renewalTime, now, events);
    }
    m_revision = revision;
    m_isComplete = true;
    confirm(requestedAt);
    rebuildView();
    return events;
}

std::vector<ReplicaEvent> Replica::applyChanges(const std::vector<ItemChange> &changes,
                                                std::int64_t revision, TimePoint requestedAt,
                                                Millis renewalTime, TimePoint now)
{
    std::vector<ReplicaEvent> events;
    if (revision < m_revision) {
        return events;
    }
    for (const auto &change : changes) {
        const auto it = m_items.find(change.key);
        if (it != m_items.end() && it->second.revision >= change.revision) {
            continue;
        }
        if (change.isRemoved) {
            removeItem(change.key, renewalTime, now, events);
        } else {
            applyItem(change, renewalTime, now, events);
        }
    }
    m_revision = revision;
    confirm(requestedAt);
    rebuildView();
    return events;
}

std::vector<ReplicaEvent> Replica::expire(TimePoint now)
{
    std::vector<ReplicaEvent> events;
    for (auto it = m_lapsedUntil.begin(); it != m_lapsedUntil.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        const auto key = it->first;
        it = m_lapsedUntil.erase(it);
        removeDecoded(key, events);
    }
    rebuildView();
    return events;
}

Millis Replica::age(TimePoint now) const
{
    return m_isComplete ? millisBetween(m_freshAsOf, now) : Millis::max();
}

std::pair<ItemChange, std::int64_t> Replica::asDelta(const ItemChange &change) const
{
    const auto it = m_items.find(change.key);
    if (change.isRemoved || it == m_items.end()) {
        return {change, 0};
    }
    auto delta = makeDelta(it->second.value, change.value);
    if (delta.size() >= change.value.size()) {
        return {change, 0};
    }
    return {{change.key, std::move(delta), change.revision, false}, it->second.revision};
}

std::optional<ItemChange> Replica::fromDelta(ItemChange change, std::int64_t base) const
{
    if (base == 0 || change.isRemoved) {
        return change;
    }
    const auto it = m_items.find(change.key);
    if (it == m_items.end()) {
        return std::nullopt;
    }
    const HeldItem *older = it->second.revision == base ? &it->second : nullptr;
    if (const auto previous = m_previousItems.find(change.key); previous != m_previousItems.end()) {
        for (const auto &held : previous->second) {
            older = held.revision == base ? &held : older;
        }
    }
    auto value = older != nullptr ? applyDelta(older->value, change.value) : std::nullopt;
    if (!value) {
        return std::nullopt;
    }
    change.value = std::move(*value);
    return change;
}

std::vector<Replica::SyncItem> Replica::itemsSince(std::int64_t revision, bool takesDeltas) const
{
    std::vector<SyncItem> items;
    items.reserve(m_items.size());
    for (const auto &[key, held] : m_items) {
        SyncItem it{{key, {}, held.revision, false}, 0};
        if (held.revision > revision) {
            const auto *base = takesDeltas ? previousAt(key, revision) : nullptr;
            it.item.value = base != nullptr ? makeDelta(base->value, held.value) : held.value;
            it.base = base != nullptr ? base->revision : 0;
            if (it.item.value.size() > held.value.size()) {
                it.item.value = held.value;
                it.base = 0;
            }
        }
        items.push_back(std::move(it));
    }
    return items;
}

const Replica::HeldItem *Replica::previousAt(const std::string &key, std::int64_t revision) const
{
    const auto previous = m_previousItems.find(key);
    if (previous == m_previousItems.end()) {
        return nullptr;
    }
    const auto it = std::find_if(previous->second.rbegin(), previous->second.rend(),
                                 [&](const HeldItem &held) { return held.revision <= revision; });
    return it == previous->second.rend() ? nullptr : &*it;
}

bool Replica::holds(const std::string &key, std::int64_t revision) const
{
    const auto it = m_items.find(key);
    return it != m_items.end() && it->second.revision >= revision;
}

void Replica::applyItem(const ItemChange &change, Millis renewalTime, TimePoint now,
                        std::vector<ReplicaEvent> &events)
{
    const bool wasLapsed = m_lapsedUntil.erase(change.key) > 0;
    auto &held = m_items[change.key];
    if (held.revision >= change.revision) {
        return;
    }
    if (wasLapsed) {
        events.push_back({"server-returned", change.key, std::to_string(change.revision)});
    }
    if (held.revision > 0) {
        auto &previous = m_previousItems[change.key];
        previous.push_back(std::move(held));
        if (previous.size() > kMaxPreviousItems) {
            previous.pop_front();
        }
    }
    held = {change.value, change.revision};
    auto decoded = m_decoder.decode(change.key, change.value);
    if (!decoded) {
        events.push_back({"item-unreadable", change.key,
                          decoded.error().place + ": " + decoded.error().reason});
        if (m_servers.count(change.key) > 0) {
            removeItem(change.key, renewalTime, now, events);
            m_items[change.key] = {change.value, change.revision};
        }
        return;
    }
    if (auto *configuration = std::get_if<Configuration>(&decoded.value())) {
        applyConfiguration(std::move(*configuration), events);
    } else if (auto *server = std::get_if<BackendServer>(&decoded.value())) {
        server->learnedAt = now;
        const auto it = m_servers.find(change.key);
        const bool isNew = it == m_servers.end() || !it->second.isSameIncarnation(*server);
        if (isNew || it->second.isDraining != server->isDraining) {
            events.push_back({server->isDraining ? "server-draining" : "server-seen", server->id,
                              server->service + " " + server->address.text()
                                      + " started=" + std::to_string(server->startedMillis)});
        }
        m_servers[change.key] = std::move(*server);
        m_isViewOutdated = true;
    } else if (const auto *zone = std::get_if<EvacuatedZone>(&decoded.value())) {
        events.push_back({"zone-evacuated", zone->zone, std::to_string(change.revision)});
        m_evacuatedZones[change.key] = zone->zone;
        m_isViewOutdated = true;
    }
}

void Replica::removeItem(const std::string &key, Millis renewalTime, TimePoint now,
                         std::vector<ReplicaEvent> &events)
{
    m_items.erase(key);
    m_previousItems.erase(key);
    const auto keptFor = std::min(renewalTime, m_gracePeriod);
    if (keptFor.count() > 0 && m_servers.count(key) > 0 && !m_servers[key].isDraining) {
        events.push_back({"server-lapsed", m_servers[key].id,
                          "kept for " + std::to_string(keptFor.count()) + " ms"});
        m_lapsedUntil.emplace(key, now + keptFor);
        return;
    }
    removeDecoded(key, events);
}

void Replica::removeDecoded(const std::string &key, std::vector<ReplicaEvent> &events)
{
    if (const auto it = m_servers.find(key); it != m_servers.end()) {
        events.push_back({"server-gone", it->second.id, it->second.service});
        m_servers.erase(it);
        m_isViewOutdated = true;
    }
    if (const auto it = m_evacuatedZones.find(key); it != m_evacuatedZones.end()) {
        events.push_back({"zone-back", it->second, ""});
        m_evacuatedZones.erase(it);
        m_isViewOutdated = true;
    }
}

void Replica::applyConfiguration(Configuration configuration, std::vector<ReplicaEvent> &events)
{
    const auto version = std::to_string(configuration.version);
    if (m_routing && configuration.version <= m_routing->version()) {
        events.push_back({"configuration-ignored", version,
                          "in force: " + std::to_string(m_routing->version())});
        return;
    }
    auto table = RoutingTable::build(std::move(configuration));
    if (!table) {
        events.push_back({"configuration-rejected", version,
                          table.error().place + ": " + table.error().reason});
        return;
    }
    m_routing = std::make_shared<const RoutingTable>(std::move(table.value()));
    const auto &problems = m_routing->problems();
    for (std::size_t i = 0; i < problems.size() && i < internal::kMaxLoggedProblems; ++i) {
        events.push_back({"configuration-entry-unreadable", problems[i].place,
                          problems[i].reason + " (" + std::to_string(problems.size())
                                  + " in version " + version + ")"});
    }
    m_isViewOutdated = true;
    events.push_back({"configuration-accepted", version, ""});
}

void Replica::rebuildView()
{
    if (!m_isViewOutdated) {
        return;
    }
    m_isViewOutdated = false;
    auto view = std::make_shared<Directory>();
    view->routing = m_routing;
    view->revision = m_revision;
    for (const auto &[key, server] : m_servers) {
        view->servers.emplace(server.id, server);
    }
    std::map<std::pair<std::string, std::uint16_t>, std::uint64_t> newestAt;
    for (const auto &[id, server] : view->servers) {
        auto &newest = newestAt[{server.address.host, server.address.port}];
        newest = std::max(newest, server.startedMillis);
    }
    for (const auto &[id, server] : view->servers) {
        // The entry of a server that lost power remains for some heartbeats. If another server has
        // started at the same address since, that one responds there.
        if (server.startedMillis >= newestAt[{server.address.host, server.address.port}]) {
            view->byService[server.service].push_back(&server);
        }
    }
    for (const auto &[key, zone] : m_evacuatedZones) {
        view->evacuatedZones.insert(zone);
    }
    m_view = std::move(view);
}

} // namespace celeryramp::directory
