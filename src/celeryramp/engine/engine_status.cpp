/*! @file
 *  Answers of the endpoints that show the state of a node.
 */

#include "core/boot_clock.h"
#include "engine/engine.h"
#include "observe/process_usage.h"

namespace celeryramp::engine {

http::Answer Engine::respondReadiness(std::string_view path) const
{
    http::Answer answer;
    const bool isReady = !m_shutdown && m_replica.view()->routing != nullptr;
    answer.status = path != m_bindings.readinessPath ? 404 : isReady ? 200 : 503;
    return answer;
}

http::Answer Engine::respondMetrics(std::string_view path)
{
    http::Answer answer;
    answer.status = path == m_bindings.metricsPath ? 200 : 404;
    if (answer.status == 200) {
        const auto &view = *m_replica.view();
        answer.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        // Gauges come first: collectors that cut a long exposition off lose the least.
        const auto gauge = [&answer](const char *name, auto value) {
            answer.body += std::string{name} + " " + std::to_string(value) + "\n";
        };
        gauge("directory_version", view.routing ? view.routing->version() : 0);
        gauge("directory_keys_required", view.routing && view.routing->needsKeys() ? 1 : 0);
        gauge("directory_accounts",
              view.routing ? view.routing->configuration().accounts.entries().size() : 0);
        gauge("directory_keys", view.routing ? view.routing->keyCount() : 0);
        gauge("directory_era", m_replica.position().era);
        gauge("directory_revision", m_replica.position().revision);
        gauge("source_era", m_sourceEra);
        gauge("directory_age_ms", m_replica.age(bootNow()).count());
        gauge("directory_servers", view.servers.size());
        gauge("directory_evacuated_zones", view.evacuatedZones.size());
        gauge("caller_connections", m_dispatcher.connections().size());
        gauge("link_frame_bytes_total", m_peers.frameBytes());
        gauge("caller_unsent_bytes", callerBytes());
        gauge("link_unsent_bytes", m_peers.unsentBytes());
        const auto now = bootNow();
        const auto load = m_gate.load(now);
        gauge("gate_concurrency_limit", m_gate.concurrency(now));
        gauge("gate_overloaded", load.isOverloaded ? 1 : 0);
        gauge("gate_link_wait_ms", load.linkWaitMillis);
        gauge("gate_unsent_bytes", m_gate.unsentBytes());
        gauge("refused_requests_known", m_dispatcher.refusedRequests());
        gauge("request_body_bytes", m_bodies.heldBytes());
        gauge("request_body_limit_bytes", m_bodies.limit());
        const auto usage = processUsage();
        gauge("process_cpu_seconds_total", usage.cpuSeconds);
        gauge("process_resident_bytes", usage.residentBytes);
        answer.body += m_metrics.exposition();
    }
    return answer;
}

} // namespace celeryramp::engine
