#include "soak/soak.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include "core/boot_clock.h"
#include "names.h"

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

constexpr std::uint16_t kCallerPort = 9100;
constexpr std::uint16_t kLinkPort = 9101;
constexpr std::uint16_t kReadinessPort = 9102;
constexpr std::uint16_t kBackendPort = 9103;
constexpr std::uint16_t kMetricsPort = 9104;
constexpr std::uint16_t kStorePort = 9200;
/*! Networks of addresses: the store, what peers and callers use, where nodes listen for links. */
constexpr int kStoreNetwork = 0;
constexpr int kPublicNetwork = 1;
constexpr int kListenNetwork = 2;

constexpr int kZones = 3;
constexpr int kRevocableKeys = 4;
constexpr double kSmallRate = 15.0;
constexpr Millis kWarmUp{2500}; /*!< From the start of the nodes to the first request. */
constexpr Millis kGrace{6000};
constexpr Millis kDrainTime{6000}; /*!< From the report of a leaving server to its removal. */
/*! Callers learn from the readiness check that a node stops. */
constexpr Millis kReadinessLag{2000};
/*! Share of the requests that are answered with success once nothing is disturbed. */
constexpr double kCalmShare = 0.9;

std::string zoneName(int index)
{
    return std::string(1, static_cast<char>('a' + index % kZones));
}

} // namespace

struct Soak::Node
{
    int index = 0;
    std::string name;
    std::string zone;
    std::string service;
    std::string serverId;
    std::string settingsPath;
    std::unique_ptr<LinkProxy> proxy;
    std::unique_ptr<Backend> backend;
    std::uint64_t startedMillis = 0;
    bool isStopping = false;
    TimePoint stopBegan;
};

struct Soak::Caller
{
    Caller(boost::asio::io_context &context) : timer{context}, deadline{context} { }

    int node = 0;
    int requestsLeft = 0; /*!< Before it moves to another node. */
    http::ClientConnectionPtr connection;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer deadline;
};

Soak::Soak(SoakOptions options) : m_options{std::move(options)}, m_random{m_options.seed} { }

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
    node->name = "node-" + std::to_string(index);
    node->zone = zoneName(index);
    node->service = index * 3 < m_options.nodes * 2 ? "stock" : "files";
    node->proxy = std::make_unique<LinkProxy>(m_context,
                                              Address{host(kPublicNetwork, index), kLinkPort},
                                              Address{host(kListenNetwork, index), kLinkPort});
    node->backend = std::make_unique<Backend>(
            m_context, Address{host(kPublicNetwork, index), kBackendPort}, node->zone, m_random(),
            [this](const Execution &execution) { record(execution); });
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
    m_processes.start(node.name, {m_options.program, "--settings", node.settingsPath},
                      m_options.directory + "/" + node.name + ".log");
}

void Soak::publishConfiguration()
{
    const auto route = [](const char *name, const char *prefix, const char *service,
                          const char *kind, int timeoutMs) {
        return Json{{"Name", name},
                    {"Host", "soak.example"},
                    {"Prefix", prefix},
                    {"Service", service},
                    {"Kind", kind},
                    {"Timeout", std::to_string(timeoutMs) + "ms"},
                    {"TargetLatency", "400ms"},
                    {"MaxAttempts", 2}};
    };
    const auto account = [](const std::string &name, const std::vector<std::string> &keys,
                            double rate) {
        return Json{{"Name", name}, {"ApiKeys", keys}, {"RatePerS", rate}, {"Burst", rate}};
    };
    Json configuration{{"Version", m_version += 2}};
    // The timeouts alternate, so that each version changes something.
    const int timeout = 1800 + m_version % 4 * 50;
    configuration["Routes"] = {route("read", "/r/", "stock", "idempotent", timeout),
                               route("write", "/w/", "stock", "non_idempotent", timeout),
                               route("download", "/d/", "files", "download", timeout)};
    configuration["Services"] = {{{"Name", "stock"}, {"HealthPath", "/health"}},
                                 {{"Name", "files"}, {"HealthPath", "/health"}}};
    configuration["Tenants"]
            = {account("free", {"k-free"}, 0.0), account("small", {"k-small"}, kSmallRate)};
    for (int i = m_withdrawn; i < kRevocableKeys; ++i) {
        configuration["Tenants"].push_back(account("revocable-" + std::to_string(i),
                                                   {"k-revocable-" + std::to_string(i)}, 0.0));
    }
    m_store->put(std::string{platform::kConfigurationKey}, configuration.dump());
}

