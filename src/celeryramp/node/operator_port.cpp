#include "node/operator_port.h"

#include <charconv>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "core/hash.h"
#include "observe/log.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kOperatorThreads = 3;
constexpr Millis kOperatorKeepAlive{1000};
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr int kIndent = 2;

[[nodiscard]] HttpResponse json(const nlohmann::json &value)
{
    using Handler = nlohmann::json::error_handler_t;
    return {kOk,
            {},
            value.dump(kIndent, ' ', false, Handler::replace) + "\n",
            "application/json",
            false};
}

[[nodiscard]] HttpResponse text(int status, std::string body)
{
    return {status, {}, std::move(body), "text/plain", false};
}

[[nodiscard]] std::set<std::string> splitList(const std::string &list)
{
    std::set<std::string> items;
    std::istringstream in{list};
    for (std::string item; std::getline(in, item, ',');) {
        if (!item.empty()) {
            items.insert(item);
        }
    }
    return items;
}

[[nodiscard]] HttpListenerSettings operatorListener(const NodeSettings &settings)
{
    HttpListenerSettings listener;
    listener.address = settings.operators;
    listener.threads = kOperatorThreads;
    listener.keepAlive = kOperatorKeepAlive;
    return listener;
}

} // namespace internal

OperatorPort::OperatorPort(const NodeSettings &settings, const OperatorView &view,
                           const MetricsRegistry &metrics, LinkPolicy &policy)
    : m_settings{settings}, m_view{view}, m_metrics{metrics}, m_policy{policy},
      m_listener{internal::operatorListener(settings),
                 [this](const HttpRequest &request) { return serve(request); }}
{ }

HttpResponse OperatorPort::serve(const HttpRequest &request)
{
    if (!isAllowed(request)) {
        return internal::text(internal::kUnauthorized, "a token is needed\n");
    }
    return request.method == "PUT" ? write(request) : read(request);
}

HttpResponse OperatorPort::read(const HttpRequest &request) const
{
    if (request.path == "/state") {
        return internal::json(m_view.state());
    }
    if (request.path == "/status") {
        return internal::json(m_view.status());
    }
    if (request.path == "/servers") {
        return internal::json(m_view.servers());
    }
    if (request.path == "/configuration") {
        return internal::json(m_view.configuration());
    }
    if (request.path == "/explain") {
        return internal::json(m_view.explain(request.query("path")));
    }
    if (request.path == "/metrics") {
        auto response = internal::text(internal::kOk, m_metrics.exposition());
        response.contentType = "text/plain; version=0.0.4";
        return response;
    }
    if (request.path == "/healthz") {
        return internal::text(internal::kOk, "ok\n");
    }
    if (request.path == "/readyz") {
        return m_view.ready() ? internal::text(internal::kOk, "ready\n")
                              : internal::text(internal::kUnavailable, "not ready\n");
    }
    return internal::text(internal::kNotFound, "not found\n");
}

HttpResponse OperatorPort::write(const HttpRequest &request)
{
    if (request.path == "/log-level") {
        LogLevel level = LogLevel::Info;
        if (!parseLogLevel(request.query("level"), level)) {
            return internal::text(internal::kBadRequest, "accepted: debug, info, warn, error\n");
        }
        setLogLevel(level);
        return internal::text(internal::kOk, "ok\n");
    }
    if (request.path == "/faults" && m_settings.faultsAllowed) {
        std::int64_t delay = 0;
        const auto wanted = request.query("delay_ms");
        std::from_chars(wanted.data(), wanted.data() + wanted.size(), delay);
        m_policy.cutZones(internal::splitList(request.query("cut_zones")));
        m_policy.cutPlatform(request.query("cut_platform") == "1");
        m_policy.delayZones(Millis{delay});
        return internal::text(internal::kOk, "ok\n");
    }
    return internal::text(internal::kNotFound, "not found\n");
}

bool OperatorPort::isAllowed(const HttpRequest &request) const
{
    if (m_settings.operatorToken.empty()) {
        return true;
    }
    return equalConstantTime(request.header("Authorization"), "Bearer " + m_settings.operatorToken);
}

} // namespace celeryramp
