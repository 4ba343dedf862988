#pragma once

#include <deque>
#include <optional>

#include "config/config_document.h"
#include "config/config_error.h"
#include "config/snapshot.h"
#include "core/result.h"
#include "core/time.h"

namespace celeryramp {

/*! @brief A version that was refused, kept for operators. */
struct Rejection
{
    ConfigStamp stamp;
    ConfigError error;
    TimePoint at;
};

/*!
 * @brief Decides which configuration is in force; only ever moves upwards.
 *
 * Order is total: version, then digest. A document is validated wholly before anything changes,
 * so that a bad one changes nothing. Does no I/O and owns no thread.
 */
class Acceptance
{
public:
    /*!
     * @brief Offers a complete document.
     * @param document All parts. @param now Present time.
     * @return The snapshot now in force, or why the document was refused: `Stale` when it is not
     * above the one in force, `Conflict` when the version is in force with a higher digest, else
     * the validation error.
     */
    [[nodiscard]] Result<SnapshotPtr, ConfigError> offer(ConfigDocument document, TimePoint now);

    /*! @return True when a document with this stamp would move the order upwards. */
    [[nodiscard]] bool isNewer(const ConfigStamp &stamp) const noexcept;

    /*! @return True when this very document was refused before; it is not worth fetching again. */
    [[nodiscard]] bool wasRejected(const ConfigStamp &stamp) const noexcept;

    /*! @return The snapshot in force; null before the first. */
    [[nodiscard]] const SnapshotPtr &inForce() const noexcept { return m_inForce; }

    /*! @return The document in force, for peers that ask for it. */
    [[nodiscard]] const ConfigDocument &document() const noexcept { return m_document; }

    /*! @return Stamp in force; version 0 before the first. */
    [[nodiscard]] const ConfigStamp &stamp() const noexcept { return m_stamp; }

    /*! @return Earlier documents that deltas can start from, oldest first. */
    [[nodiscard]] const std::deque<ConfigDocument> &history() const noexcept { return m_history; }

    /*! @return Refused documents, oldest first; bounded. */
    [[nodiscard]] const std::deque<Rejection> &rejections() const noexcept { return m_rejections; }

    /*! @return When the present version came in force. */
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
