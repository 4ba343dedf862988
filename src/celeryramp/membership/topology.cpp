#include "membership/topology.h"

#include <algorithm>
#include <tuple>

#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kTreeFanOut = 4;
constexpr std::size_t kReadersPerZone = 2;
const std::string kNoZone;

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
            m_places[ring[i]] = {zone, i};
        }
    }
}

const std::string &Topology::zoneOf(const std::string &server) const
{
    const auto it = m_places.find(server);
    return it == m_places.end() ? internal::kNoZone : it->second.first;
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

std::size_t Topology::rank(const std::string &server) const
{
    return m_places.at(server).second;
}

std::vector<std::string> Topology::successors(const std::string &server, std::size_t count,
                                              const IsUsable &isUsable) const
{
    std::vector<std::string> found;
    const auto members = ring(zoneOf(server));
    if (members.empty()) {
        return found;
    }
    const auto start = rank(server);
    for (std::size_t i = 1; i < members.size() && found.size() < count; ++i) {
        const auto &candidate = members[(start + i) % members.size()];
        if (isUsable(candidate)) {
            found.push_back(candidate);
        }
    }
    return found;
}

std::vector<std::string> Topology::children(const std::string &root, const std::string &server,
                                            const IsUsable &isUsable) const
{
    std::vector<std::string> found;
    const auto &zone = zoneOf(server);
    if (zone.empty() || zoneOf(root) != zone) {
        return found;
    }
    const auto members = ring(zone);
    const auto n = members.size();
    const auto start = rank(root);
    std::vector<std::size_t> open{(rank(server) + n - start) % n};
    while (!open.empty()) {
        const auto parent = open.back();
        open.pop_back();
        for (std::size_t i = 1; i <= internal::kTreeFanOut; ++i) {
            const auto position = parent * internal::kTreeFanOut + i;
            if (position >= n) {
                break;
            }
            const auto &child = members[(start + position) % n];
            if (isUsable(child)) {
                found.push_back(child);
            } else {
                open.push_back(position);
            }
        }
    }
    return found;
}

std::vector<std::string> Topology::readers(const std::string &zone, const IsUsable &isUsable) const
{
    std::vector<std::string> found;
    for (const auto &member : ring(zone)) {
        if (found.size() == internal::kReadersPerZone) {
            break;
        }
        if (isUsable(member)) {
            found.push_back(member);
        }
    }
    return found;
}

} // namespace celeryramp
