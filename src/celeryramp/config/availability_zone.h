#pragma once

#include <string>

namespace celeryramp {

/*! @brief Whether a zone accepts new requests. */
enum class ZoneStatus { InService, OutOfService };

/*! @brief A part of the site that fails and is maintained as a unit. */
struct AvailabilityZone
{
    std::string name;
    std::string region;
    ZoneStatus status = ZoneStatus::InService;
};

} // namespace celeryramp
