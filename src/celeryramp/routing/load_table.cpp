#include "routing/load_table.h"

#include <algorithm>
#include <cmath>

namespace celeryramp {

namespace internal {

constexpr double kLoadDecaySeconds = 0.25;
constexpr Millis kMinBackoff{200};
constexpr Millis kMaxBackoff{5000};
constexpr Millis kRefusalBackoff{50};
constexpr int kMaxBackoffDoublings = 5;

} // namespace internal

void LoadTable::sent(const std::string &server)
{
    ++m_entries[server].inFlight;
}

void LoadTable::answered(const std::string &server, const GateLoad &load, TimePoint now)
{
    auto &entry = m_entries[server];
    onCallEnded(entry);
    entry.load = load;
    entry.loadReportedAt = now;
    entry.consecutiveFailures = 0;
    entry.backoffUntil = {};
}

void LoadTable::failed(const std::string &server, TimePoint now)
{
    auto &entry = m_entries[server];
    onCallEnded(entry);
    const auto doublings = std::min(entry.consecutiveFailures, internal::kMaxBackoffDoublings);
    const auto backoff = std::min(internal::kMaxBackoff, internal::kMinBackoff * (1 << doublings));
    ++entry.consecutiveFailures;
    entry.backoffUntil = now + backoff;
}

void LoadTable::refused(const std::string &server, const GateLoad &load, TimePoint now)
{
    auto &entry = m_entries[server];
    onCallEnded(entry);
    entry.load = load;
    entry.loadReportedAt = now;
    entry.backoffUntil = std::max(entry.backoffUntil, now + internal::kRefusalBackoff);
}

double LoadTable::pressure(const std::string &server, TimePoint now) const
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end()) {
        return 0.0;
    }
    const auto &entry = it->second;
    const auto freshness
            = std::exp(-secondsBetween(entry.loadReportedAt, now) / internal::kLoadDecaySeconds);
    const auto reported = double(entry.load.running + entry.load.queued) * freshness;
    const auto ownCalls = double(entry.inFlight);
    return std::max(reported, ownCalls) / std::max(1.0, double(entry.load.limit));
}

bool LoadTable::isBackingOff(const std::string &server, TimePoint now) const
{
    const auto it = m_entries.find(server);
    return it != m_entries.end() && it->second.backoffUntil > now;
}

int LoadTable::inFlight(const std::string &server) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? 0 : it->second.inFlight;
}

void LoadTable::onCallEnded(Entry &entry)
{
    entry.inFlight = std::max(0, entry.inFlight - 1);
}

} // namespace celeryramp
