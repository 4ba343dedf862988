#pragma once

#include <string>

namespace celeryramp {

/*! @brief Whether a zone accepts new requests. */
enum class ZoneStatus { InService, OutOfService };

/*! @brief A group of servers that shares failures and is taken out of service as a unit. */
struct AvailabilityZone
{
    std::string name;
    std::string region;
    ZoneStatus status = ZoneStatus::InService;
};

} // namespace celeryramp
