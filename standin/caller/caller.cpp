#include "caller/caller.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <thread>

#include <httplib.h>

#include "core/hash.h"
#include "core/random.h"
#include "transport/headers.h"

namespace standin {

namespace {

constexpr double kMicros = 1e6;
constexpr std::int64_t kResendLagMicros = 150'000;
constexpr std::chrono::milliseconds kConnectTimeout{2000};
constexpr std::chrono::milliseconds kAnswerTimeout{15'000};

std::string valueAfter(const std::string &text, const std::string &name)
{
    const auto at = text.find(name);
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + name.size();
    return text.substr(start, text.find(';', start) - start);
}

} // namespace

/*! One worker's connection to one node at a time. */
class Connection
{
public:
    Connection(const std::vector<celeryramp::Address> &targets, std::size_t first)
        : m_targets{targets}, m_next{first}
    {
        moveOn();
    }

    void moveOn()
    {
        m_target = m_targets[m_next++ % m_targets.size()];
        m_client = std::make_unique<httplib::Client>(m_target.host, m_target.port);
        m_client->set_keep_alive(true);
        m_client->set_tcp_nodelay(true);
        m_client->set_connection_timeout(kConnectTimeout);
        m_client->set_read_timeout(kAnswerTimeout);
    }

    [[nodiscard]] httplib::Client &client() { return *m_client; }
    [[nodiscard]] const celeryramp::Address &target() const { return m_target; }

private:
    const std::vector<celeryramp::Address> &m_targets;
    std::size_t m_next;
    celeryramp::Address m_target;
    std::unique_ptr<httplib::Client> m_client;
};

/*! Arrivals of one zone, taken by its workers in order of time. */
class Caller::Line
{
public:
    explicit Line(const std::vector<Arrival> &arrivals) : m_arrivals{arrivals} { }

    [[nodiscard]] const Arrival *take()
    {
        const auto i = m_next.fetch_add(1);
        return i < m_arrivals.size() ? &m_arrivals[i] : nullptr;
    }

private:
    const std::vector<Arrival> &m_arrivals;
    std::atomic<std::size_t> m_next{0};
};

Caller::Caller(CallPlan plan, const std::string &journal)
    : m_plan{std::move(plan)}, m_journal{journal}
{
    drawArrivals();
}

void Caller::drawArrivals()
{
    celeryramp::RandomEngine random{m_plan.seed};
    std::vector<std::string> zones;
    for (const auto &[zone, targets] : m_plan.targets) {
        zones.push_back(zone);
    }
    double weights = 0.0;
    for (const auto &kind : m_plan.kinds) {
        weights += kind.weight;
    }
    std::uint64_t number = 0;
    for (std::size_t i = 0; i < m_plan.accounts.size(); ++i) {
        const auto &account = m_plan.accounts[i];
        double at = 0.0;
        while (true) {
            at += -std::log(1.0 - random.unit()) / account.ratePerSecond;
            if (at >= m_plan.seconds) {
                break;
            }
            auto pick = random.unit() * weights;
            std::size_t kind = 0;
            while (kind + 1 < m_plan.kinds.size() && pick >= m_plan.kinds[kind].weight) {
                pick -= m_plan.kinds[kind++].weight;
            }
            const auto &zone
                    = account.zone.empty() ? zones[random.below(zones.size())] : account.zone;
            Arrival arrival{static_cast<std::int64_t>(at * kMicros), i, kind, ++number, 0};
            m_arrivals[zone].push_back(arrival);
            if (m_plan.kinds[kind].atMostOnce && random.unit() < m_plan.resendShare) {
                arrival.send = 1;
                arrival.atMicros += kResendLagMicros
                        + static_cast<std::int64_t>(random.below(kResendLagMicros));
                m_arrivals[zones[random.below(zones.size())]].push_back(arrival);
            }
        }
    }
    for (auto &[zone, arrivals] : m_arrivals) {
        std::sort(arrivals.begin(), arrivals.end(),
                  [](const auto &a, const auto &b) { return a.atMicros < b.atMicros; });
    }
}

void Caller::run()
{
    const auto start = wallMicros();
    std::vector<std::unique_ptr<Line>> lines;
    std::vector<std::thread> threads;
    for (const auto &[zone, arrivals] : m_arrivals) {
        auto &line = *lines.emplace_back(std::make_unique<Line>(arrivals));
        for (std::size_t i = 0; i < m_plan.threadsPerZone; ++i) {
            threads.emplace_back([this, &line, &targets = m_plan.targets.at(zone), i, start] {
                Connection connection{targets, i};
                while (const auto *arrival = line.take()) {
                    send(connection, *arrival, start);
                }
            });
        }
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

void Caller::send(Connection &connection, const Arrival &arrival, std::int64_t startMicros)
{
    const auto &account = m_plan.accounts[arrival.account];
    const auto &kind = m_plan.kinds[arrival.kind];
    const auto dueAt = startMicros + arrival.atMicros;
    const auto early = dueAt - wallMicros();
    if (early > 0) {
        std::this_thread::sleep_for(std::chrono::microseconds{early});
    }
    const auto call = m_plan.name + "-" + std::to_string(arrival.number);
    httplib::Request request;
    request.method = kind.method;
    request.path = kind.path;
    request.headers.emplace("X-Call-Id", call);
    if (!account.key.empty()) {
        request.headers.emplace(celeryramp::kKeyHeader, "Bearer " + account.key);
    }
    if (kind.atMostOnce) {
        request.headers.emplace(celeryramp::kIdempotencyHeader, call);
    }
    request.body = std::string(kind.bodyBytes, 'x');
    if (kind.method == "POST") {
        request.body += call;
    }
    for (int send = arrival.send;; ++send) {
        const auto sentAt = wallMicros();
        nlohmann::json line{{"t", sentAt},
                            {"event", "sent"},
                            {"call", call},
                            {"send", send},
                            {"account", account.name},
                            {"key", account.key.substr(0, account.key.find('.'))},
                            {"kind", kind.name},
                            {"path", kind.path},
                            {"at_most_once", kind.atMostOnce},
                            {"target_ms", kind.targetMs},
                            {"node", connection.target().text()}};
        m_journal.write(line);
        const auto result = connection.client().send(request);
        line["event"] = "end";
        line["due"] = dueAt;
        line["end"] = wallMicros();
        std::string outcome = "lost";
        if (result) {
            const auto own = result->get_header_value(celeryramp::kOutcomeHeader);
            outcome = own.empty() ? "answered" : own.substr(0, own.find(';'));
            line["status"] = result->status;
            line["reason"] = valueAfter(own, "reason=");
            line["request"] = own.empty() ? result->get_header_value(celeryramp::kRequestHeader)
                                          : valueAfter(own, "request=");
            line["replayed"] = result->has_header(celeryramp::kReplayedHeader);
            line["own"] = result->body.find("call=" + call + " ") == 0;
        }
        line["outcome"] = outcome;
        m_journal.write(line);
        if (!result || result->get_header_value("Connection") == "close") {
            connection.moveOn();
        }
        const bool uncertain = outcome == "lost" || outcome == "unknown";
        if (!uncertain || send - arrival.send >= m_plan.retriesOfUnknown) {
            return;
        }
    }
}

} // namespace standin
