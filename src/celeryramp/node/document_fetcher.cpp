#include "node/document_fetcher.h"

#include <algorithm>

#include "observe/log.h"

namespace celeryramp {

namespace internal {

/*! First and longest pause after a part that could not be read; drawn evenly below it. */
constexpr Millis kFirstPause{250};
constexpr Millis kLongestPause{10'000};
constexpr int kMostDoublings = 6;
/*! Sleep without work; ended early by `want`. */
constexpr Millis kIdle{60'000};

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

void DocumentFetcher::want(const Manifest &manifest)
{
    {
        const std::lock_guard lock{m_mutex};
        const ConfigStamp stamp{manifest.version, manifest.digest()};
        if (m_newest == stamp || stamp < m_newest) {
            return;
        }
        m_newest = stamp;
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
            m_waker.sleep(internal::kIdle);
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
    const auto present = m_target.document();
    for (const auto &[name, hash] : manifest.parts) {
        const auto known = present.manifest.parts.find(name);
        if (known != present.manifest.parts.end() && known->second == hash) {
            document.parts[name] = present.parts.at(name);
        } else if (const auto it = m_parts.find(hash); it != m_parts.end()) {
            document.parts[name] = it->second;
        } else {
            readPart(name, hash);
            // Which version is wanted may have changed meanwhile.
            return;
        }
    }
    m_parts.clear();
    const auto stamp = document.stamp();
    m_target.onDocument(std::move(document));
    const std::lock_guard lock{m_mutex};
    if (m_newest == stamp) {
        m_wanted.reset();
    }
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
    const int doublings = std::min(m_failures++, internal::kMostDoublings);
    const auto most = std::min(internal::kFirstPause * (1 << doublings), internal::kLongestPause);
    m_waker.sleep(Millis{
            static_cast<std::int64_t>(m_random.below(static_cast<std::uint64_t>(most.count())))});
}

} // namespace celeryramp
