#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <gsl/span>

#include "config/snapshot.h"

namespace celeryramp {

/*! @brief Tells whether the caller considers a member reachable. */
using IsUsable = std::function<bool(const std::string &server)>;

/*!
 * @brief Arranges the declared servers of each zone in a ring, in trees and as platform readers.
 *
 * Every node computes the same topology from the same configuration. Nodes may disagree about which
 * members are down. An announcement then misses some nodes or reaches some twice. The digests in
 * heartbeats reveal and repair this, and no guarantee depends on it.
 */
class Topology
{
public:
    /*! @brief Constructs a topology without members. */
    Topology() = default;

    /*! @param snapshot Configuration that declares the servers. */
    explicit Topology(const Snapshot &snapshot);

    /*! @return Zone of a server, or an empty string if the server is not declared. */
    [[nodiscard]] const std::string &zoneOf(const std::string &server) const;

    /*! @return Names of all zones that contain servers. */
    [[nodiscard]] std::vector<std::string> zones() const;

    /*! @return Servers of a zone in ring order, which is the order of their hashes. */
    [[nodiscard]] gsl::span<const std::string> ring(const std::string &zone) const;

    /*! @return Up to `count` usable servers that follow `server` on the ring of its zone. */
    [[nodiscard]] std::vector<std::string> successors(const std::string &server, std::size_t count,
                                                      const IsUsable &isUsable) const;

    /*!
     * @brief Children of `server` in the tree of its zone rooted at `root`.
     * An unusable child is replaced by its own children, recursively.
     * @return Usable children; none if `server` is not declared or `root` is in another zone.
     */
    [[nodiscard]] std::vector<std::string>
    children(const std::string &root, const std::string &server, const IsUsable &isUsable) const;

    /*! @return Servers of a zone that read the platform: its first two usable servers in ring
     * order. */
    [[nodiscard]] std::vector<std::string> readers(const std::string &zone,
                                                   const IsUsable &isUsable) const;

private:
    [[nodiscard]] std::size_t ringPosition(const std::string &server) const;

    std::map<std::string, std::vector<std::string>> m_rings;
    std::map<std::string, std::pair<std::string, std::size_t>> m_positions;
};

} // namespace celeryramp
