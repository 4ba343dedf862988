#include "config/references.h"

#include <set>

namespace celeryramp {

namespace internal {

[[nodiscard]] ConfigError danglingReference(std::string part, std::string place,
                                            const std::string &what, const std::string &name)
{
    return {ConfigErrorCode::DanglingReference, std::move(part), std::move(place),
            "there is no " + what + " named " + name};
}

[[nodiscard]] std::optional<ConfigError> checkServers(const ConfigModel &model)
{
    for (const auto &[name, server] : model.servers) {
        if (model.services.count(server.service) == 0) {
            return danglingReference("servers", "/servers/" + name + "/service", "service",
                                     server.service);
        }
        if (model.zones.count(server.zone) == 0) {
            return danglingReference("servers", "/servers/" + name + "/zone", "zone", server.zone);
        }
    }
    return std::nullopt;
}

[[nodiscard]] std::optional<ConfigError> checkRoutes(const ConfigModel &model)
{
    std::set<std::string> servicesWithServers;
    for (const auto &[name, server] : model.servers) {
        servicesWithServers.insert(server.service);
    }
    std::size_t i = 0;
    for (const auto &route : model.routes) {
        const auto place = "/routes/" + std::to_string(i++);
        if (model.services.count(route.service) == 0) {
            return danglingReference("services", place + "/service", "service", route.service);
        }
        if (model.classes.count(route.workClass) == 0) {
            return danglingReference("services", place + "/class", "class", route.workClass);
        }
        if (servicesWithServers.count(route.service) == 0) {
            return danglingReference("services", place + "/service", "server of the service",
                                     route.service);
        }
    }
    return std::nullopt;
}

[[nodiscard]] std::optional<ConfigError> checkKeys(const ConfigModel &model)
{
    for (const auto &[id, key] : model.keys) {
        if (model.accounts.count(key.account) == 0) {
            return danglingReference("keys", "/keys/" + id + "/account", "account", key.account);
        }
    }
    return std::nullopt;
}

} // namespace internal

std::optional<ConfigError> findDanglingReference(const ConfigModel &model)
{
    for (const auto check : {internal::checkServers, internal::checkRoutes, internal::checkKeys}) {
        if (auto error = check(model)) {
            return error;
        }
    }
    return std::nullopt;
}

} // namespace celeryramp
