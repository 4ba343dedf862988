#include "observe/metrics_registry.h"

#include <sstream>

#include <nlohmann/json.hpp>

namespace celeryramp {

namespace internal {

const std::string kPrefix = "celeryramp_";

[[nodiscard]] std::string baseName(const std::string &name)
{
    return name.substr(0, name.find('{'));
}

template <typename Map, typename Write>
void writeFamilies(std::ostream &out, const Map &map, const char *type, Write write)
{
    std::string family;
    for (const auto &[name, value] : map) {
        if (baseName(name) != family) {
            family = baseName(name);
            out << "# TYPE " << kPrefix << family << ' ' << type << '\n';
        }
        write(name, value);
    }
}

void writeSummary(std::ostream &out, const std::string &name, const LatencyFigures &figures)
{
    const auto line = [&](const char *quantile, double value) {
        out << kPrefix << name << "{quantile=\"" << quantile << "\"} " << value << '\n';
    };
    line("0.5", figures.p50);
    line("0.9", figures.p90);
    line("0.99", figures.p99);
    line("0.999", figures.p999);
    out << kPrefix << name << "_sum " << figures.sum << '\n';
    out << kPrefix << name << "_count " << figures.count << '\n';
}

} // namespace internal

Counter &MetricsRegistry::counter(const std::string &name)
{
    const std::lock_guard lock{m_mutex};
    auto &place = m_counters[name];
    if (!place) {
        place = std::make_unique<Counter>();
    }
    return *place;
}

LatencySummary &MetricsRegistry::latency(const std::string &name)
{
    const std::lock_guard lock{m_mutex};
    auto &place = m_latencies[name];
    if (!place) {
        place = std::make_unique<LatencySummary>();
    }
    return *place;
}

void MetricsRegistry::gauge(const std::string &name, std::function<double()> read)
{
    const std::lock_guard lock{m_mutex};
    m_gauges[name] = std::move(read);
}

std::string MetricsRegistry::exposition() const
{
    const std::lock_guard lock{m_mutex};
    std::ostringstream out;
    internal::writeFamilies(out, m_counters, "counter", [&](const auto &name, const auto &value) {
        out << internal::kPrefix << name << ' ' << value->value() << '\n';
    });
    internal::writeFamilies(out, m_gauges, "gauge", [&](const auto &name, const auto &read) {
        out << internal::kPrefix << name << ' ' << read() << '\n';
    });
    internal::writeFamilies(out, m_latencies, "summary", [&](const auto &name, const auto &value) {
        internal::writeSummary(out, name, value->figures());
    });
    return out.str();
}

nlohmann::json MetricsRegistry::json() const
{
    const std::lock_guard lock{m_mutex};
    auto json = nlohmann::json::object();
    for (const auto &[name, value] : m_counters) {
        json[name] = value->value();
    }
    for (const auto &[name, read] : m_gauges) {
        json[name] = read();
    }
    for (const auto &[name, value] : m_latencies) {
        const auto figures = value->figures();
        json[name] = {{"count", figures.count}, {"p50", figures.p50},   {"p90", figures.p90},
                      {"p99", figures.p99},     {"p999", figures.p999}, {"max", figures.max}};
    }
    return json;
}

} // namespace celeryramp
