#include "backend/backend.h"

#include <thread>

#include <unistd.h>

#include <httplib.h>

#include "transport/headers.h"

namespace standin {

using celeryramp::Clock;
using celeryramp::HttpRequest;
using celeryramp::HttpResponse;

namespace {

constexpr int kOk = 200;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kNotFound = 404;
constexpr celeryramp::Millis kCallOnTimeout{10'000};

int intQuery(const HttpRequest &request, const char *name)
{
    return std::atoi(request.query(name).c_str());
}

/*! `/chain/2` with `of=4` goes on to `/chain/3`, and that to `/chain/0`. */
std::string nextPath(const HttpRequest &request)
{
    const auto slash = request.path.rfind('/');
    const auto of = std::max(1, intQuery(request, "of"));
    const auto here = std::atoi(request.path.c_str() + slash + 1);
    return request.path.substr(0, slash + 1) + std::to_string((here + 1) % of);
}

/*! True when a header carries what looks like a key; the mesh must strip them all. */
bool carriesKey(const HttpRequest &request)
{
    return !request.header(celeryramp::kKeyHeader).empty();
}

} // namespace

Backend::Backend(BackendSettings settings)
    : m_settings{std::move(settings)}, m_journal{m_settings.journal}, m_model{m_settings.model,
                                                                              Clock::now()}
{
    m_journal.write({{"t", wallMicros()},
                     {"event", "up"},
                     {"server", m_settings.server},
                     {"zone", m_settings.zone},
                     {"slots", m_settings.model.slots}});
}

HttpResponse Backend::serve(const HttpRequest &request)
{
    return request.path.rfind("/_control/", 0) == 0 ? control(request) : run(request);
}

HttpResponse Backend::control(const HttpRequest &request)
{
    if (request.path == "/_control/health") {
        return {kOk, {}, "ok", "text/plain", false};
    }
    if (request.path == "/_control/cold") {
        const std::lock_guard lock{m_mutex};
        m_model.turnCold(Clock::now());
        m_journal.write({{"t", wallMicros()}, {"event", "cold"}, {"server", m_settings.server}});
        return {kOk, {}, "cold", "text/plain", false};
    }
    if (request.path == "/_control/cancel") {
        const std::lock_guard lock{m_mutex};
        m_cancelled.insert(request.query("request"));
        return {kOk, {}, "cancelled", "text/plain", false};
    }
    return {kNotFound, {}, "", "text/plain", false};
}

HttpResponse Backend::run(const HttpRequest &request)
{
    const int running = ++m_running;
    const struct Leave
    {
        std::atomic<int> &count;
        ~Leave() { --count; }
    } leave{m_running};
    celeryramp::Micros work{0};
    int bears = 0;
    {
        const std::lock_guard lock{m_mutex};
        const auto now = Clock::now();
        bears = m_model.bears(now);
        work = m_model.workTime(now);
        if (running > bears) {
            m_model.onOverload(now);
        }
    }
    if (running > bears) {
        note("shed", request, running);
        return {kUnavailable, {{"Retry-After", "1"}}, "shed", "text/plain", false};
    }
    note("start", request, running);
    if (request.query("poison") == "1") {
        _exit(1);
    }
    std::this_thread::sleep_for(work);
    const auto depth = intQuery(request, "depth");
    --m_running; // a request that waits for another server is no load on this one
    auto response = depth > 0 ? callOn(request, depth - 1)
                              : HttpResponse{kOk, {}, "", "text/plain", false};
    ++m_running;
    const bool isLeaf = depth == 0 && request.query("leaf_fail") == "1";
    if (request.query("fail") == "1" || isLeaf) {
        response.status = kServerError + 2;
    }
    if (response.status < kServerError) {
        response.body = "call=" + request.header("X-Call-Id") + " server=" + m_settings.server
                + " bytes=" + std::to_string(request.body.size());
    }
    if (request.query("garbage") == "1") {
        response.headers.emplace_back("Content-Length", "100000");
    }
    note("end", request, running);
    return response;
}

HttpResponse Backend::callOn(const HttpRequest &request, int depth) const
{
    httplib::Client client{m_settings.inside.host, m_settings.inside.port};
    client.set_read_timeout(kCallOnTimeout);
    client.set_tcp_nodelay(true);
    httplib::Headers headers{
            {celeryramp::kContextHeader, request.header(celeryramp::kContextHeader)},
            {"X-Call-Id", request.header("X-Call-Id")}};
    auto target
            = nextPath(request) + "?depth=" + std::to_string(depth) + "&of=" + request.query("of");
    if (request.query("leaf_fail") == "1") {
        target += "&leaf_fail=1";
    }
    const auto result = client.Get(target, headers);
    if (!result) {
        return {kServerError + 2, {}, "", "text/plain", false};
    }
    return {result->status, {}, "", "text/plain", false};
}

void Backend::note(const char *event, const HttpRequest &request, int running)
{
    m_journal.write({{"t", wallMicros()},
                     {"event", event},
                     {"server", m_settings.server},
                     {"zone", m_settings.zone},
                     {"request", request.header(celeryramp::kRequestHeader)},
                     {"call", request.header("X-Call-Id")},
                     {"account", request.header(celeryramp::kAccountHeader)},
                     {"path", request.path},
                     {"running", running},
                     {"key_seen", carriesKey(request)}});
}

} // namespace standin
