#pragma once

#include <string>
#include <vector>

#include "core/time.h"
#include "restored/probe_result.h"

namespace celeryramp::test {

/*! @brief Routes and keys by which a caller recognizes a version of the configuration. */
struct VersionSigns
{
    std::string added; /*!< Route that the version adds. */
    std::string dropped; /*!< Route that it drops; empty if none. */
};

/*!
 * @brief What probers saw at each node. The checks return a line for each node that broke the
 * promise, and nothing if all of them kept it.
 */
class ProbeLog
{
public:
    void add(ProbeResult result) { m_results.push_back(std::move(result)); }

    /*! @brief A route is served at each node to all requests sent in a span of time: none is told
     * that there is no such route, and only a few get no success for another reason. */
    [[nodiscard]] std::vector<std::string> notServed(const std::string &route, TimePoint from,
                                                     TimePoint to) const;
    /*! @brief No request with a key is run from a point of time on, and there are such requests. */
    [[nodiscard]] std::vector<std::string> servedWithKey(const std::string &key,
                                                         TimePoint from) const;
    /*! @brief A process that has shown a version does not go back to an older one. */
    [[nodiscard]] std::vector<std::string> wentBack(const VersionSigns &signs) const;

    /*! @return True if each node has served the route to a request sent from then on. */
    [[nodiscard]] bool isServedByAll(const std::string &route, int nodes, TimePoint since) const;

private:
    std::vector<ProbeResult> m_results;
};

} // namespace celeryramp::test
