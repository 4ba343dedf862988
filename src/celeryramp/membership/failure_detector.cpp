#include "membership/failure_detector.h"

#include <algorithm>

namespace celeryramp {

void FailureDetector::heard(const std::string &server, std::uint64_t incarnation, TimePoint now)
{
    auto &watch = m_watches[server];
    watch.incarnation = std::max(watch.incarnation, incarnation);
    watch.lastHeard = now;
    watch.refused = false;
    watch.reported = false;
}

void FailureDetector::refused(const std::string &server)
{
    if (const auto it = m_watches.find(server); it != m_watches.end()) {
        it->second.refused = true;
    }
}

void FailureDetector::forgive(TimePoint now)
{
    for (auto &[server, watch] : m_watches) {
        watch.lastHeard = now;
    }
}

void FailureDetector::forget(const std::string &server)
{
    m_watches.erase(server);
}

std::uint64_t FailureDetector::incarnationOf(const std::string &server) const
{
    const auto it = m_watches.find(server);
    return it == m_watches.end() ? 0 : it->second.incarnation;
}

std::vector<Missing> FailureDetector::poll(TimePoint now)
{
    std::vector<Missing> missing;
    for (auto &[server, watch] : m_watches) {
        const bool silent = now - watch.lastHeard >= kSuspicionTimeout;
        if (!watch.reported && (silent || watch.refused)) {
            watch.reported = true;
            missing.push_back({server, watch.incarnation});
        }
    }
    return missing;
}

} // namespace celeryramp
