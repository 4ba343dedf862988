#include "ctl/config_review.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include "limits/account_share.h"
#include "limits/tokens.h"

namespace celeryramp {

namespace internal {

/*! Members of an entry as text, in the words of the published format. */
using Members = std::map<std::string, std::string>;
/*! Entries of a configuration by kind and name. */
using Entries = std::map<std::string, Members>;

[[nodiscard]] std::string numberText(double value)
{
    std::ostringstream out;
    out << value;
    return out.str();
}

class Review
{
public:
    explicit Review(const Snapshot &snapshot) : m_snapshot{snapshot}, m_model{snapshot.model()} { }

    [[nodiscard]] std::vector<ReviewNote> run()
    {
        checkZones();
        checkClasses();
        checkServices();
        checkRoutes();
        checkAccounts();
        return std::move(m_notes);
    }

private:
    void note(ReviewKind kind, std::string part, std::string place, std::string text)
    {
        m_notes.push_back({kind, std::move(part), std::move(place), std::move(text)});
    }

    void checkZones()
    {
        for (const auto &[name, zone] : m_model.zones) {
            if (m_snapshot.serversIn(name).empty()) {
                note(ReviewKind::NeverMatches, "zones", "/zones/" + name, "no server is in it");
            }
        }
    }

    void checkClasses()
    {
        std::set<std::string> used;
        for (const auto &route : m_model.routes) {
            used.insert(route.workClass);
        }
        for (const auto &[name, workClass] : m_model.classes) {
            const auto place = "/classes/" + name;
            if (used.count(name) == 0) {
                note(ReviewKind::NeverMatches, "services", place, "no route uses it");
            }
            if (workClass.success >= 1.0) {
                note(ReviewKind::Contradiction, "services", place + "/success",
                     "a single late call misses a target of 1");
            }
        }
    }

    void checkServices()
    {
        std::set<std::string> routed;
        for (const auto &route : m_model.routes) {
            routed.insert(route.service);
        }
        for (const auto &[name, service] : m_model.services) {
            if (routed.count(name) == 0) {
                note(ReviewKind::NeverMatches, "services", "/services/" + name,
                     "no route leads to it");
            }
        }
    }

    void checkRoutes()
    {
        std::size_t i = 0;
        for (const auto &route : m_model.routes) {
            const auto place = "/routes/" + std::to_string(i++);
            const bool isServed = std::any_of(
                    m_model.servers.begin(), m_model.servers.end(), [&](const auto &entry) {
                        return entry.second.service == route.service
                                && m_snapshot.isZoneInService(entry.second.zone);
                    });
            if (!isServed) {
                note(ReviewKind::NeverMatches, "services", place,
                     "all servers of " + route.service + " are in zones out of service");
            }
        }
    }

    void checkAccounts()
    {
        const bool needsAccounts
                = std::any_of(m_model.routes.begin(), m_model.routes.end(), [](const Route &route) {
                      return route.access == RouteAccess::Account;
                  });
        std::set<std::string> withKeys;
        for (const auto &[id, key] : m_model.keys) {
            withKeys.insert(key.account);
        }
        if (needsAccounts && m_model.keys.empty()) {
            note(ReviewKind::NeverMatches, "keys", "/keys",
                 "there is no key, so all calls on routes for accounts are refused");
        }
        const double capacity = capacityAtTarget();
        for (const auto &[name, account] : m_model.accounts) {
            const auto place = "/accounts/" + name;
            if (withKeys.count(name) == 0) {
                note(ReviewKind::NeverMatches, "accounts", place, "no key belongs to it");
            } else if (!needsAccounts) {
                note(ReviewKind::NeverMatches, "accounts", place, "no route asks for an account");
            }
            if (largestShare(account) < kMicroTokensPerCall) {
                note(ReviewKind::Contradiction, "accounts", place + "/burst",
                     "shared by the zones it never holds a whole call, so no call is admitted");
            }
            if (needsAccounts && account.rate > capacity) {
                note(ReviewKind::Contradiction, "accounts", place + "/rate",
                     "the servers of its routes end " + numberText(capacity)
                             + " calls a second that take as long as their target");
            }
        }
    }

    /*! @return Highest level of the bucket of any minter of the account. */
    [[nodiscard]] MicroTokens largestShare(const ClientAccount &account) const
    {
        MicroTokens largest = 0;
        for (const auto &[name, server] : m_model.servers) {
            largest = std::max(largest, shareOf(m_snapshot, account, name).capacity);
        }
        return largest;
    }

