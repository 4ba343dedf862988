#include "gate/ledger_homes.h"

#include <algorithm>

#include "core/hash.h"

namespace celeryramp {

namespace internal {

using RankedZones = std::vector<std::pair<std::uint64_t, std::string>>;

[[nodiscard]] std::string bestServer(const Snapshot &snapshot, const std::string &zone,
                                     const std::string &key,
                                     const std::vector<std::string> &excluded)
{
    std::string best;
    std::uint64_t bestHash = 0;
    for (const auto *server : snapshot.serversIn(zone)) {
        const auto hash = stableHash({key, server->name});
        const bool isExcluded
                = std::find(excluded.begin(), excluded.end(), server->name) != excluded.end();
        if (!isExcluded && (best.empty() || hash < bestHash)) {
            best = server->name;
            bestHash = hash;
        }
    }
    return best;
}

} // namespace internal

std::vector<std::string> ledgerHomes(const Snapshot &snapshot, const std::string &key)
{
    internal::RankedZones zones;
    for (const auto &[name, zone] : snapshot.model().zones) {
        if (!snapshot.serversIn(name).empty()) {
            zones.emplace_back(stableHash({key, name}), name);
        }
    }
    std::sort(zones.begin(), zones.end());
    std::vector<std::string> homes;
    bool found = true;
    while (homes.size() < kLedgerHomes && found) {
        found = false;
        for (const auto &[hash, zone] : zones) {
            if (homes.size() == kLedgerHomes) {
                break;
            }
            if (auto best = internal::bestServer(snapshot, zone, key, homes); !best.empty()) {
                homes.push_back(std::move(best));
                found = true;
            }
        }
    }
    return homes;
}

} // namespace celeryramp
