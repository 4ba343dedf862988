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
 * @brief The duty that reads the parts of a published version, while another goes on watching for
 * the next one.
 *
 * Only the newest wanted version is read. A newer one that is wanted meanwhile replaces it between
 * two parts, and parts that both versions name are read once. On a slow platform a version thus
 * waits for one part of its predecessor at most.
 */
class DocumentFetcher
{
public:
    /*! @param source Used by the fetcher alone. @param target Outlives the fetcher. */
    DocumentFetcher(PlatformSource &source, DocumentTarget &target, std::uint64_t seed)
        : m_source{source}, m_target{target}, m_random{seed}
    { }
    ~DocumentFetcher() { stop(); }
    DocumentFetcher(const DocumentFetcher &) = delete;
    DocumentFetcher &operator=(const DocumentFetcher &) = delete;

    void start();
    /*! @brief Ends the thread. A read under way must be ended by the owner of the source. */
    void stop();

    /*! @brief This version is to be read, in place of an older one that is not read yet. */
    void want(const Manifest &manifest);

private:
    void loop();
    /*! @return The version that is wanted now, if any. */
    [[nodiscard]] std::optional<Manifest> wanted();
    /*! @brief Hands the document over when all its parts are known, or else reads one more. */
    void fetch(const Manifest &manifest);
    void readPart(const std::string &name, const std::string &hash);

    PlatformSource &m_source;
    DocumentTarget &m_target;
    RandomEngine m_random;
    std::mutex m_mutex;
    std::optional<Manifest> m_wanted; /*!< Guarded by the mutex, like the next. */
    ConfigStamp m_newest; /*!< That was ever wanted. */
    std::map<std::string, std::string> m_parts; /*!< Read so far, by hash. */
    int m_failures = 0; /*!< In a row. */
    std::atomic<bool> m_stopping{false};
    Waker m_waker;
    std::thread m_thread;
};

} // namespace celeryramp