void Soak::publishServer(const Node &node, const char *state)
{
    m_store->put(
            std::string{platform::kServerPrefix} + node.serverId,
            Json{{"Address", host(kPublicNetwork, node.index) + ":" + std::to_string(kBackendPort)},
                 {"Info",
                  {{"Service", node.service},
                   {"Zone", node.zone},
                   {"Version", "v1"},
                   {"Slots", 12}}},
                 {"Status", {{"State", state}, {"Sequence", 1}, {"ColdRemaining", "0ms"}}},
                 {"born", node.startedMillis}}
                    .dump());
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

void Soak::begin(const Fault &fault)
{
    auto &node = *m_nodes.at(static_cast<std::size_t>(fault.target) % m_nodes.size());
    const auto now = bootNow();
    if (isUnplanned(fault.kind)) {
        m_observations.disturbances.push_back({node.name, now, now + fault.duration});
    }
    switch (fault.kind) {
    case FaultKind::NodeKill:
        killNode(node, fault.duration);
        break;
    case FaultKind::NodeKillTwice:
        killNode(node, Millis{50});
        schedule(fault.duration, [this, &node] { killNode(node, Millis{100}); });
        break;
    case FaultKind::NodePause:
        m_processes.signal(node.name, SIGSTOP);
        schedule(fault.duration, [this, &node] { m_processes.signal(node.name, SIGCONT); });
        break;
    case FaultKind::NodeStop:
        stopNode(node);
        break;
    case FaultKind::ServerLeaves:
        m_observations.gone.push_back({node.serverId, now, TimePoint::max()});
        publishServer(node, "draining");
        schedule(kDrainTime, [this, id = node.serverId] {
            m_store->remove(std::string{platform::kServerPrefix} + id);
        });
        replaceServer(node, fault.duration);
        break;
    case FaultKind::ZoneEvacuated: {
        const auto zone = zoneName(fault.target);
        const auto key = std::string{platform::kEvacuationPrefix} + zone;
        m_store->put(key, "{}");
        m_observations.evacuated.push_back({zone, now, now + fault.duration});
        schedule(fault.duration, [this, key] { m_store->remove(key); });
        break;
    }
    case FaultKind::KeyWithdrawn:
        withdrawKey(node, fault.duration);
        break;
    case FaultKind::ConfigChanged:
        publishConfiguration();
        break;
    case FaultKind::ZoneSilence:
        silenceZone(zoneName(fault.target), fault.duration);
        break;
    case FaultKind::LateFrames:
        // New links pass, so the next process is heard before what this one has sent.
        node.proxy->setPresentState(LinkState::held());
        stopNode(node);
        schedule(fault.duration, [&node] { node.proxy->setState({}); });
        break;
    default:
        beginLinkFault(fault, node);
        beginStoreFault(fault);
        beginAnswerFault(fault, node);
    }
}

void Soak::silenceZone(const std::string &zone, Millis duration)
{
    const auto now = bootNow();
    for (const auto &node : m_nodes) {
        if (node->zone == zone) {
            m_observations.disturbances.push_back({node->name, now, now + duration});
            node->proxy->setState(LinkState::held());
            schedule(duration, [&node = *node] { node.proxy->setState({}); });
        }
    }
}

void Soak::beginLinkFault(const Fault &fault, Node &node)
{
    LinkState state;
    switch (fault.kind) {
    case FaultKind::LinkReset:
        node.proxy->resetAll();
        return;
    case FaultKind::LinkDelay:
        state.delay = Millis{150};
        break;
    case FaultKind::LinkSilence:
        state.isInboundHeld = true;
        state.isOutboundHeld = true;
        break;
    case FaultKind::LinkOneWay:
        state.isInboundHeld = fault.duration.count() % 2 == 0;
        state.isOutboundHeld = !state.isInboundHeld;
        break;
    case FaultKind::LinkDrip:
        state.isDripping = true;
        break;
    default:
        return;
    }
    node.proxy->setState(state);
    schedule(fault.duration, [&node] { node.proxy->setState({}); });
}

void Soak::beginStoreFault(const Fault &fault)
{
    StoreState state;
    switch (fault.kind) {
    case FaultKind::StoreCompact:
        m_store->compact();
        return;
    case FaultKind::StoreSlow:
        state.delay = Millis{300};
        break;
    case FaultKind::StoreSilent:
        state.isSilent = true;
        break;
    case FaultKind::StoreBusy:
        state.isBusy = true;
        break;
    case FaultKind::StoreTurnsAway:
        state.turnsSomeAway = true;
        break;
    default:
        return;
    }
    m_store->setState(state);
    schedule(fault.duration, [this] { m_store->setState({}); });
}

void Soak::beginAnswerFault(const Fault &fault, Node &node)
{
    const auto answerFault = fault.kind == FaultKind::AnswerLost ? AnswerFault::Lost
            : fault.kind == FaultKind::AnswerTwice               ? AnswerFault::Twice
            : fault.kind == FaultKind::AnswerTruncated           ? AnswerFault::Truncated
            : fault.kind == FaultKind::AnswerEndless             ? AnswerFault::Endless
            : fault.kind == FaultKind::ServerHangs               ? AnswerFault::Hangs
                                                                 : AnswerFault::None;
    if (answerFault == AnswerFault::None) {
        return;
    }
    // All servers of a zone, so that there is enough work for the fault to hit.
    for (const auto &it : m_nodes) {
        if (it->zone == node.zone) {
            it->backend->setFault(answerFault);
        }
    }
    schedule(fault.duration, [this, zone = node.zone] {
        for (const auto &it : m_nodes) {
            if (it->zone == zone) {
                it->backend->setFault(AnswerFault::None);
            }
        }
    });
}

void Soak::killNode(Node &node, Millis downFor)
{
    const auto now = bootNow();
    m_observations.disturbances.push_back({node.name, now, now + downFor});
    m_processes.kill(node.name);
    schedule(downFor, [this, &node] {
        if (!m_processes.isRunning(node.name)) {
            startNode(node);
        }
    });
}

void Soak::stopNode(Node &node)
{
    if (node.isStopping || !m_processes.isRunning(node.name)) {
        return;
    }
    node.isStopping = true;
    node.stopBegan = bootNow();
    m_processes.signal(node.name, SIGTERM);
    awaitStopped(node, node.stopBegan);
}

void Soak::awaitStopped(Node &node, TimePoint since)
{
    schedule(Millis{50}, [this, &node, since] {
        if (!node.isStopping || node.stopBegan != since) {
            return; // it was killed and started meanwhile
        }
        if (!m_processes.isRunning(node.name)) {
            startNode(node);
        } else if (millisBetween(since, bootNow()) > kGrace) {
            killNode(node, Millis{50});
        } else {
            awaitStopped(node, since);
        }
    });
}

void Soak::replaceServer(Node &node, Millis after)
{
    const auto replace = [this, &node] {
        node.serverId = "s" + std::to_string(m_nextServer++) + "-" + std::to_string(node.index);
        node.startedMillis = 1'700'000'000'000ULL + static_cast<std::uint64_t>(m_nextServer) * 1000;
        node.backend->setId(node.serverId);
        publishServer(node, "ready");
    };
    if (after.count() == 0) {
        replace();
    } else {
        schedule(after, replace);
    }
}

void Soak::withdrawKey(Node &node, Millis pause)
{
    if (m_withdrawn >= kRevocableKeys) {
        return;
    }
    m_processes.signal(node.name, SIGSTOP);
    schedule(pause, [this, &node] { m_processes.signal(node.name, SIGCONT); });
    ++m_withdrawn;
    publishConfiguration();
    m_withdrawnAt.push_back(bootNow());
}

void Soak::sendNext(Caller &caller)
{
    if (m_isOver) {
        return;
    }
    const bool canReuse = caller.connection && caller.connection->isFree();
    if (!canReuse || caller.requestsLeft-- <= 0) {
        if (caller.connection) {
            caller.connection->cancel();
            caller.connection.reset();
        }
        caller.node = static_cast<int>(m_random.below(m_nodes.size()));
        caller.requestsLeft = 3 + static_cast<int>(m_random.below(12));
    }
    auto &node = *m_nodes[static_cast<std::size_t>(caller.node)];
    const bool isKnownToStop
            = node.isStopping && millisBetween(node.stopBegan, bootNow()) > kReadinessLag;
    if ((isKnownToStop && !caller.connection) || !m_processes.isRunning(node.name)) {
        caller.connection.reset();
        pauseThenSend(caller);
        return;
    }
    sendRequest(caller, node);
}

void Soak::sendRequest(Caller &caller, Node &node)
{
    SentRequest sent;
    sent.id = "q" + std::to_string(m_nextId++);
    sent.node = node.index;
    sent.sentAt = bootNow();
    sent.deadline = Millis{1500 + static_cast<int>(m_random.below(1000))};
    const auto draw = m_random.below(20);
    sent.kind = draw < 9 ? RouteKind::Read : draw < 18 ? RouteKind::Write : RouteKind::Download;
    const auto who = m_random.below(10);
    std::string key = "k-free";
    sent.account = "free";
    if (who < 3) {
        key = "k-small";
        sent.account = "small";
    } else if (who == 3) {
        const auto revocable = static_cast<int>(m_random.below(kRevocableKeys));
        key = "k-revocable-" + std::to_string(revocable);
        sent.account = "revocable-" + std::to_string(revocable);
        sent.isRevoked = revocable < m_withdrawn;
        if (sent.isRevoked) {
            sent.keyWithdrawnAt = m_withdrawnAt[static_cast<std::size_t>(revocable)];
        }
    }
    const std::size_t size = sent.kind == RouteKind::Download ? 20'000 + m_random.below(600'000)
                                                              : 100 + m_random.below(400);
    http::Request request;
    request.method = sent.kind == RouteKind::Write ? "POST" : "GET";
    request.target = std::string{sent.kind == RouteKind::Read            ? "/r/"
                                         : sent.kind == RouteKind::Write ? "/w/"
                                                                         : "/d/"}
            + std::to_string(size);
    request.headers
            = {{"Host", "soak.example"},
               {std::string{platform::kRequestIdHeader}, sent.id},
               {std::string{platform::kDeadlineHeader}, std::to_string(sent.deadline.count())},
               {std::string{platform::kAuthorizationHeader},
                std::string{platform::kBearerPrefix} + key}};
    if (!caller.connection) {
        caller.connection = std::make_shared<http::ClientConnection>(
                m_context, Address{host(kPublicNetwork, node.index), kCallerPort}, Millis{1000},
                std::size_t{8} << 20U, [](const http::ClientConnectionPtr &) {});
    }
    http::Exchange exchange;
    exchange.wire = http::serialize(request);
    exchange.done = [this, &caller, id = sent.id, size](http::ExchangeEnd end,
                                                        const http::Answer &answer) {
        onEnd(caller, id, size, end, answer);
    };
    const bool givesUp = m_random.below(30) == 0;
    const auto patience = givesUp ? Millis{static_cast<int>(m_random.below(200))} : sent.deadline;
    m_observations.requests.emplace(sent.id, std::move(sent));
    const auto connection = caller.connection;
    caller.deadline.expires_after(patience);
    caller.deadline.async_wait([connection](const boost::system::error_code &ec) {
        if (!ec) {
            connection->cancel();
        }
    });
    connection->send(std::move(exchange));
}

