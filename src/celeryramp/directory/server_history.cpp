#include "directory/server_history.h"

#include <algorithm>
#include <tuple>

namespace celeryramp::directory {

namespace internal {

/*! Time for which a removed server is remembered: well above the age of a copy of the source. */
constexpr Millis kRemovedTtl{120'000};

} // namespace internal

void ServerHistory::onPublished(const std::string &key, const BackendServer &server,
                                std::int64_t era)
{
    m_records[key] = {server.startedMillis, server.sequence, era, false, {}};
}

void ServerHistory::onRemoved(const std::string &key, std::int64_t era, TimePoint now)
{
    if (const auto it = m_records.find(key); it != m_records.end()) {
        it->second.era = std::max(it->second.era, era);
        it->second.isRemoved = true;
        it->second.removedAt = now;
    }
}

void ServerHistory::expire(TimePoint now)
{
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto &record = it->second;
        const bool isOver
                = record.isRemoved && millisBetween(record.removedAt, now) > internal::kRemovedTtl;
        it = isOver ? m_records.erase(it) : std::next(it);
    }
}

EntryAge ServerHistory::compare(const std::string &key, const BackendServer &server,
                                std::int64_t era) const
{
    const auto it = m_records.find(key);
    if (it == m_records.end() || era <= it->second.era) {
        return EntryAge::Current;
    }
    const auto &record = it->second;
    if (server.startedMillis == 0 || record.startedMillis == 0) {
        return EntryAge::Current; // without a start, the counts of two starts look alike
    }
    const auto listed = std::tie(server.startedMillis, server.sequence);
    const auto known = std::tie(record.startedMillis, record.sequence);
    if (record.isRemoved) {
        return listed <= known ? EntryAge::Withdrawn : EntryAge::Current;
    }
    return listed < known ? EntryAge::Outdated : EntryAge::Current;
}

} // namespace celeryramp::directory
