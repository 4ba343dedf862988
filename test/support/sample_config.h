#pragma once

#include <map>
#include <string>

#include "config/parse.h"
#include "config/snapshot.h"

namespace testsupport {

/*! @brief Size of a sample configuration. */
struct SampleShape
{
    int zones = 3;
    int serversPerZone = 2;
    double rate = 100.0;
    double burst = 50.0;
};

/*! @return Parts of a valid configuration with zones z0 and on, servers s-z0-0 and on, and account
 * `acme` with key `k1.secret`. */
[[nodiscard]] std::map<std::string, std::string> sampleParts(const SampleShape &shape = {});

/*! @return A valid document of this version. */
[[nodiscard]] celeryramp::ConfigDocument sampleDocument(std::uint64_t version,
                                                        const SampleShape &shape = {});

/*! @return A snapshot of a valid document. */
[[nodiscard]] celeryramp::SnapshotPtr sampleSnapshot(std::uint64_t version,
                                                     const SampleShape &shape = {});

/*! @return The point in time that lies this many milliseconds after a fixed start. */
[[nodiscard]] celeryramp::TimePoint at(std::int64_t millis);

} // namespace testsupport
