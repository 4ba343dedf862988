#include "transport/backend_client.h"

#include <thread>

#include <httplib.h>

#include "transport/headers.h"

namespace celeryramp {

namespace internal {

constexpr Millis kServerConnectTimeout{500};
/*! Probes of a server that accepts connections and closes them, and the pause between two. */
constexpr int kMaxProbes = 10;
constexpr Millis kProbePause{20};
constexpr Millis kKeptConnectionLife{3000}; /*!< Below the server's own limit for idle ones. */

[[nodiscard]] httplib::Headers toLibrary(const CallMessage &call, const BackendCallInfo &info)
{
    httplib::Headers headers;
    for (const auto &[name, value] : call.headers) {
        headers.emplace(name, value);
    }
    headers.emplace(kRequestHeader, call.request);
    headers.emplace(kContextHeader, info.contextToken);
    headers.emplace(kDeadlineHeader, std::to_string(info.remaining.count()));
    if (!call.account.empty()) {
        headers.emplace(kAccountHeader, call.account);
    }
    return headers;
}

[[nodiscard]] BackendReply toReply(httplib::Response &response)
{
    BackendReply reply{BackendEnd::Answered, response.status, {}, std::move(response.body)};
    for (const auto &[name, value] : response.headers) {
        if (!isHopHeader(name)) {
            reply.headers.emplace_back(name, value);
        }
    }
    return reply;
}

} // namespace internal

class BackendClient::Impl
{
public:
    explicit Impl(const Address &address) : m_address{address} { reconnect(); }

    [[nodiscard]] BackendReply call(const CallMessage &call, const BackendCallInfo &info)
    {
        const auto start = Clock::now();
        if (start - m_lastUsed >= internal::kKeptConnectionLife) {
            reconnect();
        }
        m_lastUsed = start;
        m_client->set_read_timeout(info.remaining);
        m_client->set_write_timeout(info.remaining);
        httplib::Request request;
        request.method = call.method;
        request.path = call.target;
        request.headers = internal::toLibrary(call, info);
        request.body = call.body.data;
        auto result = m_client->send(request);
        if (result) {
            if (!isWhole(*result)) {
                reconnect();
                return {BackendEnd::Broken, 0, {}, {}};
            }
            return internal::toReply(*result);
        }
        const auto error = result.error();
        reconnect();
        if (error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout) {
            return {BackendEnd::NotConnected, 0, {}, {}};
        }
        if (Clock::now() - start >= info.remaining) {
            return {BackendEnd::TimedOut, 0, {}, {}};
        }
        return {isAlive() ? BackendEnd::Broken : BackendEnd::Crashed, 0, {}, {}};
    }

    void cancel(const std::string &request)
    {
        httplib::Client client{m_address.host, m_address.port};
        client.set_connection_timeout(internal::kServerConnectTimeout);
        client.set_read_timeout(internal::kServerConnectTimeout);
        client.Post("/_control/cancel?request=" + request);
    }

private:
    void reconnect()
    {
        m_client = std::make_unique<httplib::Client>(m_address.host, m_address.port);
        m_client->set_keep_alive(true);
        m_client->set_tcp_nodelay(true);
        m_client->set_connection_timeout(internal::kServerConnectTimeout);
        m_client->set_decompress(false);
        m_client->set_follow_location(false);
    }

    [[nodiscard]] static bool isWhole(const httplib::Response &response)
    {
        if (!response.has_header("Content-Length")) {
            return true;
        }
        return response.get_header_value("Content-Length") == std::to_string(response.body.size());
    }

    /*! @return False if the server has ended. A process that dies may close its connections before
     * its listening socket, so a connection that is closed without an answer is no sign of life
     * and is tried again until there is one. */
    [[nodiscard]] bool isAlive() const
    {
        for (int probe = 0; probe < internal::kMaxProbes; ++probe) {
            httplib::Client client{m_address.host, m_address.port};
            client.set_connection_timeout(internal::kServerConnectTimeout);
            client.set_read_timeout(internal::kServerConnectTimeout);
            const auto start = Clock::now();
            const auto result = client.Get("/_control/health");
            if (result || Clock::now() - start >= internal::kServerConnectTimeout) {
                return true; // it answers, or is alive and slow
            }
            if (result.error() == httplib::Error::Connection) {
                return false;
            }
            std::this_thread::sleep_for(internal::kProbePause);
        }
        return true;
    }

    Address m_address;
    std::unique_ptr<httplib::Client> m_client;
    TimePoint m_lastUsed;
};

BackendClient::BackendClient(const Address &address) : m_impl{std::make_unique<Impl>(address)} { }

BackendClient::~BackendClient() = default;

BackendReply BackendClient::call(const CallMessage &call, const BackendCallInfo &info)
{
    return m_impl->call(call, info);
}

void BackendClient::cancel(const std::string &request)
{
    m_impl->cancel(request);
}

} // namespace celeryramp
