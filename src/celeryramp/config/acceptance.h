#pragma once

#include <deque>
#include <optional>

#include "config/config_document.h"
#include "config/config_error.h"
#include "config/snapshot.h"
#include "core/result.h"
#include "core/time.h"

namespace celeryramp {

/*! @brief Describes a rejected document, kept so that operators can see why it was rejected. */
struct Rejection
{
    ConfigStamp stamp;
    ConfigError error;
    TimePoint at;
};

/*!
 * @brief Decides which configuration is in force.
 *
 * Configurations are totally ordered by version, then by digest, and the configuration in force
 * is only ever replaced by a higher one. A document is validated completely before any state
 * changes, so an invalid document has no effect on the configuration in force. The class does no
 * I/O and owns no thread.
 */
class Acceptance
{
public:
    /*!
     * @brief Validates a document and puts it in force if it is newer than the current one.
     * @param document The manifest and all parts. @param now Current time.
     * @return The snapshot now in force, or the reason for the rejection: `Stale` if the version
     * is lower than the one in force or the document is the one in force, `Conflict` if the same
     * version is in force with a higher digest, otherwise the validation error. `Stale` is not
     * recorded in `rejections()`.
     */
    [[nodiscard]] Result<SnapshotPtr, ConfigError> offer(ConfigDocument document, TimePoint now);

    /*!
     * @brief Records a rejection if the stamp has the version in force and a lower digest, which
     * is never put in force. A known rejection is not recorded again.
     * @return True if a rejection was recorded.
     */
    bool recordConflict(const ConfigStamp &stamp, TimePoint now);

    /*! @return True if the stamp is higher than the one in force. */
    [[nodiscard]] bool isNewer(const ConfigStamp &stamp) const noexcept;

    /*! @return True if a document with this stamp is among the recorded rejections; fetching it
     * again would only reject it again. */
    [[nodiscard]] bool wasRejected(const ConfigStamp &stamp) const noexcept;

    /*! @return The snapshot in force; null before the first accepted document. */
    [[nodiscard]] const SnapshotPtr &inForce() const noexcept { return m_inForce; }

    /*! @return The document in force, which is sent to peers that request it. */
    [[nodiscard]] const ConfigDocument &document() const noexcept { return m_document; }

    /*! @return Stamp in force; version 0 before the first accepted document. */
    [[nodiscard]] const ConfigStamp &stamp() const noexcept { return m_stamp; }

    /*! @return Up to 8 previously accepted documents that can be the base of a delta, oldest first.
     */
    [[nodiscard]] const std::deque<ConfigDocument> &history() const noexcept { return m_history; }

    /*! @return The last 16 rejections, oldest first. */
    [[nodiscard]] const std::deque<Rejection> &rejections() const noexcept { return m_rejections; }

    /*! @return Time at which the current document was accepted. */
    [[nodiscard]] TimePoint acceptedAt() const noexcept { return m_acceptedAt; }

private:
    void putInForce(ConfigDocument document, SnapshotPtr snapshot, TimePoint now);
    void recordRejection(const ConfigStamp &stamp, const ConfigError &error, TimePoint now);

    SnapshotPtr m_inForce;
    ConfigDocument m_document;
    ConfigStamp m_stamp;
    std::deque<ConfigDocument> m_history;
    std::deque<Rejection> m_rejections;
    TimePoint m_acceptedAt;
};

} // namespace celeryramp
