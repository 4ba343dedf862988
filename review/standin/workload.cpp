#include "workload.h"

#include <iostream>

namespace review {

namespace {

constexpr Millis kReconnectPause{50};
/*! Requests that must be served before the disruption, or the case has not run. */
constexpr int kMinServed = 10;

} // namespace

const char *siteConfiguration()
{
    return R"({"Version":7,"Routes":[
{"Name":"write","Host":"review.example","Prefix":"/w/","Kind":"non_idempotent","Timeout":"1500ms",
"TargetLatency":"600ms","Priority":1,"Service":"stock","MaxAttempts":2,"AllowAnonymous":false}],
"Services":[{"Name":"stock","HealthPath":"/health","MaxConnections":110,"ColdStart":"3s",
"ColdPerS":15.0},{"Name":"front","HealthPath":"/health","MaxConnections":110,"ColdStart":"3s",
"ColdPerS":15.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},
"Tenants":[{"Name":"tenant","ApiKeys":["k-review"],"Priority":1,"RatePerS":0,"Burst":0}]})";
}

Workload::Workload(Site &site, std::size_t machine, int clients) : m_site{site}, m_machine{machine}
{
    for (int i = 0; i < clients; ++i) {
        m_threads.emplace_back([this, i] { run(i); });
    }
}

Workload::~Workload()
{
    end();
}

void Workload::end()
{
    m_isOver = true;
    for (auto &thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

void Workload::run(int client)
{
    std::unique_ptr<Connection> connection;
    int requests = 0; // on this connection
    for (int i = 0; !m_isOver; ++i) {
        if (!connection) {
            connection = m_site.connect(m_machine);
            requests = 0;
        }
        if (!connection) {
            std::this_thread::sleep_for(kReconnectPause);
            continue;
        }
        const auto id = "c" + std::to_string(client) + "-" + std::to_string(i);
        const bool isKept = ++requests > 1;
        m_site.record.line("client sends " + id
                           + (isKept ? " on a kept connection" : " on a new connection"));
        const auto sentAt = Clock::now();
        const bool isSent
                = connection->send(requestText("POST", "/w/250", id, kDeadlineMs, "order"));
        const auto answer = isSent ? connection->read(Millis{kDeadlineMs}) : std::nullopt;
        if (answer) {
            m_site.record.line("client gets " + std::to_string(statusOf(*answer)) + " for " + id);
            m_served += statusOf(*answer) == 200 ? 1 : 0;
            if (answer->header("connection") == "close") {
                connection.reset();
            }
            continue;
        }
        const bool isCut = Clock::now() - sentAt < Millis{kDeadlineMs};
        bool hasRun = false;
        for (const auto &server : m_site.servers) {
            hasRun = hasRun || server->runs(id) > 0;
        }
        m_site.record.line("client gets no answer for " + id
                           + (isCut ? ", its connection is closed" : ", its time is over")
                           + (hasRun ? ", a server has run it" : ""));
        m_lost += isCut && isKept && hasRun ? 1 : 0;
        connection.reset();
    }
}

int conclude(Site &site, const Workload &workload, int servedBefore)
{
    for (std::size_t i = 0; i < site.nodes.size(); ++i) {
        const auto &node = *site.nodes[i];
        site.record.line("node " + site.machines[i].name + ": largest memory "
                         + std::to_string(node.peakMb()) + " MB, killed for its memory "
                         + std::to_string(node.kills()) + " times, ended otherwise "
                         + std::to_string(node.exits()) + " times");
    }
    const auto summary = "served before the disruption " + std::to_string(servedBefore)
            + ", in all " + std::to_string(workload.served())
            + "; lost on kept connections after a server had begun to run them "
            + std::to_string(workload.lost());
    site.record.line(summary);
    std::cout << summary << '\n';
    if (servedBefore < kMinServed) {
        return 2;
    }
    return workload.lost() > kMostLost ? 1 : 0;
}

} // namespace review
