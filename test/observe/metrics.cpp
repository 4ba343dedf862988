#include <catch2/catch.hpp>

#include "observe/metrics_registry.h"
#include "observe/process_usage.h"

using namespace celeryramp;

TEST_CASE("metrics come out in the exposition format")
{
    MetricsRegistry metrics;
    metrics.counter("calls_total{reason=\"busy\"}").add(3);
    metrics.counter("calls_total{reason=\"late\"}").add();
    metrics.gauge("links", [] { return 2.0; });
    metrics.latency("call_seconds").record(Micros{1000});
    const auto text = metrics.exposition();
    REQUIRE(text.find("# TYPE celeryramp_calls_total counter\n"
                      "celeryramp_calls_total{reason=\"busy\"} 3\n"
                      "celeryramp_calls_total{reason=\"late\"} 1\n")
            != std::string::npos);
    REQUIRE(text.find("# TYPE celeryramp_links gauge\nceleryramp_links 2\n") != std::string::npos);
    REQUIRE(text.find("celeryramp_call_seconds_count 1") != std::string::npos);
}

TEST_CASE("quantiles are near the truth")
{
    LatencySummary summary;
    for (int i = 1; i <= 10'000; ++i) {
        summary.record(Micros{(i * 7919) % 10'000 + 1});
    }
    const auto figures = summary.figures();
    REQUIRE(figures.count == 10'000);
    REQUIRE(figures.p50 == Approx(0.005).epsilon(0.05));
    REQUIRE(figures.p99 == Approx(0.0099).epsilon(0.05));
    REQUIRE(figures.max == Approx(0.01));
}

TEST_CASE("a process knows what it uses")
{
    const auto usage = processUsage();
    REQUIRE(usage.residentBytes > 0);
    REQUIRE(usage.threads >= 1);
}
