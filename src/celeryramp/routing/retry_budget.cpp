#include "routing/retry_budget.h"

#include <algorithm>

namespace celeryramp {

void RetryBudget::onFirstAttempt(const std::string &service)
{
    auto &balance = m_balances.try_emplace(service, m_initialBalance).first->second;
    balance = std::min(m_maxBalance, balance + m_ratio);
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

} // namespace celeryramp
