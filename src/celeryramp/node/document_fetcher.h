#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "config/manifest.h"
#include "core/random.h"
#include "core/waker.h"
#include "node/document_target.h"
#include "transport/platform_source.h"

namespace celeryramp {

/*!
 * @brief Reads the parts of a published version on a thread of its own, while another thread
 * watches for the next version.
 *
 * Only the newest wanted version is read. A newer version replaces it between two parts, and parts
 * common to both are read once. On a slow platform a version therefore waits for at most one part
 * of its predecessor. An older version replaces it only while its parts cannot be read.
 */
class DocumentFetcher
{
public:
    /*! @param source Used only by the fetcher. @param target Must outlive the fetcher. */
    DocumentFetcher(PlatformSource &source, DocumentTarget &target, std::uint64_t seed)
        : m_source{source}, m_target{target}, m_random{seed}
    { }
    ~DocumentFetcher() { stop(); }
    DocumentFetcher(const DocumentFetcher &) = delete;
    DocumentFetcher &operator=(const DocumentFetcher &) = delete;

    void start();
    /*! @brief Joins the thread. The owner of the source must interrupt a read in progress. */
    void stop();

    /*! @brief Requests a version, which replaces an older or unreadable one that is not read yet.
     *  @param readAt When the manifest was read. */
    void want(const Manifest &manifest, TimePoint readAt);

private:
    void loop();
    /*! @return The version to read now, if any. */
    [[nodiscard]] std::optional<Manifest> wanted();
    /*! @brief Delivers the document when all its parts are known; otherwise reads one more part. */
    void fetch(const Manifest &manifest);
    void readPart(const std::string &name, const std::string &hash);

    PlatformSource &m_source;
    DocumentTarget &m_target;
    RandomEngine m_random;
    std::mutex m_mutex;
    std::optional<Manifest> m_wanted; /*!< Guarded by m_mutex, like m_requested. */
    ConfigStamp m_requested; /*!< Stamp requested last. */
    TimePoint m_readAt; /*!< When its manifest was last read. */
    std::map<std::string, std::string> m_parts; /*!< Parts read so far, by hash. */
    std::atomic<int> m_failures{0}; /*!< Consecutive failed reads. */
    std::atomic<bool> m_stopping{false};
    Waker m_waker;
    std::thread m_thread;
};

} // namespace celeryramp
