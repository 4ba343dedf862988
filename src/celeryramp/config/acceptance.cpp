#include "config/acceptance.h"

#include <algorithm>

#include "config/parse.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kMaxHistory = 8;
constexpr std::size_t kMaxRejections = 16;

[[nodiscard]] ConfigError conflictError(const ConfigStamp &stamp)
{
    return {ConfigErrorCode::Conflict, "manifest", "/version",
            "version " + std::to_string(stamp.version)
                    + " is already in force with different content"};
}

} // namespace internal

Result<SnapshotPtr, ConfigError> Acceptance::offer(ConfigDocument document, TimePoint now)
{
    const auto stamp = document.stamp();
    if (stamp == m_stamp || stamp.version < m_stamp.version) {
        return ConfigError{ConfigErrorCode::Stale, "manifest", "/version",
                           "version " + std::to_string(stamp.version)
                                   + " is not newer than the one in force"};
    }
    if (!isNewer(stamp)) {
        recordRejection(stamp, internal::conflictError(stamp), now);
        return internal::conflictError(stamp);
    }
    auto built = buildSnapshot(document);
    if (!built) {
        recordRejection(stamp, built.error(), now);
        return built.error();
    }
    putInForce(std::move(document), built.value(), now);
    return m_inForce;
}

bool Acceptance::recordConflict(const ConfigStamp &stamp, TimePoint now)
{
    if (stamp.version != m_stamp.version || !(stamp < m_stamp) || wasRejected(stamp)) {
        return false;
    }
    recordRejection(stamp, internal::conflictError(stamp), now);
    return true;
}

bool Acceptance::isNewer(const ConfigStamp &stamp) const noexcept
{
    return m_stamp < stamp;
}

bool Acceptance::wasRejected(const ConfigStamp &stamp) const noexcept
{
    return std::any_of(m_rejections.begin(), m_rejections.end(),
                       [&](const Rejection &rejection) { return rejection.stamp == stamp; });
}

void Acceptance::putInForce(ConfigDocument document, SnapshotPtr snapshot, TimePoint now)
{
    if (m_inForce) {
        m_history.push_back(std::move(m_document));
    }
    if (m_history.size() > internal::kMaxHistory) {
        m_history.pop_front();
    }
    m_document = std::move(document);
    m_inForce = std::move(snapshot);
    m_stamp = m_inForce->stamp();
    m_acceptedAt = now;
}

void Acceptance::recordRejection(const ConfigStamp &stamp, const ConfigError &error, TimePoint now)
{
    m_rejections.push_back({stamp, error, now});
    if (m_rejections.size() > internal::kMaxRejections) {
        m_rejections.pop_front();
    }
}

} // namespace celeryramp
