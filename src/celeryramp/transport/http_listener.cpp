#include "transport/http_listener.h"

#include <limits>
#include <thread>

#include <httplib.h>

#include "transport/headers.h"

namespace celeryramp {

namespace internal {

constexpr int kInternalError = 500;

[[nodiscard]] HttpRequest fromLibrary(const httplib::Request &request)
{
    HttpRequest out{request.method, request.target, request.path, {}, request.body};
    out.headers.reserve(request.headers.size());
    for (const auto &[name, value] : request.headers) {
        if (!isHopHeader(name)) {
            out.headers.emplace_back(name, value);
        }
    }
    return out;
}

void toLibrary(HttpResponse &answer, httplib::Response &response)
{
    response.status = answer.status;
    std::string contentType = std::move(answer.contentType);
    for (const auto &[name, value] : answer.headers) {
        if (sameHeader(name, "Content-Type")) {
            contentType = value;
        } else {
            response.headers.emplace(name, value);
        }
    }
    if (answer.closeConnection) {
        response.set_header("Connection", "close");
    }
    response.set_content(answer.body, contentType);
}

} // namespace internal

std::string HttpRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (sameHeader(key, name)) {
            return value;
        }
    }
    return {};
}

std::string HttpRequest::query(std::string_view name) const
{
    std::string_view rest{target};
    const auto mark = rest.find('?');
    rest = mark == std::string_view::npos ? std::string_view{} : rest.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = std::min(rest.find('&'), rest.size());
        const auto pair = rest.substr(0, end);
        if (const auto equals = pair.find('='); pair.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string{}
                                                    : std::string{pair.substr(equals + 1)};
        }
        rest = rest.substr(std::min(end + 1, rest.size()));
    }
    return {};
}

class HttpListener::Impl
{
public:
    Impl(HttpListenerSettings settings, Handler handler)
        : m_settings{std::move(settings)}, m_handler{std::move(handler)}
    {
        const auto threads = m_settings.threads;
        m_server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        m_server.set_keep_alive_max_count(std::numeric_limits<std::size_t>::max());
        m_server.set_keep_alive_timeout(
                std::chrono::duration_cast<std::chrono::seconds>(m_settings.keepAlive).count());
        m_server.set_read_timeout(m_settings.readTimeout);
        m_server.set_payload_max_length(m_settings.maxBodyBytes);
        m_server.set_tcp_nodelay(true);
        m_server.set_exception_handler(
                [](const httplib::Request &, httplib::Response &response,
                   const std::exception_ptr &) { response.status = internal::kInternalError; });
        const auto serve = [this](const httplib::Request &request, httplib::Response &response) {
            auto answer = m_handler(internal::fromLibrary(request));
            internal::toLibrary(answer, response);
        };
        m_server.Get(".*", serve);
        m_server.Post(".*", serve);
        m_server.Put(".*", serve);
        m_server.Patch(".*", serve);
        m_server.Delete(".*", serve);
        m_server.Options(".*", serve);
    }

    [[nodiscard]] Result<bool, ListenError> start()
    {
        const auto &address = m_settings.address;
        if (!m_server.bind_to_port(address.host, address.port)) {
            return ListenError{"cannot listen on " + address.text()};
        }
        m_thread = std::thread{[this] { m_server.listen_after_bind(); }};
        return true;
    }

    void stop()
    {
        if (m_thread.joinable()) {
            m_server.stop();
            m_thread.join();
        }
    }

private:
    HttpListenerSettings m_settings;
    Handler m_handler;
    httplib::Server m_server;
    std::thread m_thread;
};

HttpListener::HttpListener(HttpListenerSettings settings, Handler handler)
    : m_impl{std::make_unique<Impl>(std::move(settings), std::move(handler))}
{ }

HttpListener::~HttpListener()
{
    stop();
}

Result<bool, ListenError> HttpListener::start()
{
    return m_impl->start();
}

void HttpListener::stop()
{
    m_impl->stop();
}

} // namespace celeryramp
