#include "gate/crash_tracker.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kMaxAnsweredDigests = 8192;
constexpr std::size_t kCrashesToQuarantine = 2;

[[nodiscard]] std::set<std::string> digestsWithCrashes(const RumourStore &rumours,
                                                       std::size_t minCrashes)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[subject, sequence] : rumours.withPrefix(RumourKind::Crash, "")) {
        ++counts[subject.substr(0, subject.find(' '))];
    }
    std::set<std::string> digests;
    for (const auto &[digest, count] : counts) {
        if (count >= minCrashes) {
            digests.insert(digest);
        }
    }
    return digests;
}

} // namespace internal

void CrashTracker::onAnswered(const std::string &digest)
{
    if (!m_answeredDigests.insert(digest).second) {
        return;
    }
    m_answeredOrder.push_back(digest);
    if (m_answeredOrder.size() > internal::kMaxAnsweredDigests) {
        m_answeredDigests.erase(m_answeredOrder.front());
        m_answeredOrder.pop_front();
    }
}

std::vector<Rumour> CrashTracker::onCrash(const std::vector<std::string> &digests,
                                          std::uint64_t sequence) const
{
    std::vector<Rumour> rumours;
    for (const auto &digest : digests) {
        if (m_answeredDigests.count(digest) == 0) {
            rumours.push_back({RumourKind::Crash, digest + " " + m_server, sequence,
                               static_cast<std::uint32_t>(kCrashRumourTtl.count())});
        }
    }
    return rumours;
}

std::size_t crashCount(const RumourStore &rumours, const std::string &digest)
{
    return rumours.withPrefix(RumourKind::Crash, digest + " ").size();
}

std::set<std::string> quarantinedDigests(const RumourStore &rumours)
{
    return internal::digestsWithCrashes(rumours, internal::kCrashesToQuarantine);
}

std::set<std::string> suspectDigests(const RumourStore &rumours)
{
    return internal::digestsWithCrashes(rumours, 1);
}

} // namespace celeryramp
