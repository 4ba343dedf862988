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
                                             const SourcePosition &position, TimePoint requestedAt,
                                             Millis renewalTime, TimePoint now)
{
    std::vector<ReplicaEvent> events;
    if (m_isComplete && position < m_position) {
        for (const auto &item : items) {
            adoptConfiguration(item, events);
        }
        if (events.empty()) {
            events.push_back({"list-ignored", position.text(), "older than " + m_position.text()});
        }
        rebuildView();
        return events;
    }
    const bool isNewEra = m_isComplete && position.era > m_position.era;
    if (isNewEra) {
        events.push_back({"source-restored", position.text(), "after " + m_position.text()});
        restartTimes(now);
    }
    m_position = position;
    std::set<std::string> listed;
    for (const auto &item : items) {
        applyItem(item, renewalTime, now, events);
        // An evacuation of a former era is retained by a peer, and the source has none.
        if (item.era == position.era || m_evacuatedZones.count(item.key) == 0) {
            listed.insert(item.key);
        }
    }
    retainEvacuations(now, events);
    std::vector<std::string> missing;
    for (const auto &[key, held] : m_items) {
        if (listed.count(key) == 0 && held.position <= position) {
            missing.push_back(key);
        }
    }
    for (const auto &key : missing) {
        if (isNewEra) {
            onLostItem(key, now, events);
        } else if (!isRetained(key)) {
            removeItem(key, renewalTime, now, events);
        }
    }
    m_isComplete = true;
    confirm(requestedAt);
    rebuildView();
    return events;
}

std::vector<ReplicaEvent> Replica::applyChanges(const std::vector<ItemChange> &changes,
                                                const SourcePosition &position,
                                                TimePoint requestedAt, Millis renewalTime,
                                                TimePoint now)
{
    std::vector<ReplicaEvent> events;
    if (position.era != m_position.era || position < m_position) {
        return events;
    }
    for (const auto &change : changes) {
        const auto it = m_items.find(change.key);
        if (it != m_items.end() && it->second.position >= change.position()) {
            continue;
        }
        if (change.isRemoved) {
            removeItem(change.key, renewalTime, now, events);
        } else {
            applyItem(change, renewalTime, now, events);
        }
    }
    m_position = position;
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
        m_items.erase(key);
        removeDecoded(key, now, events);
    }
    for (auto it = m_withheld.begin(); it != m_withheld.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        m_history.onPublished(it->first, it->second.server, m_position.era);
        applyServer(it->first, std::move(it->second.server), now, events);
        it = m_withheld.erase(it);
    }
    m_history.expire(now);
    rebuildView();
    return events;
}

Millis Replica::age(TimePoint now) const
{
    return m_isComplete ? millisBetween(m_freshAsOf, now) : Millis::max();
}

std::pair<ItemChange, SourcePosition> Replica::asDelta(const ItemChange &change) const
{
    const auto it = m_items.find(change.key);
    if (change.isRemoved || it == m_items.end()) {
        return {change, {}};
    }
    auto delta = makeDelta(it->second.value, change.value);
    if (delta.size() >= change.value.size()) {
        return {change, {}};
    }
    return {{change.key, std::move(delta), change.revision, false, change.era},
            it->second.position};
}

std::optional<ItemChange> Replica::fromDelta(ItemChange change, const SourcePosition &base) const
{
    if (base == SourcePosition{} || change.isRemoved) {
        return change;
    }
    const auto it = m_items.find(change.key);
    if (it == m_items.end()) {
        return std::nullopt;
    }
    const HeldItem *older = it->second.position == base ? &it->second : nullptr;
    if (const auto previous = m_previousItems.find(change.key); previous != m_previousItems.end()) {
        for (const auto &held : previous->second) {
            older = held.position == base ? &held : older;
        }
    }
    auto value = older != nullptr ? applyDelta(older->value, change.value) : std::nullopt;
    if (!value) {
        return std::nullopt;
    }
    change.value = std::move(*value);
    return change;
}

std::vector<Replica::SyncItem> Replica::itemsSince(const SyncBase &peer) const
{
    std::vector<SyncItem> items;
    items.reserve(m_items.size());
    const auto inForce = m_routing ? m_routing->version() : 0;
    for (const auto &[key, held] : m_items) {
        // Nodes that tell no version know no eras either.
        const bool tellsVersion = peer.version > 0 || peer.position.era > held.position.era;
        SyncItem it{{key, {}, held.position.revision, false, held.position.era}, {}};
        if (held.position > peer.position) {
            const auto *base = peer.takesDeltas ? previousAt(key, peer.position) : nullptr;
            it.item.value = base != nullptr ? makeDelta(base->value, held.value) : held.value;
            it.base = base != nullptr ? base->position : SourcePosition{};
            if (it.item.value.size() > held.value.size()) {
                it.item.value = held.value;
                it.base = {};
            }
        } else if (key == m_configurationKey && tellsVersion && peer.version < inForce) {
            it.item.value = held.value; // the peer has read a source that has lost this version
        }
        items.push_back(std::move(it));
    }
    return items;
}

