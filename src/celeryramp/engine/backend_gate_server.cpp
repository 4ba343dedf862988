/*! @file
 *  What a gate knows of the state of its server: from answers, health probes and crashes.
 */

#include <string>

#include "core/boot_clock.h"
#include "engine/backend_gate.h"
#include "observe/log.h"
#include "observe/rejected_answer.h"

namespace celeryramp::engine {

namespace internal {

/*! Time for which a server is treated as cold when its service configures no cold start time. */
constexpr Millis kDefaultColdDuration{3000};
/*! Time limit of a health probe, which may wait for a slot of the server. */
constexpr Millis kProbeTimeout{2000};
/*! Minimum time between two health probes of the server. */
constexpr Millis kProbeInterval{300};
constexpr int kOk = 200;
constexpr std::string_view kHealthy = "healthy";

/*! @return Result of a health probe, for logs and metrics. */
[[nodiscard]] std::string_view probeOutcome(http::ExchangeEnd end, const http::Answer &answer,
                                            bool isPublishedServer)
{
    switch (end) {
    case http::ExchangeEnd::NotSent:
        return "not-sent";
    case http::ExchangeEnd::Lost:
        return "lost";
    case http::ExchangeEnd::Malformed:
        return "malformed";
    case http::ExchangeEnd::Cancelled:
        return "cancelled";
    case http::ExchangeEnd::Answered:
        break;
    }
    if (answer.status != kOk) {
        return "unhealthy";
    }
    return isPublishedServer ? kHealthy : "other-server";
}

} // namespace internal

void BackendGate::onServerState(const proxy::AnswerMetadata &answer, TimePoint now)
{
    onRateLimit(answer, now);
    if (answer.isLeaving && !answer.isOtherServer && !std::exchange(m_isServerLeaving, true)) {
        logEvent(LogLevel::Info, "gate", "server-leaving", {{"server", m_server.id}});
        updateClosed(now);
    }
}

void BackendGate::onRateLimit(const proxy::AnswerMetadata &answer, TimePoint now)
{
    if (answer.isOtherServer || (!answer.rateLimit && !answer.isSigned)) {
        return;
    }
    const auto before = m_admission.rate().perSecond();
    const auto limit = answer.rateLimit.value_or(proxy::kNoRateLimit);
    m_admission.rate().onAnswer(limit, now);
    if (before.value_or(proxy::kNoRateLimit) != limit) {
        logEvent(LogLevel::Info, "gate", "server-limit",
                 {{"server", m_server.id},
                  {"per_second", answer.rateLimit ? std::to_string(limit) : "none"}});
    }
}

void BackendGate::onMismatch(const std::string &requestId, TimePoint now)
{
    logEvent(LogLevel::Warn, "gate", "server-mismatch",
             {{"request", requestId}, {"server", m_server.id}});
    if (m_service.healthPath.empty()) {
        return; // nothing would show that the server is the intended one after all
    }
    m_isMismatched = true;
    assumeCold("mismatch");
    updateClosed(now);
}

void BackendGate::assumeCold(const char *cause)
{
    const auto cold = m_service.coldStart.count() > 0 ? m_service.coldStart
                                                      : internal::kDefaultColdDuration;
    m_admission.cold().markCold(bootNow() + cold);
    if (!m_needsProbe) {
        logEvent(LogLevel::Info, "gate", "server-doubted",
                 {{"server", m_server.id}, {"why", cause}});
    }
    m_needsProbe = true;
}

void BackendGate::reportCrash(TimePoint now)
{
    const auto suspects = m_crashes.onServerDown(m_server.id, now);
    if (!suspects.empty() && m_crashHandler) {
        logEvent(LogLevel::Warn, "gate", "server-down",
                 {{"server", m_server.id}, {"suspects", std::to_string(suspects.size())}});
        m_crashHandler(suspects);
    }
}

void BackendGate::probeIfNeeded(TimePoint now)
{
    if (!m_needsProbe || m_isProbing || m_server.id.empty() || m_service.healthPath.empty()
        || millisBetween(m_lastProbeAt, now) < internal::kProbeInterval) {
        return;
    }
    m_isProbing = true;
    m_lastProbeAt = now;
    http::Exchange exchange;
    exchange.wire = http::serialize(m_headerAdapter.healthProbe(m_service));
    exchange.done = [this](http::ExchangeEnd end, const http::Answer &answer) {
        m_isProbing = false;
        const auto connection = std::exchange(m_probeConnection, nullptr);
        m_probeTimer.cancel();
        onProbeEnd(end, answer, connection ? connection->answerError() : http::AnswerError::None,
                   bootNow());
    };
    m_probeTimer.expires_after(internal::kProbeTimeout);
    m_probeTimer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec && m_isProbing && m_probeConnection) {
            m_probeConnection->cancel();
        }
    });
    m_probeConnection = m_pool.send(std::move(exchange), Millis::max(), now);
}

void BackendGate::onProbeEnd(http::ExchangeEnd end, const http::Answer &answer,
                             http::AnswerError error, TimePoint now)
{
    const auto metadata = m_headerAdapter.readAnswer(answer);
    const auto outcome = internal::probeOutcome(end, answer, metadata.serverId == m_server.id);
    m_metrics.counter("health_probes_total{outcome=\"" + std::string{outcome} + "\"}").add();
    if (end == http::ExchangeEnd::Malformed) {
        recordRejectedAnswer(m_metrics, {"health", {}, m_server.id, http::answerErrorName(error)});
    }
    if (outcome != internal::kHealthy) {
        logEvent(LogLevel::Info, "gate", "probe-failed",
                 {{"server", m_server.id},
                  {"outcome", std::string{outcome}},
                  {"status", std::to_string(answer.status)},
                  {"spent_ms", std::to_string(millisBetween(m_lastProbeAt, now).count())}});
        return;
    }
    onServerState(metadata, now);
    m_needsProbe = false;
    m_isMismatched = false;
    updateClosed(now);
    const auto cold = metadata.coldFor.value_or(Millis{0});
    if (cold.count() > 0) {
        m_admission.cold().markCold(now + cold);
    } else {
        m_admission.cold().markWarm(now);
    }
    logEvent(LogLevel::Info, "gate", "server-probed",
             {{"server", m_server.id}, {"cold_ms", std::to_string(cold.count())}});
    dispatchWaiting(now);
}

} // namespace celeryramp::engine
