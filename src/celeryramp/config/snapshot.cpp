#include "config/snapshot.h"

#include "core/hash.h"

namespace celeryramp {

namespace internal {

template <typename Map>
[[nodiscard]] const typename Map::mapped_type *find(const Map &map, const std::string &name)
{
    const auto it = map.find(name);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace internal

Snapshot::Snapshot(ConfigStamp stamp, ConfigModel model)
    : m_stamp{std::move(stamp)}, m_model{std::move(model)}
{
    for (const auto &route : m_model.routes) {
        m_routes.emplace(route.path, &route);
    }
    for (const auto &[name, server] : m_model.servers) {
        m_byService[server.service][server.zone].push_back(&server);
        m_byZone[server.zone].push_back(&server);
    }
}

const Route *Snapshot::findRoute(std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    while (!path.empty()) {
        if (const auto it = m_routes.find(path); it != m_routes.end()) {
            return it->second;
        }
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const ClientAccount *Snapshot::findAccountByKey(std::string_view presented) const
{
    const auto dot = presented.find('.');
    if (dot == std::string_view::npos) {
        return nullptr;
    }
    const auto *key = internal::find(m_model.keys, std::string{presented.substr(0, dot)});
    if (key == nullptr) {
        return nullptr;
    }
    const auto hash = sha256Hex(key->salt + std::string{presented.substr(dot + 1)});
    return equalConstantTime(hash, key->hash) ? findAccount(key->account) : nullptr;
}

bool Snapshot::isKeyGranted(const std::string &keyId, const std::string &account) const
{
    const auto *key = internal::find(m_model.keys, keyId);
    return key != nullptr && key->account == account;
}

gsl::span<const BackendServer *const> Snapshot::serversOf(const std::string &service,
                                                          const std::string &zone) const
{
    if (const auto *zones = internal::find(m_byService, service); zones != nullptr) {
        if (const auto *list = internal::find(*zones, zone); list != nullptr) {
            return *list;
        }
    }
    return {};
}

gsl::span<const BackendServer *const> Snapshot::serversIn(const std::string &zone) const
{
    if (const auto *list = internal::find(m_byZone, zone); list != nullptr) {
        return *list;
    }
    return {};
}

const BackendServer *Snapshot::findServer(const std::string &name) const
{
    return internal::find(m_model.servers, name);
}

const ClientAccount *Snapshot::findAccount(const std::string &name) const
{
    return internal::find(m_model.accounts, name);
}

const WorkClass *Snapshot::findClass(const std::string &name) const
{
    return internal::find(m_model.classes, name);
}

bool Snapshot::isZoneInService(const std::string &zone) const
{
    const auto *found = internal::find(m_model.zones, zone);
    return found != nullptr && found->status == ZoneStatus::InService;
}

} // namespace celeryramp
