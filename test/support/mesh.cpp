#include "support/mesh.h"

#include <sstream>

#include "core/boot_clock.h"
#include "support/event_loop.h"

namespace celeryramp::test {

namespace {

constexpr Millis kTimeout{2000};
constexpr Millis kLongTimeout{6000};

directory::Route route(const char *name, const char *prefix, bool isIdempotent, bool isOpen,
                       Millis timeout = kTimeout)
{
    directory::Route it;
    it.name = name;
    it.host = "shop.example";
    it.prefix = prefix;
    it.isIdempotent = isIdempotent;
    it.isOpen = isOpen;
    it.timeout = timeout;
    it.targetLatency = Millis{500};
    it.maxAttempts = 2;
    it.split = {{"stock", 1}};
    return it;
}

} // namespace

std::unique_ptr<Mesh> Mesh::withProxy(const std::string &proxyHost, int count)
{
    return std::unique_ptr<Mesh>{new Mesh{count, 0, proxyHost, 1}};
}

std::unique_ptr<Mesh> Mesh::withZoneBehindProxies(int south)
{
    return std::unique_ptr<Mesh>{new Mesh{1 + south, south, "127.0.0.51", south}};
}

Mesh::Mesh(int count, int south, const std::string &proxyHost, int proxied)
{
    const auto lastDot = proxyHost.rfind('.');
    m_decoder.base.services = {{"stock", "/health", 0, Millis{3000}, 15.0}};
    m_decoder.base.routes
            = {route("safe", "/safe/", true, true), route("once", "/once/", false, true),
               route("keyed", "/keyed/", true, false),
               route("slow", "/slow/", false, true, kLongTimeout)};
    m_decoder.base.accounts = directory::AccountList{
            {{"mill", {"k1"}, 0, 0.0, 0.0}, {"press", {"k3"}, 0, 20.0, 20.0}}};
    for (int i = 0; i < count; ++i) {
        auto node = std::make_unique<Node>();
        node->host = "127.0.0." + std::to_string(11 + i);
        node->backendHost = node->host;
        if (const int n = i - (count - proxied); n >= 0) {
            // Peers take the host of the server for that of its node.
            const auto octet = std::stoi(proxyHost.substr(lastDot + 1)) + n;
            node->backendHost = proxyHost.substr(0, lastDot + 1) + std::to_string(octet);
            proxies.push_back(std::make_unique<standin::soak::LinkProxy>(
                    context, Address{node->backendHost, kLinkPort},
                    Address{node->host, kLinkPort}));
            proxy = proxies.back().get();
        }
        node->serverId = "s" + std::to_string(i);
        node->server = std::make_unique<ScriptedServer>(
                context, Address{node->backendHost, kServerPort}, node->serverId);
        engine::EngineSettings settings;
        settings.name = "node-" + std::to_string(i);
        node->zone = i < count - south ? "north" : "south";
        settings.zone = node->zone;
        settings.service = "stock";
        settings.callers = {node->host, kCallerPort};
        settings.links = {node->host, kLinkPort};
        settings.readiness = {node->host, kReadinessPort};
        settings.backend = {node->backendHost, kServerPort};
        settings.metrics = Address{node->host, kMetricsPort};
        m_settings.push_back(settings);
        node->engine = std::make_unique<engine::Engine>(
                context, settings,
                engine::DeploymentBindings{m_headerAdapter, m_decoder, node->source, "/ready",
                                           "/metrics"});
        const auto started = node->engine->start();
        if (!started) {
            throw std::runtime_error{started.error().place + ": " + started.error().reason};
        }
        nodes.push_back(std::move(node));
    }
    publish();
    run(Millis{50});
}

void Mesh::publish(const std::set<int> &draining, const std::set<int> &missing)
{
    const auto now = bootNow();
    ++m_revision;
    std::vector<directory::ItemChange> items{
            {"configuration", std::to_string(m_version), m_version, false}};
    for (std::size_t i = 0; i < nodes.size(); ++i) {
        const auto &id = nodes[i]->serverId;
        if (missing.count(static_cast<int>(i)) > 0) {
            continue;
        }
        const bool isDraining = draining.count(static_cast<int>(i)) > 0;
        items.push_back({"server/" + id,
                         id + " stock " + nodes[i]->zone + " " + nodes[i]->backendHost + ":"
                                 + std::to_string(kServerPort) + " " + std::to_string(serverSlots)
                                 + " " + (isDraining ? "draining" : "ready") + " 0 "
                                 + std::to_string(nodes[i]->serverStarts),
                         m_revision, false});
    }
    for (const auto &node : nodes) {
        static_cast<void>(node->source.sink->onList(items, {0, m_revision}, now));
    }
}

void Mesh::publishAccounts(directory::AccountList accounts)
{
    m_decoder.base.accounts = std::move(accounts);
    m_version = ++m_revision;
    publish();
}

void Mesh::limitBodies(std::size_t bytes)
{
    m_decoder.base.limits.bodyBytes = bytes;
    m_version = ++m_revision;
    publish();
}

void Mesh::failSource()
{
    for (const auto &node : nodes) {
        node->source.sink->onSourceFailed("no response", bootNow());
    }
}

std::shared_ptr<RawCaller> Mesh::connect(int node, int receiveBuffer)
{
    auto caller = std::make_shared<RawCaller>(context);
    caller->connect({nodes[static_cast<std::size_t>(node)]->host, kCallerPort}, receiveBuffer);
    return caller;
}

std::string Mesh::request(const std::string &method, const std::string &target,
                          const std::string &body, Millis deadline)
{
    http::Request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "Shop.Example"},
                       {"T-Request", "r" + std::to_string(m_nextRequest++)},
                       {"T-Deadline", std::to_string(deadline.count())}};
    request.body = body;
    return http::serialize(request);
}

