#include "soak/soak.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include "core/boot_clock.h"
#include "names.h"
#include "soak/soak_caller.h"
#include "soak/soak_node.h"

namespace standin::soak {

namespace {

using celeryramp::Address;
using celeryramp::bootNow;
using celeryramp::Millis;
using celeryramp::millisBetween;
using celeryramp::TimePoint;
using Json = nlohmann::json;
namespace http = celeryramp::http;
namespace platform = celeryramp::platform;

constexpr std::uint16_t kLinkPort = 9101;
constexpr std::uint16_t kReadinessPort = 9102;
constexpr std::uint16_t kMetricsPort = 9104;
constexpr std::uint16_t kStorePort = 9200;
constexpr Millis kWarmUp{2500}; /*!< From the start of the nodes to the first request. */
/*! Share of the requests that are answered with success once nothing is disturbed. */
constexpr double kCalmShare = 0.9;

} // namespace

Soak::Soak(SoakOptions options)
    : m_options{std::move(options)}, m_random{m_options.seed},
      m_writer{[this](const StoreWrite &write) {
          if (write.value) {
              m_store->put(write.key, *write.value);
          } else {
              m_store->remove(write.key);
          }
      }},
      m_operator{m_writer, m_observations}
{ }

Soak::~Soak() = default;

std::string Soak::host(int network, int index) const
{
    return "127." + std::to_string(20 + m_options.seed % 200) + "." + std::to_string(network) + "."
            + std::to_string(index + 1);
}

std::string Soak::settings(const Node &node) const
{
    const auto address = [&](int network, std::uint16_t port) {
        return "\"" + host(network, node.index) + ":" + std::to_string(port) + "\"\n";
    };
    std::string text = "name = \"" + node.name + "\"\nzone = \"" + node.zone + "\"\nservice = \""
            + node.service + "\"\n";
    text += "callers = " + address(kPublicNetwork, kCallerPort);
    text += "links = " + address(kPublicNetwork, kLinkPort);
    text += "links_listen = " + address(kListenNetwork, kLinkPort);
    text += "readiness = " + address(kPublicNetwork, kReadinessPort);
    text += "backend = " + address(kPublicNetwork, kBackendPort);
    text += "source = \"" + host(kStoreNetwork, 0) + ":" + std::to_string(kStorePort) + "\"\n";
    text += "metrics_port = " + std::to_string(kMetricsPort) + "\nlog_level = \"info\"\n";
    if (!m_options.without.empty()) {
        text += "without = " + Json(m_options.without).dump() + "\n";
    }
    return text + "[bounds]\nrevocation = \"5s\"\ngrace = \"" + std::to_string(kGrace.count())
            + "ms\"\nretry_ratio = 0.2\n";
}

void Soak::addNode(int index)
{
    auto node = std::make_unique<Node>();
    node->index = index;
    node->name = nodeName(index);
    node->zone = zoneName(index);
    node->service = index * 3 < m_options.nodes * 2 ? "stock" : "files";
    node->proxy = std::make_unique<LinkProxy>(m_context,
                                              Address{host(kPublicNetwork, index), kLinkPort},
                                              Address{host(kListenNetwork, index), kLinkPort});
    node->backend = std::make_unique<Backend>(
            m_context, Address{host(kPublicNetwork, index), kBackendPort}, node->zone, m_random(),
            [this, service = node->service](Execution execution) {
                execution.service = service;
                record(execution);
            });
    node->settingsPath = m_options.directory + "/" + node->name + ".toml";
    std::ofstream{node->settingsPath} << settings(*node);
    m_nodes.push_back(std::move(node));
    replaceServer(*m_nodes.back(), Millis{0});
    startNode(*m_nodes.back());
}

void Soak::record(const Execution &execution)
{
    auto &executions = m_observations.executions;
    const auto it = execution.endedAt == TimePoint{}
            ? executions.rend()
            : std::find_if(executions.rbegin(), executions.rend(), [&](const Execution &other) {
                  return other.id == execution.id && other.server == execution.server;
              });
    if (it == executions.rend()) {
        executions.push_back(execution);
    } else {
        it->endedAt = execution.endedAt;
    }
}

void Soak::startNode(Node &node)
{
    node.isStopping = false;
    m_observations.incarnations.push_back({node.name, bootNow(), TimePoint::max()});
    m_processes.start(node.name, {m_options.program, "--settings", node.settingsPath},
                      m_options.directory + "/" + node.name + ".log");
}

void Soak::publishServer(Node &node, const char *state)
{
    node.serverState = state;
    const bool isLeaving = node.serverState == "draining";
    m_writer.write({std::string{platform::kServerPrefix} + node.serverId,
                    Json{{"Address",
                          host(kPublicNetwork, node.index) + ":" + std::to_string(kBackendPort)},
                         {"Info",
                          {{"Service", node.service},
                           {"Zone", node.zone},
                           {"Version", "v1"},
                           {"Slots", 12}}},
                         {"Status",
                          {{"State", state},
                           {"Sequence", ++node.serverSequence},
                           {"ColdRemaining", "0ms"}}},
                         {"born", node.startedMillis}}
                            .dump(),
                    isLeaving ? &m_observations.gone : nullptr, node.serverId},
                   bootNow());
}

void Soak::schedule(Millis at, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<boost::asio::steady_timer>(m_context, at));
    m_timers.back()->async_wait(
            [this, action = std::move(action)](const boost::system::error_code &ec) {
                if (!ec && !m_isOver) {
                    action();
                }
            });
}

