#include "node/document_fetcher.h"

#include <algorithm>

#include "observe/log.h"

namespace celeryramp {

namespace internal {

/*! Initial and maximum backoff after a failed read. The pause is uniformly random below it. */
constexpr Millis kInitialBackoff{250};
constexpr Millis kMaxBackoff{10'000};
constexpr int kMaxBackoffDoublings = 6;
/*! Sleep when there is nothing to read; `want` ends it early. */
constexpr Millis kIdleSleep{60'000};

} // namespace internal

void DocumentFetcher::start()
{
    m_thread = std::thread{[this] { loop(); }};
}

void DocumentFetcher::stop()
{
    m_stopping = true;
    m_waker.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void DocumentFetcher::want(const Manifest &manifest, TimePoint readAt)
{
    {
        const std::lock_guard lock{m_mutex};
        const ConfigStamp stamp{manifest.version, manifest.digest()};
        // A platform that was restored no longer has the parts of the versions that it lost.
        const bool canBeRead = m_failures == 0;
        if (m_requested == stamp) {
            m_readAt = readAt;
            return;
        }
        if (stamp < m_requested && canBeRead) {
            return;
        }
        m_requested = stamp;
        m_readAt = readAt;
        m_wanted = manifest;
    }
    m_waker.wake();
}

void DocumentFetcher::loop()
{
    while (!m_stopping) {
        if (auto manifest = wanted()) {
            fetch(*manifest);
        } else {
            m_waker.sleep(internal::kIdleSleep);
        }
    }
}

std::optional<Manifest> DocumentFetcher::wanted()
{
    const std::lock_guard lock{m_mutex};
    if (m_wanted && !m_target.isWanted({m_wanted->version, m_wanted->digest()})) {
        m_wanted.reset();
    }
    return m_wanted;
}

void DocumentFetcher::fetch(const Manifest &manifest)
{
    ConfigDocument document{manifest, {}};
    const auto current = m_target.document();
    for (const auto &[name, hash] : manifest.parts) {
        const auto known = current.manifest.parts.find(name);
        if (known != current.manifest.parts.end() && known->second == hash) {
            document.parts[name] = current.parts.at(name);
        } else if (const auto it = m_parts.find(hash); it != m_parts.end()) {
            document.parts[name] = it->second;
        } else {
            readPart(name, hash);
            // The wanted version may have changed during the read.
            return;
        }
    }
    m_parts.clear();
    const auto stamp = document.stamp();
    std::unique_lock lock{m_mutex};
    if (!(m_requested == stamp)) {
        return; // replaced meanwhile
    }
    m_wanted.reset();
    const auto readAt = m_readAt;
    lock.unlock();
    m_target.onDocument(std::move(document), readAt);
}

void DocumentFetcher::readPart(const std::string &name, const std::string &hash)
{
    auto part = m_source.readPart(hash);
    if (part) {
        m_failures = 0;
        m_parts[hash] = std::move(part.value());
        return;
    }
    if (m_stopping) {
        return;
    }
    logEvent(LogLevel::Warn, "platform", "part-missing",
             {{"part", name}, {"reason", part.error().reason}});
    const int doublings = std::min(m_failures++, internal::kMaxBackoffDoublings);
    const auto maxPause
            = std::min(internal::kInitialBackoff * (1 << doublings), internal::kMaxBackoff);
    m_waker.sleep(Millis{static_cast<std::int64_t>(
            m_random.below(static_cast<std::uint64_t>(maxPause.count())))});
}

} // namespace celeryramp
