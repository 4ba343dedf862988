#pragma once

#include <map>
#include <string>
#include <vector>

#include "soak/records.h"

namespace standin::soak {

/*! @brief Bounds of the promises, as the settings of the nodes state them. */
struct PromiseBounds
{
    celeryramp::Millis revocation{5000};
    celeryramp::Millis drain{2000};
    celeryramp::Millis evacuation{5000};
    celeryramp::Millis stretch{5000}; /*!< Added while the platform or links are disturbed. */
    celeryramp::Millis settle{3000}; /*!< A disturbance counts until this long after its end. */
    celeryramp::Millis cancellation{
            500}; /*!< A request may start this long after its caller left. */
    celeryramp::Millis lossSlack{200}; /*!< A request may cross the close of its connection. */
    celeryramp::Millis rateWindow{5000};
    double rateOverage = 0.25;
    double rateSlack = 20.0;
    int attempts = 2;
    celeryramp::Millis apply{2000}; /*!< From the acknowledgement of a version to its effect. */
    celeryramp::Millis rollbackSlack{250}; /*!< Requests that cross one another. */
    int slowedFactor = 8; /*!< Of `rollbackSlack` at nodes that are disturbed. */
};

/*! @brief A broken promise. */
struct Violation
{
    std::string promise;
    std::string detail;
};

/*! @brief What callers, servers and the operator have seen of one run. */
struct Observations
{
    std::map<std::string, SentRequest> requests; /*!< By id. */
    std::vector<Execution> executions; /*!< In the order of time. */
    std::vector<Span> disturbances; /*!< Unplanned. */
    std::vector<Span> incarnations; /*!< Of nodes, from their start to a signal to end. */
    std::vector<ConfigurationVersion> versions; /*!< In the order of their numbers. */
    /*! Versions by number, from an acknowledgement until the store lost it. */
    std::vector<Span> confirmed;
    celeryramp::TimePoint calmFrom = celeryramp::TimePoint::max(); /*!< All faults are over. */
    std::vector<Span> gone; /*!< Servers that drain or have left. */
    std::vector<Span> evacuated; /*!< Zones. */
    std::map<std::string, std::pair<double, double>> rates; /*!< Rate and burst by account. */
};

/*!
 * @brief Checks the promises of the mesh against what callers and servers have seen.
 * @return All violations. Uses nothing that the nodes report.
 */
[[nodiscard]] std::vector<Violation> checkPromises(const Observations &observations,
                                                   const PromiseBounds &bounds);

} // namespace standin::soak
