#include "membership/topology.h"

#include <algorithm>
#include <tuple>

#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kTreeFanOut = 4;
constexpr std::size_t kReadersPerZone = 2;
const std::string kUndeclaredZone;

} // namespace internal

Topology::Topology(const Snapshot &snapshot)
{
    for (const auto &[name, server] : snapshot.model().servers) {
        m_rings[server.zone].push_back(name);
    }
    for (auto &[zone, ring] : m_rings) {
        std::sort(ring.begin(), ring.end(), [](const auto &a, const auto &b) {
            return std::make_tuple(stableHash(a), std::cref(a))
                    < std::make_tuple(stableHash(b), std::cref(b));
        });
        for (std::size_t i = 0; i < ring.size(); ++i) {
            m_positions[ring[i]] = {zone, i};
        }
    }
}

const std::string &Topology::zoneOf(const std::string &server) const
{
    const auto it = m_positions.find(server);
    return it == m_positions.end() ? internal::kUndeclaredZone : it->second.first;
}

std::vector<std::string> Topology::zones() const
{
    std::vector<std::string> names;
    names.reserve(m_rings.size());
    for (const auto &[zone, ring] : m_rings) {
        names.push_back(zone);
    }
    return names;
}

gsl::span<const std::string> Topology::ring(const std::string &zone) const
{
    const auto it = m_rings.find(zone);
    return it == m_rings.end() ? gsl::span<const std::string>{}
                               : gsl::span<const std::string>{it->second};
}

std::size_t Topology::ringPosition(const std::string &server) const
{
    return m_positions.at(server).second;
}

std::vector<std::string> Topology::successors(const std::string &server, std::size_t count,
                                              const IsUsable &isUsable) const
{
    std::vector<std::string> result;
    const auto members = ring(zoneOf(server));
    if (members.empty()) {
        return result;
    }
    const auto start = ringPosition(server);
    for (std::size_t i = 1; i < members.size() && result.size() < count; ++i) {
        const auto &candidate = members[(start + i) % members.size()];
        if (isUsable(candidate)) {
            result.push_back(candidate);
        }
    }
    return result;
}

std::vector<std::string> Topology::children(const std::string &root, const std::string &server,
                                            const IsUsable &isUsable) const
{
    std::vector<std::string> result;
    const auto &zone = zoneOf(server);
    if (zone.empty() || zoneOf(root) != zone) {
        return result;
    }
    const auto members = ring(zone);
    // The tree is laid out like a heap: the ring, starting at the root, is its array of nodes.
    const auto memberCount = members.size();
    const auto start = ringPosition(root);
    std::vector<std::size_t> pending{(ringPosition(server) + memberCount - start) % memberCount};
    while (!pending.empty()) {
        const auto parent = pending.back();
        pending.pop_back();
        for (std::size_t i = 1; i <= internal::kTreeFanOut; ++i) {
            const auto position = parent * internal::kTreeFanOut + i;
            if (position >= memberCount) {
                break;
            }
            const auto &child = members[(start + position) % memberCount];
            if (isUsable(child)) {
                result.push_back(child);
            } else {
                pending.push_back(position);
            }
        }
    }
    return result;
}

std::vector<std::string> Topology::readers(const std::string &zone, const IsUsable &isUsable) const
{
    std::vector<std::string> result;
    for (const auto &member : ring(zone)) {
        if (result.size() == internal::kReadersPerZone) {
            break;
        }
        if (isUsable(member)) {
            result.push_back(member);
        }
    }
    return result;
}

} // namespace celeryramp