void Soak::onEnd(Caller &caller, const std::string &id, std::size_t size, http::ExchangeEnd end,
                 const http::Answer &answer)
{
    caller.deadline.cancel();
    auto &request = m_observations.requests.at(id);
    request.endedAt = bootNow();
    switch (end) {
    case http::ExchangeEnd::Answered:
        request.end = CallerEnd::Answered;
        request.status = answer.status;
        request.isSigned = http::countHeaders(answer.headers, platform::kServerStampHeader) > 0;
        request.bodyBytes = answer.body.size();
        request.expectedBytes = size;
        request.isRightBody = http::findHeader(answer.headers, platform::kRequestIdHeader) == id
                && answer.body == bodyOf(id, size);
        break;
    case http::ExchangeEnd::NotSent:
        request.end = CallerEnd::NotConnected;
        break;
    case http::ExchangeEnd::Cancelled:
        request.end = CallerEnd::Left;
        break;
    default:
        request.end = CallerEnd::Closed;
    }
    if (caller.connection && caller.connection->isClosed()) {
        caller.connection.reset();
    }
    pauseThenSend(caller);
}

void Soak::pauseThenSend(Caller &caller)
{
    caller.timer.expires_after(Millis{10 + static_cast<int>(m_random.below(60))});
    caller.timer.async_wait([this, &caller](const boost::system::error_code &ec) {
        if (!ec) {
            sendNext(caller);
        }
    });
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
        if (request.sentAt > m_calmFrom && request.account == "free"
            && request.end == CallerEnd::Answered) {
            ++calm;
            calmServed += isServed ? 1 : 0;
        }
    }
    m_observations.rates["small"] = {kSmallRate, kSmallRate};
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
    publishConfiguration();
    for (int i = 0; i < m_options.nodes; ++i) {
        addNode(i);
    }
    const auto faults = drawFaults(m_options.seed, m_options.nodes, kZones, m_options.length);
    Millis lastEnd{0};
    for (const auto &fault : faults) {
        std::printf("%7.2f s  %-16s target %d for %.2f s\n",
                    static_cast<double>(fault.at.count()) / 1000.0, faultName(fault.kind),
                    fault.target, static_cast<double>(fault.duration.count()) / 1000.0);
        schedule(kWarmUp + fault.at, [this, fault] { begin(fault); });
        lastEnd = std::max(lastEnd, fault.at + fault.duration);
    }
    for (int i = 0; i < m_options.callers; ++i) {
        m_callers.push_back(std::make_unique<Caller>(m_context));
        schedule(kWarmUp, [this, &caller = *m_callers.back()] { sendNext(caller); });
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
    m_calmFrom = bootNow() + length - m_options.calm / 3;
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
