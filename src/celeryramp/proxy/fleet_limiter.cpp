#include "proxy/fleet_limiter.h"

#include <algorithm>
#include <cmath>

namespace celeryramp::proxy {

namespace internal {

/*! Time over which tokens are spent and debt is recovered; a few times the age of the levels. */
constexpr double kCorrectionSeconds = 1.0;

} // namespace internal

bool FleetLimiter::admitLocally(Account &state, const directory::ClientAccount &account,
                                std::size_t nodes, TimePoint now)
{
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(1, nodes));
    const double capacity = std::max(1.0, account.burst * share);
    const double elapsed = std::clamp(secondsBetween(state.localRefilledAt, now), 0.0, 3600.0);
    state.localTokens = std::min(capacity, state.localTokens + elapsed * account.rate * share);
    state.localRefilledAt = now;
    if (state.localTokens < 1.0) {
        return false;
    }
    state.localTokens -= 1.0;
    return true;
}

bool FleetLimiter::admit(const directory::ClientAccount &account, std::size_t nodes, double draw,
                         TimePoint now)
{
    auto &state = m_accounts[account.name];
    state.unreported.demanded += 1.0;
    bool isAdmitted = true;
    if (account.rate > 0.0) {
        if (!m_hasLevels || millisBetween(m_levelsAt, now) > kMaxLevelsAge) {
            isAdmitted = admitLocally(state, account, nodes, now);
        } else if (state.isLimited && state.demand > 0.0) {
            // All nodes see the same tokens, so they are spent gradually rather than at once.
            const double allowed = state.rate + state.level / internal::kCorrectionSeconds;
            isAdmitted = draw < std::max(0.0, allowed) / state.demand;
        }
    }
    if (isAdmitted) {
        state.unreported.admitted += 1.0;
        state.level -= 1.0;
    }
    return isAdmitted;
}

std::string FleetLimiter::describe(const directory::ClientAccount &account, TimePoint now) const
{
    const auto it = m_accounts.find(account.name);
    if (it == m_accounts.end()) {
        return "unknown";
    }
    const auto &state = it->second;
    const auto number = [](double value) { return std::to_string(std::lround(value)); };
    return "rate=" + number(account.rate) + " burst=" + number(account.burst)
            + " level=" + number(state.level) + " demand=" + number(state.demand)
            + " fleet_rate=" + number(state.rate) + " news_age_ms="
            + (m_hasLevels ? std::to_string(millisBetween(m_levelsAt, now).count()) : "none");
}

UsageFrame FleetLimiter::takeReport()
{
    UsageFrame report;
    for (auto &[name, state] : m_accounts) {
        if (state.unreported.demanded > 0.0) {
            report.accounts.emplace(name, state.unreported);
            state.unreported = {};
        }
    }
    return report;
}

void FleetLimiter::onLevels(const LevelsFrame &levels, TimePoint now)
{
    m_hasLevels = true;
    m_levelsAt = now;
    for (auto &[name, state] : m_accounts) {
        state.isLimited = false;
        // The local bucket takes over from this state when no further levels arrive.
        state.localRefilledAt = now;
        state.localTokens = 1.0;
    }
    for (const auto &[name, level] : levels.accounts) {
        auto &state = m_accounts[name];
        state.isLimited = true;
        state.level = level.level;
        state.demand = level.demand;
        state.rate = level.rate;
    }
}

} // namespace celeryramp::proxy
