#include "directory/routing_table.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace celeryramp::directory {

namespace internal {

[[nodiscard]] std::optional<DirectoryError> validateRoute(const Route &route)
{
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
        return DirectoryError{route.name, "prefix must begin and end with a slash"};
    }
    if (!route.isReadable) {
        return std::nullopt;
    }
    if (route.timeout.count() <= 0) {
        return DirectoryError{route.name, "timeout must be greater than zero"};
    }
    if (route.maxAttempts < 1) {
        return DirectoryError{route.name, "at least one attempt is required"};
    }
    if (route.split.empty()) {
        return DirectoryError{route.name, "at least one destination is required"};
    }
    const auto totalWeight
            = std::accumulate(route.split.begin(), route.split.end(), 0,
                              [](int sum, const SplitPart &part) { return sum + part.weight; });
    const bool hasNegative = std::any_of(route.split.begin(), route.split.end(),
                                         [](const SplitPart &part) { return part.weight < 0; });
    if (hasNegative || totalWeight <= 0) {
        return DirectoryError{
                route.name, "weights must not be negative and their sum must be greater than zero"};
    }
    return std::nullopt;
}

} // namespace internal

Result<RoutingTable, DirectoryError> RoutingTable::build(Configuration configuration)
{
    RoutingTable table;
    table.m_configuration = std::move(configuration);
    const auto &config = table.m_configuration;
    for (std::size_t i = 0; i < config.services.size(); ++i) {
        if (!table.m_services.emplace(config.services[i].name, i).second) {
            return DirectoryError{config.services[i].name, "duplicate service name"};
        }
    }
    for (std::size_t i = 0; i < config.routes.size(); ++i) {
        const auto &route = config.routes[i];
        if (auto error = internal::validateRoute(route)) {
            return std::move(*error);
        }
        for (const auto &part : route.split) {
            if (table.m_services.count(part.service) == 0) {
                return DirectoryError{route.name, "unknown service " + part.service};
            }
        }
        table.m_byHost[route.host].push_back(i);
    }
    for (auto &[host, indices] : table.m_byHost) {
        std::sort(indices.begin(), indices.end(), [&config](std::size_t a, std::size_t b) {
            return std::tie(config.routes[a].prefix, a) < std::tie(config.routes[b].prefix, b);
        });
        const auto same = std::adjacent_find(
                indices.begin(), indices.end(), [&config](std::size_t a, std::size_t b) {
                    return config.routes[a].prefix == config.routes[b].prefix;
                });
        if (same != indices.end()) {
            return DirectoryError{config.routes[*std::next(same)].name,
                                  "same host and prefix as route " + config.routes[*same].name};
        }
        std::stable_sort(indices.begin(), indices.end(), [&config](std::size_t a, std::size_t b) {
            return config.routes[a].prefix.size() > config.routes[b].prefix.size();
        });
    }
    const auto &accounts = config.accounts.entries();
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const auto &account = accounts[i];
        if (!table.m_accounts.emplace(account.name, i).second) {
            return DirectoryError{account.name, "duplicate account name"};
        }
        for (const auto &key : account.keys) {
            if (key.empty()) {
                table.m_configuration.problems.push_back(
                        {account.name, "a key without characters is not accepted"});
                continue;
            }
            if (const auto [it, isNew] = table.m_byKey.emplace(key, i); !isNew && it->second != i) {
                return DirectoryError{account.name, "duplicate API key"};
            }
        }
    }
    return table;
}

const Route *RoutingTable::findRoute(std::string_view host, std::string_view path) const
{
    if (const auto it = m_byHost.find(std::string{host}); it != m_byHost.end()) {
        for (const auto index : it->second) {
            const auto &route = m_configuration.routes[index];
            if (path.substr(0, route.prefix.size()) == route.prefix) {
                return &route;
            }
        }
    }
    return nullptr;
}

const ClientAccount *RoutingTable::findAccountByKey(std::string_view key) const
{
    const auto it = m_byKey.find(std::string{key});
    return it == m_byKey.end() ? nullptr : &m_configuration.accounts.entries()[it->second];
}

KeyCheck RoutingTable::checkKey(const Route &route, std::optional<std::string_view> key) const
{
    const bool isRequired = needsKeys() && !route.isOpen;
    if (const auto *account = key ? findAccountByKey(*key) : nullptr; account != nullptr) {
        return {account->isReadable ? KeyVerdict::Accepted : KeyVerdict::Undecided, account,
                isRequired};
    }
    if (!isRequired) {
        return {KeyVerdict::Accepted, nullptr, false};
    }
    const bool mayBeValid = key && !m_configuration.accounts.isComplete();
    return {mayBeValid ? KeyVerdict::Undecided : KeyVerdict::Rejected, nullptr, true};
}

std::string RoutingTable::keySummary() const
{
    std::string text = needsKeys() ? "keys=required" : "keys=not-required";
    text += " accounts=" + std::to_string(m_configuration.accounts.entries().size());
    text += " known_keys=" + std::to_string(keyCount());
    text += m_configuration.accounts.isComplete() ? " unknown_keys=no" : " unknown_keys=yes";
    return text;
}

const ClientAccount *RoutingTable::findAccount(std::string_view name) const
{
    const auto it = m_accounts.find(name);
    return it == m_accounts.end() ? nullptr : &m_configuration.accounts.entries()[it->second];
}

const Service *RoutingTable::findService(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &m_configuration.services[it->second];
}

} // namespace celeryramp::directory
