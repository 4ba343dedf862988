#pragma once

#include <functional>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "node/node_settings.h"
#include "observe/metrics_registry.h"
#include "transport/http_listener.h"
#include "transport/link_policy.h"

namespace celeryramp {

/*! @brief Data shown by the operator port. */
class OperatorView
{
public:
    virtual ~OperatorView() = default;

    /*! @return State of the whole process. */
    [[nodiscard]] virtual nlohmann::json state() const = 0;

    /*! @return Short status: the version in force and its age. */
    [[nodiscard]] virtual nlohmann::json status() const = 0;

    /*! @return All declared servers with zone and operator address. */
    [[nodiscard]] virtual nlohmann::json servers() const = 0;

    /*! @return Version and parts of the configuration in force; no parts without one. */
    [[nodiscard]] virtual nlohmann::json configuration() const = 0;

    /*! @return Candidate servers for a call on this path, with a verdict for each. */
    [[nodiscard]] virtual nlohmann::json explain(const std::string &path) const = 0;

    /*! @return True when the node may serve calls. */
    [[nodiscard]] virtual bool ready() const = 0;
};

/*!
 * @brief HTTP server for operators: `/state`, `/status`, `/servers`, `/configuration`, `/explain`,
 * `/metrics`,
 * `/healthz`, `/readyz`, `PUT /log-level`, and `PUT /faults` when the settings allow it. Requires
 * a token unless it listens on loopback.
 */
class OperatorPort
{
public:
    OperatorPort(const NodeSettings &settings, const OperatorView &view,
                 const MetricsRegistry &metrics, LinkPolicy &policy);

    [[nodiscard]] Result<bool, ListenError> start() { return m_listener.start(); }
    void stop() { m_listener.stop(); }

private:
    [[nodiscard]] HttpResponse serve(const HttpRequest &request);
    [[nodiscard]] HttpResponse read(const HttpRequest &request) const;
    [[nodiscard]] HttpResponse write(const HttpRequest &request);
    [[nodiscard]] bool isAllowed(const HttpRequest &request) const;

    const NodeSettings &m_settings;
    const OperatorView &m_view;
    const MetricsRegistry &m_metrics;
    LinkPolicy &m_policy;
    HttpListener m_listener;
};

} // namespace celeryramp
