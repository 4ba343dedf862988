#pragma once

#include <cstddef>
#include <set>
#include <string>

#include "core/time.h"

namespace standin::soak {

/*! @brief How the store turns connections away. */
enum class Refusal { Unavailable, TooManyRequests, Reset, NoResponse };

/*! @brief How the store misbehaves. */
struct StoreState
{
    celeryramp::Millis delay{4};
    bool isSilent = false; /*!< Requests get no answer. */
    bool isBusy = false; /*!< Requests get status 503. */
    bool turnsSomeAway = false; /*!< Half of the connections are turned away. */
    bool isAway = false; /*!< Connections are closed without an answer. */
    bool losesAnswers = false; /*!< Answers are lost, and their connections get no others. */
    Refusal refusal = Refusal::Unavailable; /*!< What connections get that are turned away. */
    std::set<std::string> refusedAt{}; /*!< Hosts of addresses at which all are turned away. */
};

/*! @brief What the store serves at most. */
struct StoreLimits
{
    std::size_t pageItems = 500;
    std::size_t pageBytes = 1'000'000; /*!< Values of a page, unless it has one item. */
    int readsPerSecond = 2'000; /*!< Calls beyond it get status 429. */
};

/*! @brief Number of calls that reached the store. */
struct StoreCalls
{
    int lists = 0; /*!< Pages of lists. */
    int watches = 0;
    int keys = 0; /*!< Reads of one item. */
    int refused = 0; /*!< Turned away, or beyond the limit; counted here only. */

    [[nodiscard]] int total() const noexcept { return lists + watches + keys + refused; }
};

} // namespace standin::soak