http::ClientConnectionPtr Mesh::call(int node, const std::string &method, const std::string &target,
                                     const std::shared_ptr<Outcome> &outcome,
                                     const http::Headers &headers, const std::string &body)
{
    http::Request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Host", "Shop.Example"},
                       {"T-Request", "r" + std::to_string(m_nextRequest++)},
                       {"T-Deadline", "1500"}};
    if (!http::findHeader(headers, "T-Deadline").empty()) {
        request.headers.pop_back();
    }
    request.headers.insert(request.headers.end(), headers.begin(), headers.end());
    request.body = body;
    return send(node, kCallerPort, request, outcome);
}

http::ClientConnectionPtr Mesh::send(int node, std::uint16_t port, const http::Request &request,
                                     const std::shared_ptr<Outcome> &outcome)
{
    http::Exchange exchange;
    exchange.wire = http::serialize(request);
    exchange.done = [outcome](http::ExchangeEnd end, http::Answer answer) {
        *outcome = {true, end, std::move(answer)};
    };
    auto connection = std::make_shared<http::ClientConnection>(
            context, Address{nodes[static_cast<std::size_t>(node)]->host, port}, Millis{1000},
            1U << 20U, [](const http::ClientConnectionPtr &) {});
    connection->send(std::move(exchange));
    return connection;
}

Outcome Mesh::callAndWait(int node, const std::string &method, const std::string &target,
                          const http::Headers &headers, const std::string &body)
{
    const auto outcome = std::make_shared<Outcome>();
    const auto connection = call(node, method, target, outcome, headers, body);
    static_cast<void>(runUntil([&outcome] { return outcome->isDone; }, Millis{4000}));
    return *outcome;
}

double Mesh::metric(int node, const std::string &prefix)
{
    return sumOfLines(node, "celeryramp_" + prefix);
}

double Mesh::gauge(int node, const std::string &name)
{
    return sumOfLines(node, name + " ");
}

std::size_t Mesh::receivedRequests() const
{
    std::size_t n = 0;
    for (const auto &node : nodes) {
        n += node->server->seen.size();
    }
    return n;
}

double Mesh::sumOfLines(int node, const std::string &prefix)
{
    http::Request request;
    request.method = "GET";
    request.target = "/metrics";
    request.headers = {{"Host", "metrics"}};
    const auto outcome = std::make_shared<Outcome>();
    const auto connection = send(node, kMetricsPort, request, outcome);
    static_cast<void>(runUntil([&outcome] { return outcome->isDone; }, Millis{1000}));
    std::istringstream lines{outcome->answer.body};
    double sum = 0.0;
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(prefix, 0) == 0) {
            sum += std::stod(line.substr(line.rfind(' ') + 1));
        }
    }
    return sum;
}

void Mesh::restartServer(int index, const std::string &id)
{
    auto &node = *nodes[static_cast<std::size_t>(index)];
    node.serverId = id;
    ++node.serverStarts;
    node.server->restartAs(id);
}

void Mesh::restartNode(int index)
{
    auto &node = *nodes[static_cast<std::size_t>(index)];
    const auto settings = m_settings[static_cast<std::size_t>(index)];
    // Kept until the end, since handlers that are queued in the context refer to it.
    node.engine->stop(bootNow());
    m_stoppedEngines.push_back(std::move(node.engine));
    run(Millis{20});
    node.engine = std::make_unique<engine::Engine>(
            context, settings,
            engine::DeploymentBindings{m_headerAdapter, m_decoder, node.source, "/ready",
                                       "/metrics"});
    if (const auto started = node.engine->start(); !started) {
        throw std::runtime_error{started.error().place + ": " + started.error().reason};
    }
}

void Mesh::limitMemory(int index, std::size_t bytes)
{
    m_settings[static_cast<std::size_t>(index)].memoryBytes = bytes;
    restartNode(index);
}

void Mesh::run(Millis time)
{
    context.restart();
    context.run_for(time);
}

bool Mesh::runUntil(const std::function<bool()> &condition, Millis most)
{
    return test::runUntil(context, condition, most);
}

} // namespace celeryramp::test
