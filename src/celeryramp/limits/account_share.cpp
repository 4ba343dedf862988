#include "limits/account_share.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr double kMaxGrantLifetimeSeconds = 0.2;
constexpr std::size_t kMaxMintersPerZone = 4;
// Calls. A bucket only grants whole calls, and in a smaller bucket the unused fraction weighs more.
constexpr double kBurstPerMinter = 30.0;

} // namespace internal

std::vector<std::string> mintingZones(const Snapshot &snapshot)
{
    std::vector<std::string> names;
    for (const auto &[name, zone] : snapshot.model().zones) {
        if (!snapshot.serversIn(name).empty()) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> mintersOf(const Snapshot &snapshot, const ClientAccount &account,
                                   const std::string &zone)
{
    std::vector<std::pair<std::uint64_t, std::string>> servers;
    for (const auto *server : snapshot.serversIn(zone)) {
        servers.emplace_back(stableHash({account.name, server->name}), server->name);
    }
    std::sort(servers.begin(), servers.end());
    const auto zones = static_cast<double>(std::max<std::size_t>(1, mintingZones(snapshot).size()));
    const auto minterCount = static_cast<std::size_t>(
            std::max(1.0, account.burst / (zones * internal::kBurstPerMinter)));
    servers.resize(std::min({servers.size(), minterCount, internal::kMaxMintersPerZone}));
    std::vector<std::string> names;
    names.reserve(servers.size());
    for (auto &[hash, name] : servers) {
        names.push_back(std::move(name));
    }
    return names;
}

Millis grantLifetime(const ClientAccount &account)
{
    const auto refillSeconds = account.burst / account.rate;
    const auto seconds = std::min(internal::kMaxGrantLifetimeSeconds, refillSeconds / 4.0);
    return Millis{
            std::max<std::int64_t>(1, static_cast<std::int64_t>(std::floor(seconds * 1000.0)))};
}

AccountShare shareOf(const Snapshot &snapshot, const ClientAccount &account,
                     const std::string &server)
{
    const auto *declared = snapshot.findServer(server);
    if (declared == nullptr) {
        return {};
    }
    const auto minters = mintersOf(snapshot, account, declared->zone);
    if (std::find(minters.begin(), minters.end(), server) == minters.end()) {
        return {};
    }
    const auto divisor = static_cast<double>(mintingZones(snapshot).size() * minters.size());
    AccountShare share;
    share.ratePerSecond = account.rate * double(kMicroTokensPerCall) / divisor;
    share.grantLifetime = grantLifetime(account);
    const auto burst = account.burst * double(kMicroTokensPerCall) / divisor;
    const auto lifetimeSeconds = std::chrono::duration<double>(share.grantLifetime).count();
    share.capacity = std::max<MicroTokens>(
            0, static_cast<MicroTokens>(std::floor(burst - share.ratePerSecond * lifetimeSeconds)));
    return share;
}

} // namespace celeryramp
