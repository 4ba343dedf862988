#pragma once

#include <map>
#include <string>

namespace celeryramp {

/*!
 * @brief Limits retries per service to a fraction of the first attempts.
 *
 * An attempt that a gate refused before it reached a server needs no budget. A rejection by a
 * server does. A request that is run again makes its calls again; these are repeats of the called
 * service, which nobody decides on, so they are drawn from its balance even if that makes it
 * negative.
 */
class RetryBudget
{
public:
    /*!
     * @param ratio Retries that each first attempt adds to the budget.
     * @param maxBalance Maximum number of retries that can accumulate.
     * @param initialBalance Retries available to a service before its first attempt.
     */
    explicit RetryBudget(double ratio = 0.05, double maxBalance = 10.0, double initialBalance = 0.0)
        : m_ratio{ratio}, m_maxBalance{maxBalance}, m_initialBalance{initialBalance}
    { }

    /*!
     * @brief Counts a first attempt, which adds to the budget of its service.
     * @param repeatShare Probability, from 0 to 1, that it is a call of a request that is run again
     * and so a repeat.
     */
    void onFirstAttempt(const std::string &service, double repeatShare = 0.0);

    /*! @brief Spends one retry if the budget allows it. @return True if the retry is allowed. */
    [[nodiscard]] bool trySpend(const std::string &service);

    /*! @return True if the budget allows a retry now. */
    [[nodiscard]] bool canSpend(const std::string &service) const;

private:
    double m_ratio;
    double m_maxBalance;
    double m_initialBalance;
    std::map<std::string, double> m_balances;
};

} // namespace celeryramp
