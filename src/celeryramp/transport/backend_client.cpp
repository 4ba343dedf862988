#include "transport/backend_client.h"

#include <thread>

#include "core/boot_clock.h"
#include "transport/blocking_client.h"
#include "transport/headers.h"

namespace celeryramp {

namespace internal {

constexpr Millis kServerConnectTimeout{500};
/*! Probes of a server that accepts connections and closes them, and the pause between two. */
constexpr int kMaxProbes = 10;
constexpr Millis kProbePause{20};
constexpr Millis kKeptConnectionLife{3000}; /*!< Below the server's own limit for idle ones. */

[[nodiscard]] http::Request toRequest(const CallMessage &call, const BackendCallInfo &info)
{
    http::Request request;
    request.method = call.method;
    request.target = call.target;
    request.body = call.body.data;
    for (const auto &[name, value] : call.headers) {
        request.headers.push_back({name, value});
    }
    request.headers.push_back({kRequestHeader, call.request});
    request.headers.push_back({kContextHeader, info.contextToken});
    request.headers.push_back({kDeadlineHeader, std::to_string(info.remaining.count())});
    if (!call.account.empty()) {
        request.headers.push_back({kAccountHeader, call.account});
    }
    return request;
}

[[nodiscard]] BackendReply toReply(http::Answer &answer)
{
    BackendReply reply{BackendEnd::Answered, answer.status, {}, std::move(answer.body)};
    for (auto &[name, value] : answer.headers) {
        if (!isHopHeader(name)) {
            reply.headers.emplace_back(std::move(name), std::move(value));
        }
    }
    return reply;
}

[[nodiscard]] http::Request controlRequest(const std::string &method, const std::string &target)
{
    http::Request request;
    request.method = method;
    request.target = target;
    return request;
}

} // namespace internal

class BackendClient::Impl
{
public:
    explicit Impl(const Address &address)
        : m_address{address}, m_client{address,
                                       {internal::kServerConnectTimeout,
                                        internal::kKeptConnectionLife}}
    { }

    [[nodiscard]] BackendReply call(const CallMessage &call, const BackendCallInfo &info)
    {
        const auto start = bootNow();
        auto result = m_client.send(internal::toRequest(call, info), {info.remaining, {}});
        switch (result.end) {
        case http::ExchangeEnd::Answered:
            return internal::toReply(result.answer);
        case http::ExchangeEnd::NotSent:
            return {BackendEnd::NotConnected, 0, {}, {}};
        case http::ExchangeEnd::Malformed:
            return {BackendEnd::Broken, 0, {}, {}, result.error};
        case http::ExchangeEnd::Cancelled:
            return {BackendEnd::TimedOut, 0, {}, {}};
        case http::ExchangeEnd::Lost:
            break;
        }
        if (bootNow() - start >= info.remaining) {
            return {BackendEnd::TimedOut, 0, {}, {}};
        }
        return {isAlive() ? BackendEnd::Broken : BackendEnd::Crashed, 0, {}, {}};
    }

    void cancel(const std::string &request)
    {
        BlockingClient client{m_address, {internal::kServerConnectTimeout, Millis{0}}};
        static_cast<void>(
                client.send(internal::controlRequest("POST", "/_control/cancel?request=" + request),
                            {{}, internal::kServerConnectTimeout}));
    }

private:
    /*! @return False if the server has ended. A process that dies may close its connections before
     * its listening socket, so a connection that is closed without an answer is no sign of life
     * and is tried again until there is one. */
    [[nodiscard]] bool isAlive() const
    {
        for (int probe = 0; probe < internal::kMaxProbes; ++probe) {
            BlockingClient client{m_address, {internal::kServerConnectTimeout, Millis{0}}};
            const auto start = bootNow();
            const auto end = client.send(internal::controlRequest("GET", "/_control/health"),
                                         {{}, internal::kServerConnectTimeout})
                                     .end;
            if (end == http::ExchangeEnd::Answered || end == http::ExchangeEnd::Malformed
                || bootNow() - start >= internal::kServerConnectTimeout) {
                return true; // it answers, or is alive and slow
            }
            if (end == http::ExchangeEnd::NotSent) {
                return false;
            }
            std::this_thread::sleep_for(internal::kProbePause);
        }
        return true;
    }

    Address m_address;
    BlockingClient m_client;
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
