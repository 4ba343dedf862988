#include "node/platform_duty.h"

#include <algorithm>

#include "config/limits.h"
#include "observe/log.h"

namespace celeryramp {

namespace internal {

constexpr Millis kWatchWait{5000};
constexpr Millis kFirstBackOff{250};
constexpr Millis kLongestBackOff{10'000};
constexpr Millis kStaleBackOff{1000};
constexpr Millis kDeafAfter{15'000}; /*!< Without any confirmation for this long, look oneself. */
constexpr Millis kDeafCheck{10'000};
/*! Pause between two reads of the list of instances, and how long the platform holds an unchanged
 *  one back. The list of 1,400 instances is 56 KB, so that it is read only when it changed. */
constexpr Millis kInstanceInterval{1000};
constexpr Millis kInstanceWait{5000};
constexpr Millis kDecisionPoll{20};
constexpr Millis kStartPoll{50};
constexpr Millis kFreshEnough{5000};
constexpr int kDecisionPolls = 120;

} // namespace internal

PlatformDuty::PlatformDuty(const NodeSettings &settings, ControlDuty &control,
                           const LinkPolicy &policy, MetricsRegistry &metrics, std::uint64_t seed)
    : m_settings{settings}, m_control{control}, m_client{settings.platform, policy, metrics},
      m_parts{settings.platform, policy, metrics}, m_instances{settings.platform, policy, metrics},
      m_fetcher{m_parts, control, seed + 1}, m_random{seed}, m_backOff{internal::kFirstBackOff}
{ }

PlatformDuty::~PlatformDuty()
{
    stop();
}

void PlatformDuty::start()
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

void PlatformDuty::stop()
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

void PlatformDuty::setReader(bool isReader)
{
    m_reader = isReader;
    m_watchWaker.wake();
}

void PlatformDuty::loop()
{
    awaitStart();
    while (!m_stopping) {
        if (!m_asked) {
            readOnce(0, Millis{0});
            m_asked = true;
            continue;
        }
        if (m_control.stamp().version == 0) {
            m_watchWaker.sleep(jitter(internal::kFirstBackOff));
            readOnce(0, Millis{0});
            continue;
        }
        if (m_reader) {
            watchOnce();
            continue;
        }
        if (m_watchWaker.sleep(internal::kDeafCheck / 2 + jitter(internal::kDeafCheck))) {
            continue;
        }
        const bool deaf = m_control.confirmedAgo(Clock::now()) >= internal::kDeafAfter;
        if (deaf && !m_reader && !m_stopping) {
            readOnce(0, Millis{0});
        }
    }
}

void PlatformDuty::awaitStart()
{
    const auto spread = m_settings.seeds.empty() ? Millis{0} : m_settings.startSpread;
    const auto until = Clock::now() + jitter(spread);
    while (!m_stopping && Clock::now() < until) {
        const bool fresh = m_control.confirmedAgo(Clock::now()) < internal::kFreshEnough;
        if (fresh && m_control.stamp().version != 0) {
            m_asked = true; // a peer has just had this from the platform
            return;
        }
        m_watchWaker.sleep(internal::kStartPoll);
    }
}

void PlatformDuty::watchOnce()
{
    // Also past a version whose parts are still being read.
    readOnce(std::max(m_seenVersion, m_control.stamp().version), internal::kWatchWait);
}

void PlatformDuty::readOnce(std::uint64_t known, Millis wait)
{
    auto manifest = m_client.readManifest(known, wait);
    if (m_stopping) {
        return;
    }
    if (!manifest) {
        logEvent(LogLevel::Debug, "platform", "read-failed", {{"reason", manifest.error().reason}});
        backOff();
        return;
    }
    m_backOff = internal::kFirstBackOff;
    if (!manifest.value()) {
        if (known == m_control.stamp().version) {
            m_control.push(PlatformConfirmedEvent{});
        }
        return;
    }
    const auto &found = *manifest.value();
    const ConfigStamp stamp{found.version, found.digest()};
    if (m_control.isWanted(stamp)) {
        m_fetcher.want(found);
        m_seenVersion = std::max(m_seenVersion, found.version);
        if (m_control.stamp().version == 0) {
            // At a start the control duty decides only after peers were heard; reading again
            // before that is useless.
            awaitDecision(stamp);
        }
        return;
    }
    if (stamp == m_control.stamp()) {
        m_control.push(PlatformConfirmedEvent{});
    }
    if (known != 0) {
        m_watchWaker.sleep(internal::kStaleBackOff + jitter(internal::kStaleBackOff));
    }
}

void PlatformDuty::awaitDecision(const ConfigStamp &stamp)
{
    for (int i = 0; i < internal::kDecisionPolls && m_control.isWanted(stamp) && !m_stopping; ++i) {
        m_watchWaker.sleep(internal::kDecisionPoll);
    }
}

void PlatformDuty::readInstances()
{
    auto list = m_instances.readInstances(m_instanceIndex, internal::kInstanceWait);
    if (!list) {
        if (!m_stopping) {
            logEvent(LogLevel::Debug, "platform", "instances-unread",
                     {{"reason", list.error().reason}});
        }
        return;
    }
    if (list.value()) {
        m_instanceIndex = list.value()->index;
        m_control.push(InstanceListEvent{std::move(*list.value())});
    }
}

void PlatformDuty::backOff()
{
    m_watchWaker.sleep(jitter(m_backOff));
    m_backOff = std::min(internal::kLongestBackOff, m_backOff * 2);
}

Millis PlatformDuty::jitter(Millis most)
{
    return Millis{static_cast<std::int64_t>(
            m_random.below(static_cast<std::uint64_t>(std::max<std::int64_t>(1, most.count()))))};
}

} // namespace celeryramp
