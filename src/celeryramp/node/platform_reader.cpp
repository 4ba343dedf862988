#include "node/platform_reader.h"

#include <algorithm>

#include "config/limits.h"
#include "observe/log.h"

namespace celeryramp {

namespace internal {

constexpr Millis kWatchWait{5000};
constexpr Millis kInitialReadBackOff{250};
constexpr Millis kMaxReadBackOff{10'000};
constexpr Millis kStaleBackOff{1000};
/*! Reads the platform itself after this time without a confirmation. */
constexpr Millis kConfirmationTimeout{15'000};
constexpr Millis kConfirmationCheckInterval{10'000};
/*! Pause between two reads of the instance list, and how long the platform delays the response
 *  while it is unchanged. A list of 1,400 instances is 56 KB, so it is sent only after a change. */
constexpr Millis kInstanceInterval{1000};
constexpr Millis kInstanceWait{5000};
constexpr Millis kDecisionPoll{20};
constexpr Millis kStartPoll{50};
constexpr Millis kRecentConfirmation{5000};
constexpr int kMaxDecisionPolls = 120;

} // namespace internal

PlatformReader::PlatformReader(const NodeSettings &settings, ControlService &control,
                               const LinkPolicy &policy, MetricsRegistry &metrics,
                               std::uint64_t seed)
    : m_settings{settings}, m_control{control}, m_client{settings.platform, policy, metrics},
      m_parts{settings.platform, policy, metrics}, m_instances{settings.platform, policy, metrics},
      m_fetcher{m_parts, control, seed + 1}, m_random{seed}, m_backOff{
                                                                     internal::kInitialReadBackOff}
{ }

PlatformReader::~PlatformReader()
{
    stop();
}

void PlatformReader::start()
{
    m_fetcher.start();
    m_thread = std::thread{[this] { loop(); }};
    m_instanceThread = std::thread{[this] {
        while (!m_stopping) {
            m_instanceWaker.sleep(internal::kInstanceInterval);
            if (m_reader && !m_stopping) {
                readInstances();
            }
        }
    }};
}

void PlatformReader::stop()
{
    m_stopping = true;
    m_watchWaker.stop();
    m_instanceWaker.stop();
    m_client.abort();
    m_parts.abort();
    m_instances.abort();
    m_fetcher.stop();
    for (auto *thread : {&m_thread, &m_instanceThread}) {
        if (thread->joinable()) {
            thread->join();
        }
    }
}

void PlatformReader::setReader(bool isReader)
{
    m_reader = isReader;
    m_watchWaker.wake();
}

void PlatformReader::loop()
{
    awaitStart();
    while (!m_stopping) {
        if (!m_firstReadDone) {
            readOnce(0, Millis{0});
            m_firstReadDone = true;
            continue;
        }
        if (m_control.stamp().version == 0) {
            m_watchWaker.sleep(jitter(internal::kInitialReadBackOff));
            readOnce(0, Millis{0});
            continue;
        }
        if (m_reader) {
            watchOnce();
            continue;
        }
        if (m_watchWaker.sleep(internal::kConfirmationCheckInterval / 2
                               + jitter(internal::kConfirmationCheckInterval))) {
            continue;
        }
        const bool isUnconfirmed
                = m_control.confirmedAgo(Clock::now()) >= internal::kConfirmationTimeout;
        if (isUnconfirmed && !m_reader && !m_stopping) {
            readOnce(0, Millis{0});
        }
    }
}

void PlatformReader::awaitStart()
{
    const auto spread = m_settings.seeds.empty() ? Millis{0} : m_settings.startSpread;
    const auto until = Clock::now() + jitter(spread);
    while (!m_stopping && Clock::now() < until) {
        const bool fresh = m_control.confirmedAgo(Clock::now()) < internal::kRecentConfirmation;
        if (fresh && m_control.stamp().version != 0) {
            m_firstReadDone = true; // a peer has just read this version from the platform
            return;
        }
        m_watchWaker.sleep(internal::kStartPoll);
    }
}

void PlatformReader::watchOnce()
{
    const auto known = m_seenVersion != 0 ? m_seenVersion : m_control.stamp().version;
    if (!readOnce(known, internal::kWatchWait)) {
        // A restored platform gives numbers out again, so only the manifest itself is a
        // confirmation.
        readOnce(0, Millis{0});
    }
}

bool PlatformReader::readOnce(std::uint64_t known, Millis wait)
{
    const auto askedAt = Clock::now();
    auto manifest = m_client.readManifest(known, wait);
    // The platform may hold the answer to a watch back, and chooses the manifest at its end.
    const auto readAt = known == 0 ? askedAt : Clock::now();
    if (m_stopping) {
        return true;
    }
    if (!manifest) {
        logEvent(LogLevel::Debug, "platform", "read-failed", {{"reason", manifest.error().reason}});
        backOff();
        return true;
    }
    m_backOff = internal::kInitialReadBackOff;
    if (!manifest.value()) {
        return false;
    }
    const auto &found = *manifest.value();
    const ConfigStamp stamp{found.version, found.digest()};
    m_seenVersion = found.version;
    if (m_control.isWanted(stamp)) {
        m_fetcher.want(found, readAt);
        if (m_control.stamp().version == 0) {
            // After a start the control service decides only once peers have answered, so that
            // reading again before then has no effect.
            awaitDecision(stamp);
        }
        return true;
    }
    m_control.push(PlatformManifestEvent{stamp, readAt});
    if (known != 0 && !(stamp == m_control.stamp())) {
        m_watchWaker.sleep(internal::kStaleBackOff + jitter(internal::kStaleBackOff));
    }
    return true;
}

void PlatformReader::awaitDecision(const ConfigStamp &stamp)
{
    for (int i = 0; i < internal::kMaxDecisionPolls && m_control.isWanted(stamp) && !m_stopping;
         ++i) {
        m_watchWaker.sleep(internal::kDecisionPoll);
    }
}

void PlatformReader::readInstances()
{
    auto list = m_instances.readInstances(m_listHistory.knownIndex(), internal::kInstanceWait);
    if (!list) {
        m_listHistory.onFailure();
        if (!m_stopping) {
            logEvent(LogLevel::Debug, "platform", "instances-unread",
                     {{"reason", list.error().reason}});
        }
        return;
    }
    if (!list.value()) {
        return;
    }
    if (const auto change = m_listHistory.onList(*list.value()); change != ListChange::None) {
        m_control.push(InstanceListEvent{std::move(*list.value()), change == ListChange::Restored});
    }
}

void PlatformReader::backOff()
{
    m_watchWaker.sleep(jitter(m_backOff));
    m_backOff = std::min(internal::kMaxReadBackOff, m_backOff * 2);
}

Millis PlatformReader::jitter(Millis maxPause)
{
    return Millis{static_cast<std::int64_t>(m_random.below(
            static_cast<std::uint64_t>(std::max<std::int64_t>(1, maxPause.count()))))};
}

} // namespace celeryramp
