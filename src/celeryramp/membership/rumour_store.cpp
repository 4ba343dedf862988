#include "membership/rumour_store.h"

#include <algorithm>

#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kMaxEntries = 65536;
constexpr Millis kMaxTtl{3'600'000}; // one hour

} // namespace internal

bool RumourStore::apply(const Rumour &rumour, TimePoint now)
{
    const Key key{rumour.kind, rumour.subject};
    const auto ttl = std::min<Millis>(Millis{rumour.ttlMs}, internal::kMaxTtl);
    const auto it = m_entries.find(key);
    if (it == m_entries.end()) {
        if (m_entries.size() >= internal::kMaxEntries || ttl.count() == 0) {
            return false;
        }
        m_entries.emplace(key, Entry{rumour.sequence, now + ttl});
        m_digest ^= hashOf(key, rumour.sequence);
        return true;
    }
    if (rumour.sequence <= it->second.sequence) {
        return false;
    }
    m_digest ^= hashOf(key, it->second.sequence) ^ hashOf(key, rumour.sequence);
    it->second = {rumour.sequence, now + ttl};
    return true;
}

void RumourStore::expire(TimePoint now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (it->second.expiresAt > now) {
            ++it;
            continue;
        }
        m_digest ^= hashOf(it->first, it->second.sequence);
        it = m_entries.erase(it);
    }
}

std::optional<std::uint64_t> RumourStore::sequence(RumourKind kind,
                                                   const std::string &subject) const
{
    const auto it = m_entries.find({kind, subject});
    return it == m_entries.end() ? std::nullopt : std::optional{it->second.sequence};
}

std::vector<std::pair<std::string, std::uint64_t>>
RumourStore::withPrefix(RumourKind kind, const std::string &prefix) const
{
    std::vector<std::pair<std::string, std::uint64_t>> found;
    for (auto it = m_entries.lower_bound({kind, prefix}); it != m_entries.end(); ++it) {
        const auto &[key, entry] = *it;
        if (key.first != kind || key.second.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        found.emplace_back(key.second, entry.sequence);
    }
    return found;
}

std::vector<Rumour> RumourStore::all(TimePoint now) const
{
    std::vector<Rumour> rumours;
    rumours.reserve(m_entries.size());
    for (const auto &[key, entry] : m_entries) {
        const auto remaining = millisBetween(now, entry.expiresAt).count();
        if (remaining > 0) {
            rumours.push_back(
                    {key.first, key.second, entry.sequence, static_cast<std::uint32_t>(remaining)});
        }
    }
    return rumours;
}

std::uint64_t RumourStore::hashOf(const Key &key, std::uint64_t sequence)
{
    const auto kind = std::to_string(static_cast<int>(key.first));
    return stableHash({kind, key.second, std::to_string(sequence)});
}

} // namespace celeryramp