Result<std::vector<ItemChange>, Replica::MissingBase>
Replica::restoreItems(const PeerState &peer) const
{
    std::vector<ItemChange> items;
    items.reserve(peer.items.size());
    for (const auto &[item, base] : peer.items) {
        const bool isHeld = holds(item.key, item.position());
        const bool isOmitted = item.value.empty() && item.position() <= peer.since;
        if (isOmitted && !isHeld && item.era < peer.position.era) {
            continue; // this replica has seen its removal in the former era, and the peer has not
        }
        auto whole = fromDelta(item, base);
        if (!isHeld && (isOmitted || !whole)) {
            return MissingBase{item.key, base};
        }
        if (whole) {
            items.push_back(std::move(*whole));
        } else {
            items.push_back(item);
        }
    }
    return items;
}

const Replica::HeldItem *Replica::previousAt(const std::string &key,
                                             const SourcePosition &position) const
{
    const auto previous = m_previousItems.find(key);
    if (previous == m_previousItems.end()) {
        return nullptr;
    }
    const auto it = std::find_if(previous->second.rbegin(), previous->second.rend(),
                                 [&](const HeldItem &held) { return held.position <= position; });
    return it == previous->second.rend() ? nullptr : &*it;
}

bool Replica::holds(const std::string &key, const SourcePosition &position) const
{
    const auto it = m_items.find(key);
    return it != m_items.end() && it->second.position >= position;
}

void Replica::hold(const std::string &key, std::string value, const SourcePosition &position)
{
    auto &held = m_items[key];
    if (held.position > SourcePosition{}) {
        auto &previous = m_previousItems[key];
        previous.push_back(std::move(held));
        if (previous.size() > kMaxPreviousItems) {
            previous.pop_front();
        }
    }
    held = {std::move(value), position};
}

bool Replica::isRetained(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it != m_items.end() && it->second.position.era < m_position.era
            && (key == m_configurationKey || m_lapsedUntil.count(key) > 0);
}

void Replica::applyItem(const ItemChange &change, Millis renewalTime, TimePoint now,
                        std::vector<ReplicaEvent> &events)
{
    const auto held = m_items.find(change.key);
    const bool isHeld = held != m_items.end();
    if (isHeld && held->second.position >= change.position()) {
        adoptConfiguration(change, events);
        return;
    }
    if (m_lapsedUntil.erase(change.key) > 0 && m_servers.count(change.key) > 0) {
        events.push_back({"server-returned", change.key, change.position().text()});
    }
    const bool isLaterEra = isHeld && change.era > held->second.position.era;
    if (isLaterEra && held->second.value == change.value) {
        if (const auto it = m_servers.find(change.key); it != m_servers.end()) {
            m_history.onPublished(change.key, it->second, change.era);
        }
        if (change.key == m_configurationKey) {
            m_configurationEra = change.era;
        }
        hold(change.key, change.value, change.position());
        return;
    }
    auto decoded = m_decoder.decode(change.key, change.value);
    if (!decoded) {
        hold(change.key, change.value, change.position());
        m_withheld.erase(change.key);
        events.push_back({"item-unreadable", change.key,
                          decoded.error().place + ": " + decoded.error().reason});
        if (m_servers.count(change.key) > 0) {
            removeItem(change.key, renewalTime, now, events);
            m_items[change.key] = {change.value, change.position()};
        }
        return;
    }
    if (auto *configuration = std::get_if<Configuration>(&decoded.value())) {
        if (isLaterEra && m_routing && configuration->version < m_routing->version()) {
            events.push_back({"item-outdated", change.key,
                              "version " + std::to_string(configuration->version)});
            return;
        }
        hold(change.key, change.value, change.position());
        applyConfiguration(change, std::move(*configuration), events);
    } else if (auto *server = std::get_if<BackendServer>(&decoded.value())) {
        const auto age = m_history.compare(change.key, *server, change.era);
        if (age == EntryAge::Outdated && isHeld) {
            events.push_back(
                    {"item-outdated", change.key, "sequence " + std::to_string(server->sequence)});
            return;
        }
        hold(change.key, change.value, change.position());
        m_withheld.erase(change.key);
        if (age == EntryAge::Withdrawn) {
            events.push_back({"server-withheld", server->id,
                              "sequence " + std::to_string(server->sequence)});
            m_withheld[change.key] = {std::move(*server), now + kRewriteTime};
            return;
        }
        m_history.onPublished(change.key, *server, change.era);
        applyServer(change.key, std::move(*server), now, events);
    } else if (const auto *zone = std::get_if<EvacuatedZone>(&decoded.value())) {
        hold(change.key, change.value, change.position());
        events.push_back({"zone-evacuated", zone->zone, change.position().text()});
        m_evacuatedZones[change.key] = zone->zone;
        m_isViewOutdated = true;
    } else {
        hold(change.key, change.value, change.position());
    }
}

