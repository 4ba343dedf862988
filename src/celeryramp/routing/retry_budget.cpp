#include "routing/retry_budget.h"

#include <algorithm>

namespace celeryramp {

void RetryBudget::onFirstAttempt(const std::string &service, double repeatShare)
{
    auto &balance = m_balances.try_emplace(service, m_initialBalance).first->second;
    balance = std::min(m_maxBalance, balance + m_ratio * (1.0 - repeatShare) - repeatShare);
}

bool RetryBudget::trySpend(const std::string &service)
{
    auto &balance = m_balances.try_emplace(service, m_initialBalance).first->second;
    if (balance < 1.0) {
        return false;
    }
    balance -= 1.0;
    return true;
}

bool RetryBudget::canSpend(const std::string &service) const
{
    const auto it = m_balances.find(service);
    return (it == m_balances.end() ? m_initialBalance : it->second) >= 1.0;
}

} // namespace celeryramp
