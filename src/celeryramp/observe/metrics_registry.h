#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "observe/counter.h"
#include "observe/latency_summary.h"

namespace celeryramp {

/*!
 * @brief All metrics of one process by name; safe to use from several threads.
 * A name may carry labels in the exposition format, such as `calls_total{reason="busy"}`.
 */
class MetricsRegistry
{
public:
    /*! @return The counter of this name, made on first use; lives as long as the registry. */
    [[nodiscard]] Counter &counter(const std::string &name);

    /*! @return The latency summary of this name, made on first use. */
    [[nodiscard]] LatencySummary &latency(const std::string &name);

    /*! @brief Adds a figure that is read when asked for. */
    void gauge(const std::string &name, std::function<double()> read);

    /*! @return All metrics in the text exposition format. */
    [[nodiscard]] std::string exposition() const;

    /*! @return All counters and summaries as JSON. */
    [[nodiscard]] nlohmann::json json() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<Counter>> m_counters;
    std::map<std::string, std::unique_ptr<LatencySummary>> m_latencies;
    std::map<std::string, std::function<double()>> m_gauges;
};

} // namespace celeryramp
