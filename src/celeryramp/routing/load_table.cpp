#include "routing/load_table.h"

#include <algorithm>
#include <cmath>

namespace celeryramp {

namespace internal {

constexpr double kFadeSeconds = 0.25;
constexpr Millis kFirstShun{200};
constexpr Millis kLongestShun{5000};
constexpr Millis kRefusalShun{50};
constexpr int kMaxDoublings = 5;

} // namespace internal

void LoadTable::sent(const std::string &server)
{
    ++m_entries[server].underWay;
}

void LoadTable::answered(const std::string &server, const GateLoad &load, TimePoint now)
{
    auto &entry = m_entries[server];
    end(entry);
    entry.load = load;
    entry.at = now;
    entry.failures = 0;
    entry.shunnedUntil = {};
}

void LoadTable::failed(const std::string &server, TimePoint now)
{
    auto &entry = m_entries[server];
    end(entry);
    const auto doublings = std::min(entry.failures, internal::kMaxDoublings);
    const auto pause = std::min(internal::kLongestShun, internal::kFirstShun * (1 << doublings));
    ++entry.failures;
    entry.shunnedUntil = now + pause;
}

void LoadTable::refused(const std::string &server, const GateLoad &load, TimePoint now)
{
    auto &entry = m_entries[server];
    end(entry);
    entry.load = load;
    entry.at = now;
    entry.shunnedUntil = std::max(entry.shunnedUntil, now + internal::kRefusalShun);
}

double LoadTable::pressure(const std::string &server, TimePoint now) const
{
    const auto it = m_entries.find(server);
    if (it == m_entries.end()) {
        return 0.0;
    }
    const auto &entry = it->second;
    const auto freshness = std::exp(-secondsBetween(entry.at, now) / internal::kFadeSeconds);
    const auto reported = double(entry.load.running + entry.load.queued) * freshness;
    const auto own = double(entry.underWay);
    return std::max(reported, own) / std::max(1.0, double(entry.load.limit));
}

bool LoadTable::isShunned(const std::string &server, TimePoint now) const
{
    const auto it = m_entries.find(server);
    return it != m_entries.end() && it->second.shunnedUntil > now;
}

int LoadTable::underWay(const std::string &server) const
{
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? 0 : it->second.underWay;
}

void LoadTable::end(Entry &entry)
{
    entry.underWay = std::max(0, entry.underWay - 1);
}

} // namespace celeryramp
