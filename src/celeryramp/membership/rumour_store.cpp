#include "membership/rumour_store.h"

#include <algorithm>

#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kMaxFacts = 65536;
constexpr Millis kMaxLife{3'600'000};

} // namespace internal

bool RumourStore::apply(const Rumour &rumour, TimePoint now)
{
    const Key key{rumour.kind, rumour.subject};
    const auto life = std::min<Millis>(Millis{rumour.ttlMs}, internal::kMaxLife);
    const auto it = m_facts.find(key);
    if (it == m_facts.end()) {
        if (m_facts.size() >= internal::kMaxFacts || life.count() == 0) {
            return false;
        }
        m_facts.emplace(key, Fact{rumour.sequence, now + life});
        m_digest ^= hashOf(key, rumour.sequence);
        return true;
    }
    if (rumour.sequence <= it->second.sequence) {
        return false;
    }
    m_digest ^= hashOf(key, it->second.sequence) ^ hashOf(key, rumour.sequence);
    it->second = {rumour.sequence, now + life};
    return true;
}

void RumourStore::expire(TimePoint now)
{
    for (auto it = m_facts.begin(); it != m_facts.end();) {
        if (it->second.expiresAt > now) {
            ++it;
            continue;
        }
        m_digest ^= hashOf(it->first, it->second.sequence);
        it = m_facts.erase(it);
    }
}

std::optional<std::uint64_t> RumourStore::sequence(RumourKind kind,
                                                   const std::string &subject) const
{
    const auto it = m_facts.find({kind, subject});
    return it == m_facts.end() ? std::nullopt : std::optional{it->second.sequence};
}

std::vector<std::pair<std::string, std::uint64_t>>
RumourStore::withPrefix(RumourKind kind, const std::string &prefix) const
{
    std::vector<std::pair<std::string, std::uint64_t>> found;
    for (auto it = m_facts.lower_bound({kind, prefix}); it != m_facts.end(); ++it) {
        const auto &[key, fact] = *it;
        if (key.first != kind || key.second.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        found.emplace_back(key.second, fact.sequence);
    }
    return found;
}

std::vector<Rumour> RumourStore::all(TimePoint now) const
{
    std::vector<Rumour> rumours;
    rumours.reserve(m_facts.size());
    for (const auto &[key, fact] : m_facts) {
        const auto left = millisBetween(now, fact.expiresAt).count();
        if (left > 0) {
            rumours.push_back(
                    {key.first, key.second, fact.sequence, static_cast<std::uint32_t>(left)});
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