    /*! @return Calls per second of all services with routes for accounts, each with its fastest
     * class. */
    [[nodiscard]] double capacityAtTarget() const
    {
        std::map<std::string, Millis> targets; // by service
        for (const auto &route : m_model.routes) {
            if (const auto *workClass = m_snapshot.findClass(route.workClass);
                route.access == RouteAccess::Account && workClass != nullptr) {
                const auto [it, isNew] = targets.try_emplace(route.service, workClass->latency);
                it->second = std::min(it->second, workClass->latency);
            }
        }
        double capacity = 0.0;
        for (const auto &[name, server] : m_model.servers) {
            if (const auto it = targets.find(server.service); it != targets.end()) {
                capacity += server.slots * 1000.0 / static_cast<double>(it->second.count());
            }
        }
        return capacity;
    }

    const Snapshot &m_snapshot;
    const ConfigModel &m_model;
    std::vector<ReviewNote> m_notes;
};

[[nodiscard]] const char *accessName(RouteAccess access)
{
    switch (access) {
    case RouteAccess::Account:
        return "account";
    case RouteAccess::Open:
        return "open";
    case RouteAccess::Internal:
        break;
    }
    return "internal";
}

[[nodiscard]] Entries entriesOf(const ConfigModel &model)
{
    Entries entries;
    for (const auto &[name, zone] : model.zones) {
        entries["zone " + name] = {{"region", zone.region},
                                   {"status", zone.status == ZoneStatus::InService ? "in" : "out"}};
    }
    for (const auto &[name, service] : model.services) {
        entries["service " + name] = {};
    }
    for (const auto &[name, it] : model.classes) {
        entries["class " + name] = {
                {"latency_ms", std::to_string(it.latency.count())},
                {"success", numberText(it.success)},
                {"repeat", it.repeat == RepeatSafety::Idempotent ? "idempotent" : "at-most-once"},
                {"deadline_ms", std::to_string(it.deadline.count())},
                {"key_freshness_ms", std::to_string(it.keyFreshness.count())}};
    }
    for (const auto &route : model.routes) {
        entries["route " + route.path] = {{"service", route.service},
                                          {"class", route.workClass},
                                          {"access", accessName(route.access)}};
    }
    for (const auto &[name, account] : model.accounts) {
        entries["account " + name]
                = {{"rate", numberText(account.rate)}, {"burst", numberText(account.burst)}};
    }
    for (const auto &[id, key] : model.keys) {
        entries["key " + id] = {{"account", key.account}, {"salt", key.salt}, {"hash", key.hash}};
    }
    for (const auto &[name, server] : model.servers) {
        entries["server " + name] = {{"service", server.service},
                                     {"zone", server.zone},
                                     {"node", server.node.text()},
                                     {"operator", server.operatorPort.text()},
                                     {"slots", std::to_string(server.slots)}};
    }
    return entries;
}

[[nodiscard]] std::string changedMembers(const Members &from, const Members &to)
{
    std::string text;
    for (const auto &[name, value] : to) {
        if (const auto &before = from.at(name); before != value) {
            text.append(text.empty() ? "" : ", ").append(name);
            text.append(": ").append(before).append(" -> ").append(value);
        }
    }
    return text;
}

} // namespace internal

std::vector<ReviewNote> reviewConfig(const Snapshot &snapshot)
{
    return internal::Review{snapshot}.run();
}

std::vector<ConfigChange> compareConfigs(const ConfigModel &from, const ConfigModel &to)
{
    const auto before = internal::entriesOf(from);
    const auto after = internal::entriesOf(to);
    std::vector<ConfigChange> changes;
    for (const auto &[entity, members] : before) {
        if (after.count(entity) == 0) {
            changes.push_back({ChangeKind::Removed, entity, {}});
        }
    }
    std::vector<ConfigChange> changed;
    for (const auto &[entity, members] : after) {
        const auto it = before.find(entity);
        if (it == before.end()) {
            changes.push_back({ChangeKind::Added, entity, {}});
        } else if (auto detail = internal::changedMembers(it->second, members); !detail.empty()) {
            changed.push_back({ChangeKind::Changed, entity, std::move(detail)});
        }
    }
    changes.insert(changes.end(), changed.begin(), changed.end());
    return changes;
}

} // namespace celeryramp