void Replica::adoptConfiguration(const ItemChange &item, std::vector<ReplicaEvent> &events)
{
    const auto held = m_items.find(item.key);
    const bool isOfKey = !m_routing || item.key == m_configurationKey;
    const bool isHeldLater = held != m_items.end() && item.era == held->second.position.era
            && item.position() <= held->second.position;
    if (!isOfKey || item.value.empty() || item.era >= m_position.era || isHeldLater) {
        return;
    }
    auto decoded = m_decoder.decode(item.key, item.value);
    auto *configuration = decoded ? std::get_if<Configuration>(&decoded.value()) : nullptr;
    if (configuration == nullptr || (m_routing && configuration->version <= m_routing->version())) {
        return;
    }
    hold(item.key, item.value, item.position());
    applyConfiguration(item, std::move(*configuration), events);
}

void Replica::applyServer(const std::string &key, BackendServer server, TimePoint now,
                          std::vector<ReplicaEvent> &events)
{
    server.learnedAt = now;
    const auto it = m_servers.find(key);
    const bool isNew = it == m_servers.end() || !it->second.isSameIncarnation(server);
    if (isNew || it->second.isDraining != server.isDraining) {
        events.push_back({server.isDraining ? "server-draining" : "server-seen", server.id,
                          server.service + " " + server.address.text()
                                  + " started=" + std::to_string(server.startedMillis)});
    }
    m_servers[key] = std::move(server);
    m_isViewOutdated = true;
}

void Replica::onLostItem(const std::string &key, TimePoint now, std::vector<ReplicaEvent> &events)
{
    if (key != m_configurationKey && m_evacuatedZones.count(key) == 0) {
        removeItem(key, m_gracePeriod, now, events);
    }
}

void Replica::retainEvacuations(TimePoint now, std::vector<ReplicaEvent> &events)
{
    for (const auto &[key, zone] : m_evacuatedZones) {
        const auto held = m_items.find(key);
        const bool isFormer = held != m_items.end() && held->second.position.era < m_position.era;
        // The list of a peer has what the peer retains, and no change shows when that ends.
        if (isFormer && m_lapsedUntil.emplace(key, now + kRewriteTime).second) {
            events.push_back({"evacuation-retained", zone,
                              "for " + std::to_string(kRewriteTime.count()) + " ms"});
        }
    }
}

void Replica::restartTimes(TimePoint now)
{
    for (auto &[key, until] : m_lapsedUntil) {
        until = now + (m_servers.count(key) > 0 ? m_gracePeriod : kRewriteTime);
    }
    for (auto &[key, withheld] : m_withheld) {
        withheld.until = now + kRewriteTime;
    }
}

void Replica::removeItem(const std::string &key, Millis renewalTime, TimePoint now,
                         std::vector<ReplicaEvent> &events)
{
    m_items.erase(key);
    m_previousItems.erase(key);
    m_withheld.erase(key);
    const auto keptFor = std::min(renewalTime, m_gracePeriod);
    if (keptFor.count() > 0 && m_servers.count(key) > 0 && !m_servers[key].isDraining) {
        events.push_back({"server-lapsed", m_servers[key].id,
                          "kept for " + std::to_string(keptFor.count()) + " ms"});
        m_lapsedUntil.emplace(key, now + keptFor);
        return;
    }
    m_lapsedUntil.erase(key);
    removeDecoded(key, now, events);
}

void Replica::removeDecoded(const std::string &key, TimePoint now,
                            std::vector<ReplicaEvent> &events)
{
    if (const auto it = m_servers.find(key); it != m_servers.end()) {
        events.push_back({"server-gone", it->second.id, it->second.service});
        m_history.onRemoved(key, m_position.era, now);
        m_servers.erase(it);
        m_isViewOutdated = true;
    }
    if (const auto it = m_evacuatedZones.find(key); it != m_evacuatedZones.end()) {
        events.push_back({"zone-back", it->second, ""});
        m_evacuatedZones.erase(it);
        m_isViewOutdated = true;
    }
}

void Replica::applyConfiguration(const ItemChange &item, Configuration configuration,
                                 std::vector<ReplicaEvent> &events)
{
    const auto version = std::to_string(configuration.version);
    m_knownVersion = std::max(m_knownVersion, configuration.version);
    // A later era can publish a version anew that it has lost, and with other content.
    const bool isOfLaterEra = item.era > m_configurationEra;
    if (m_routing
        && (configuration.version < m_routing->version()
            || (configuration.version == m_routing->version() && !isOfLaterEra))) {
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
    m_configurationKey = item.key;
    m_configurationEra = item.era;
    const auto &problems = m_routing->problems();
    for (std::size_t i = 0; i < problems.size() && i < internal::kMaxLoggedProblems; ++i) {
        events.push_back({"configuration-entry-unreadable", problems[i].place,
                          problems[i].reason + " (" + std::to_string(problems.size())
                                  + " in version " + version + ")"});
    }
    if (m_routing->needsKeys() && m_routing->keyCount() == 0) {
        events.push_back({"no-valid-key", version, "only open routes are served"});
    }
    m_isViewOutdated = true;
    events.push_back({"configuration-accepted", version, m_routing->keySummary()});
}

void Replica::rebuildView()
{
    if (!m_isViewOutdated) {
        return;
    }
    m_isViewOutdated = false;
    auto view = std::make_shared<Directory>();
    view->routing = m_routing;
    view->revision = m_position.revision;
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
