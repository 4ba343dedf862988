#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "http/caller_connection.h"
#include "http/listener.h"

namespace celeryramp::engine {

/*! @brief HTTP endpoint for readiness and metrics. */
class StatusEndpoint final : public http::CallerEvents
{
public:
    /*! Returns the answer for a request target. */
    using RequestHandler = std::function<http::Answer(std::string_view path)>;

    StatusEndpoint(boost::asio::io_context &context, RequestHandler handler);

    /*! @brief Listens on an address. @return Nothing, or why the address cannot be listened on. */
    [[nodiscard]] Result<void, http::HttpError> open(const Address &address);
    void close();
    void sweep(TimePoint now);

    void onRequest(http::ResponseWriter response, http::Request request) override;
    void onBadRequest(int status) override;
    void onClosed(const http::CallerConnectionPtr &connection) override;
    [[nodiscard]] http::RequestLimits requestLimits() const override { return {}; }

private:
    RequestHandler m_handler;
    http::Listener m_listener;
    std::set<http::CallerConnectionPtr> m_connections;
};

} // namespace celeryramp::engine
