#include "node/request_router.h"

namespace celeryramp {

void RequestRouter::onSnapshot(const Snapshot &snapshot, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    m_zones.onSnapshot(snapshot, now);
}

std::string RequestRouter::pick(const Snapshot &snapshot, const FleetView &fleet,
                                const std::string &service, gsl::span<const std::string> excluded,
                                TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    const auto isOpen = [&](const std::string &server) {
        return m_mechanisms.leaving ? fleet.isOpen(server) : fleet.down.count(server) == 0;
    };
    auto server = m_picker.pick(snapshot, service, excluded, isOpen, m_loads, m_zones, now);
    if (!server.empty()) {
        m_loads.sent(server);
    }
    return server;
}

void RequestRouter::onAnswer(const std::string &server, const AnswerMessage &answer, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    if (answer.outcome == Outcome::NotRun) {
        m_loads.refused(server, answer.load, now);
    } else if (answer.outcome == Outcome::Answered) {
        m_loads.answered(server, answer.load, now);
    } else {
        m_loads.failed(server, now);
    }
}

void RequestRouter::onNoAnswer(const std::string &server, TimePoint now)
{
    const std::lock_guard lock{m_mutex};
    m_loads.failed(server, now);
}

void RequestRouter::onFirstAttempt(const std::string &service)
{
    const std::lock_guard lock{m_mutex};
    m_budget.onFirstAttempt(service);
}

bool RequestRouter::tryConsumeRetry(const std::string &service)
{
    const std::lock_guard lock{m_mutex};
    return m_budget.trySpend(service);
}

std::vector<std::pair<std::string, double>>
RequestRouter::pressures(const Snapshot &snapshot, const std::string &service, TimePoint now) const
{
    const std::lock_guard lock{m_mutex};
    std::vector<std::pair<std::string, double>> all;
    for (const auto &[name, server] : snapshot.model().servers) {
        if (server.service == service) {
            all.emplace_back(name, m_loads.pressure(name, now));
        }
    }
    return all;
}

} // namespace celeryramp
