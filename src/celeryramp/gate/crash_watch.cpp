#include "gate/crash_watch.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kAnsweredKept = 8192;
constexpr std::size_t kCrashesToQuarantine = 2;

[[nodiscard]] std::set<std::string> digestsWithCrashes(const RumourStore &rumours,
                                                       std::size_t least)
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[subject, sequence] : rumours.withPrefix(RumourKind::Crash, "")) {
        ++counts[subject.substr(0, subject.find(' '))];
    }
    std::set<std::string> digests;
    for (const auto &[digest, n] : counts) {
        if (n >= least) {
            digests.insert(digest);
        }
    }
    return digests;
}

} // namespace internal

void CrashWatch::onAnswered(const std::string &digest)
{
    if (!m_answered.insert(digest).second) {
        return;
    }
    m_order.push_back(digest);
    if (m_order.size() > internal::kAnsweredKept) {
        m_answered.erase(m_order.front());
        m_order.pop_front();
    }
}

std::vector<Rumour> CrashWatch::onCrash(const std::vector<std::string> &digests,
                                        std::uint64_t sequence) const
{
    std::vector<Rumour> rumours;
    for (const auto &digest : digests) {
        if (m_answered.count(digest) == 0) {
            rumours.push_back({RumourKind::Crash, digest + " " + m_server, sequence,
                               static_cast<std::uint32_t>(kCrashMemory.count())});
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
