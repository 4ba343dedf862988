#include "distribution/rumour_distributor.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kRumourNeighbourCount = 3;

} // namespace internal

RumourDistributor::RumourDistributor(std::string self, std::string zone)
    : m_self{std::move(self)}, m_zone{std::move(zone)}
{ }

void RumourDistributor::publish(const std::vector<Rumour> &rumours, const Topology &topology,
                                const IsUsable &isUsable, TimePoint now, Outbox &out)
{
    spread(applyAll(rumours, now), m_self, true, topology, isUsable, out);
}

std::vector<Rumour> RumourDistributor::onMessage(const std::string &from,
                                                 const RumourMessage &message,
                                                 const Topology &topology, const IsUsable &isUsable,
                                                 TimePoint now, Outbox &out)
{
    auto newRumours = applyAll(message.rumours, now);
    if (message.root.empty()) {
        if (!message.reply) {
            out.send(from, RumourMessage{m_store.all(now), {}, true});
        }
        for (const auto &neighbour :
             topology.successors(m_self, internal::kRumourNeighbourCount, isUsable)) {
            if (!newRumours.empty() && neighbour != from) {
                out.send(neighbour, RumourMessage{newRumours, {}, true});
            }
        }
        return newRumours;
    }
    const bool sameZone = topology.zoneOf(message.root) == m_zone;
    spread(newRumours, sameZone ? message.root : m_self, false, topology, isUsable, out);
    return newRumours;
}

void RumourDistributor::onHeartbeat(const HeartbeatMessage &message, TimePoint now, Outbox &out)
{
    if (message.rumours != m_store.digest()) {
        out.send(message.server, RumourMessage{m_store.all(now), {}, false});
    }
}

std::vector<Rumour> RumourDistributor::applyAll(const std::vector<Rumour> &rumours, TimePoint now)
{
    std::vector<Rumour> newRumours;
    for (const auto &rumour : rumours) {
        if (m_store.apply(rumour, now)) {
            newRumours.push_back(rumour);
        }
    }
    return newRumours;
}

void RumourDistributor::spread(const std::vector<Rumour> &newRumours, const std::string &root,
                               bool acrossZones, const Topology &topology, const IsUsable &isUsable,
                               Outbox &out) const
{
    if (newRumours.empty()) {
        return;
    }
    const RumourMessage message{newRumours, root, false};
    for (const auto &child : topology.children(root, m_self, isUsable)) {
        out.send(child, message);
    }
    if (!acrossZones) {
        return;
    }
    for (const auto &zone : topology.zones()) {
        if (const auto readers = topology.readers(zone, isUsable);
            zone != m_zone && !readers.empty()) {
            out.send(readers.front(), message);
        }
    }
}

} // namespace celeryramp
