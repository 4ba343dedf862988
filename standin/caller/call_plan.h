#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "core/address.h"

namespace standin {

/*! @brief One kind of call in the mix. */
struct CallKind
{
    std::string name; /*!< Class of work, for the report. */
    double weight = 1.0;
    std::string method = "GET";
    std::string path;
    bool atMostOnce = false; /*!< Carries an idempotency key. */
    double targetMs = 0.0; /*!< Latency target, for the report. */
    std::size_t bodyBytes = 0;
};

/*! @brief One client account's callers. */
struct CallingAccount
{
    std::string name;
    std::string key;
    double ratePerSecond = 1.0;
    std::string zone; /*!< Zone its calls enter by; empty for all in turn. */
};

/*! @brief What a caller does. */
struct CallPlan
{
    std::map<std::string, std::vector<celeryramp::Address>> targets; /*!< By zone. */
    std::vector<CallingAccount> accounts;
    std::vector<CallKind> kinds;
    double seconds = 1.0;
    std::uint64_t seed = 1;
    std::size_t threadsPerZone = 16;
    double resendShare = 0.0; /*!< Share of at-most-once calls sent a second time on purpose. */
    int retriesOfUnknown = 0; /*!< Further sends of a call without a certain end. */
    std::string name = "caller";
};

/*! @return The plan in a JSON document; throws nlohmann's exceptions on a bad one. */
[[nodiscard]] CallPlan readCallPlan(const nlohmann::json &json);

} // namespace standin
