#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <gsl/span>

#include "config/snapshot.h"

namespace celeryramp {

/*! @brief Says whether a member can be talked to, as far as the asker knows. */
using IsUsable = std::function<bool(const std::string &server)>;

/*!
 * @brief Places of the declared servers in each zone: ring, trees and readers.
 *
 * Each node computes the same places from the same configuration. Views of who is down may differ
 * between nodes: then an announcement misses some nodes or reaches some twice, which the heartbeat
 * digests repair; no promise depends on it.
 */
class Topology
{
public:
    /*! @brief A topology without members. */
    Topology() = default;

    /*! @param snapshot Configuration whose servers take part. */
    explicit Topology(const Snapshot &snapshot);

    /*! @return Zone of a server, or empty when it is not declared. */
    [[nodiscard]] const std::string &zoneOf(const std::string &server) const;

    /*! @return All zones with servers. */
    [[nodiscard]] std::vector<std::string> zones() const;

    /*! @return Servers of a zone in ring order. */
    [[nodiscard]] gsl::span<const std::string> ring(const std::string &zone) const;

    /*! @return The first `count` usable servers after `server` on the ring of its zone. */
    [[nodiscard]] std::vector<std::string> successors(const std::string &server, std::size_t count,
                                                      const IsUsable &isUsable) const;

    /*!
     * @brief Children of `server` in the tree of its zone rooted at `root`.
     * The children of an unusable child are adopted.
     */
    [[nodiscard]] std::vector<std::string>
    children(const std::string &root, const std::string &server, const IsUsable &isUsable) const;

    /*! @return The servers of a zone that read the platform: the first usable ones by hash. */
    [[nodiscard]] std::vector<std::string> readers(const std::string &zone,
                                                   const IsUsable &isUsable) const;

private:
    [[nodiscard]] std::size_t rank(const std::string &server) const;

    std::map<std::string, std::vector<std::string>> m_rings;
    std::map<std::string, std::pair<std::string, std::size_t>> m_places;
};

} // namespace celeryramp
