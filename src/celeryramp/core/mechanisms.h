#pragma once

namespace celeryramp {

/*!
 * @brief Mechanisms that can be switched off, so that tests show what breaks without them and
 * benchmarks have baselines. All are on unless the settings allow faults and say otherwise.
 */
struct Mechanisms
{
    bool ramp = true; /*!< Gates limit concurrency by evidence; otherwise all slots at once. */
    bool ledger = true; /*!< At-most-once requests are reserved at their homes. */
    bool zones = true; /*!< Zone status is obeyed, and the own zone preferred. */
    bool keys = true; /*!< Gates check keys again. */
    bool leaving = true; /*!< Leaving servers refuse new work. */
    bool fairness = true; /*!< Accounts take turns; otherwise first come first served. */
    bool rates = true; /*!< Accounts are held to their rates. */
    bool quarantine = true; /*!< Requests that crash servers are not run again. */
    bool retryBudget = true; /*!< Repetitions are limited, and made by one layer only. */
};

} // namespace celeryramp