void Soak::replaceServer(Node &node, Millis after)
{
    const auto replace = [this, &node] {
        node.serverId = "s" + std::to_string(m_nextServer++) + "-" + std::to_string(node.index);
        node.startedMillis = 1'700'000'000'000ULL + static_cast<std::uint64_t>(m_nextServer) * 1000;
        node.serverSequence = 0;
        node.backend->setId(node.serverId);
        publishServer(node, "ready");
    };
    if (after.count() == 0) {
        replace();
    } else {
        schedule(after, replace);
    }
}

SoakResult Soak::conclude()
{
    SoakResult result;
    result.requests = m_observations.requests.size();
    result.executions = m_observations.executions.size();
    std::size_t calm = 0;
    std::size_t calmServed = 0;
    for (const auto &[id, request] : m_observations.requests) {
        const bool isServed = request.end == CallerEnd::Answered && request.status == 200;
        result.served += isServed ? 1 : 0;
        if (request.sentAt > m_observations.calmFrom && request.account == "free"
            && !request.isProbe && request.end == CallerEnd::Answered) {
            ++calm;
            calmServed += isServed ? 1 : 0;
        }
    }
    m_observations.rates["small"] = {Operator::kSmallRate, Operator::kSmallRate};
    result.violations = checkPromises(m_observations, PromiseBounds{});
    if (calm == 0 || static_cast<double>(calmServed) < kCalmShare * static_cast<double>(calm)) {
        result.violations.push_back({"recovery",
                                     std::to_string(calmServed) + " of " + std::to_string(calm)
                                             + " requests served after the faults"});
    }
    return result;
}

SoakResult Soak::run()
{
    m_store = std::make_unique<Store>(m_context, Address{host(kStoreNetwork, 0), kStorePort});
    m_operator.publish(bootNow());
    for (int i = 0; i < m_options.nodes; ++i) {
        addNode(i);
    }
    const auto faults = drawFaults(m_options.seed, m_options.nodes, kZones, m_options.length);
    Millis lastEnd{0};
    for (const auto &fault : faults) {
        std::printf("%7.2f s  %-16s target %d for %.2f s\n",
                    static_cast<double>(fault.at.count()) / 1000.0, faultName(fault.kind),
                    fault.target, static_cast<double>(fault.duration.count()) / 1000.0);
        if (restoresStore(fault.kind)) {
            schedule(kWarmUp + fault.at - fault.copyAge, [this, fault] { keepCopy(fault); });
        }
        schedule(kWarmUp + fault.at, [this, fault] { begin(fault); });
        lastEnd = std::max(lastEnd, endOf(fault));
    }
    for (int i = 0; i < m_options.callers; ++i) {
        m_callers.push_back(std::make_unique<Caller>(m_context));
    }
    for (int i = 0; i < m_options.nodes; ++i) {
        m_callers.push_back(std::make_unique<Caller>(m_context));
        m_callers.back()->node = i;
        m_callers.back()->isProber = true;
    }
    for (const auto &caller : m_callers) {
        schedule(kWarmUp, [this, &caller = *caller] { sendNext(caller); });
    }
    // A run that is broken off ends its processes too.
    bool isInterrupted = false;
    boost::asio::signal_set signals{m_context, SIGINT, SIGTERM, SIGHUP};
    signals.async_wait([&](const boost::system::error_code &ec, int) {
        if (!ec) {
            isInterrupted = true;
            m_context.stop();
        }
    });
    const auto length = kWarmUp + lastEnd + m_options.calm;
    m_observations.calmFrom = bootNow() + length - m_options.calm / 3;
    m_context.run_for(length);
    m_isOver = true;
    if (isInterrupted) {
        m_processes.killAll();
        throw std::runtime_error{"interrupted"};
    }
    auto result = conclude();
    m_processes.killAll();
    return result;
}

} // namespace standin::soak
