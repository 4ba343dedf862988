#include "soak/operator.h"

#include <nlohmann/json.hpp>

#include "names.h"

namespace standin::soak {

using celeryramp::TimePoint;
using Json = nlohmann::json;

namespace {

constexpr int kFirstNumber = 3;
constexpr int kNumberStep = 2;
constexpr int kAddedRoutes = 2; /*!< Added routes that a version has, besides the first ones. */
constexpr int kMoveEvery = 2; /*!< Versions from one that moves a route to the next. */

std::string addedPrefix(int index)
{
    return "/x" + std::to_string(index) + "/";
}

std::string otherService(const std::string &service)
{
    return service == "stock" ? "files" : "stock";
}

Json route(const std::string &prefix, const std::string &service, int timeoutMs)
{
    const auto *kind = prefix == "/w/" ? "non_idempotent"
            : prefix == "/d/"          ? "download"
                                       : "idempotent";
    return {{"Name", prefix.substr(1, prefix.size() - 2)},
            {"Host", "soak.example"},
            {"Prefix", prefix},
            {"Service", service},
            {"Kind", kind},
            {"Timeout", std::to_string(timeoutMs) + "ms"},
            {"TargetLatency", "400ms"},
            {"MaxAttempts", 2}};
}

Json account(const std::string &name, const std::string &key, double rate)
{
    return {{"Name", name}, {"ApiKeys", Json::array({key})}, {"RatePerS", rate}, {"Burst", rate}};
}

} // namespace

std::string Operator::revocableKey(int key)
{
    return "k-revocable-" + std::to_string(key);
}

ConfigurationVersion Operator::nextVersion(TimePoint now) const
{
    const auto index = static_cast<int>(m_observations.versions.size());
    ConfigurationVersion version;
    version.number = kFirstNumber + kNumberStep * index;
    version.sentAt = now;
    version.services = index == 0 ? std::map<std::string, std::string>{{"/r/", "stock"},
                                                                       {"/w/", "stock"},
                                                                       {"/d/", "files"}}
                                  : m_observations.versions.back().services;
    version.services[addedPrefix(index)] = index % 2 == 0 ? "stock" : "files";
    version.services.erase(addedPrefix(index - kAddedRoutes));
    if (index > 0 && index % kMoveEvery == 0) {
        auto &moved = version.services[addedPrefix(index - 1)];
        moved = otherService(moved);
    }
    version.keys = {"k-free", "k-small"};
    for (auto i = static_cast<int>(m_withdrawnBy.size()); i < kRevocableKeys; ++i) {
        version.keys.insert(revocableKey(i));
    }
    return version;
}

std::string Operator::document(const ConfigurationVersion &version) const
{
    Json json{{"Version", version.number}};
    const int timeout = 1800 + version.number % 4 * 50;
    for (const auto &[prefix, service] : version.services) {
        json["Routes"].push_back(route(prefix, service, timeout));
    }
    json["Services"] = {{{"Name", "stock"}, {"HealthPath", "/health"}},
                        {{"Name", "files"}, {"HealthPath", "/health"}}};
    json["Tenants"] = {account("free", "k-free", 0.0), account("small", "k-small", kSmallRate)};
    for (int i = 0; i < kRevocableKeys; ++i) {
        if (version.keys.count(revocableKey(i)) > 0) {
            json["Tenants"].push_back(
                    account("revocable-" + std::to_string(i), revocableKey(i), 0.0));
        }
    }
    return json.dump();
}

void Operator::publish(TimePoint now)
{
    m_observations.versions.push_back(nextVersion(now));
    const auto &version = m_observations.versions.back();
    m_writer.write({std::string{celeryramp::platform::kConfigurationKey}, document(version),
                    &m_observations.confirmed, std::to_string(version.number)},
                   now);
}

void Operator::withdrawKey(TimePoint now)
{
    if (m_withdrawnBy.size() < kRevocableKeys) {
        m_withdrawnBy.push_back(m_observations.versions.back().number + kNumberStep);
        publish(now);
    }
}

std::optional<TimePoint> Operator::withdrawnAt(int key) const
{
    if (key >= static_cast<int>(m_withdrawnBy.size())) {
        return std::nullopt;
    }
    // Later versions lack the key too.
    std::optional<TimePoint> first;
    for (const auto &span : m_observations.confirmed) {
        if (span.to == TimePoint::max()
            && std::stoi(span.subject) >= m_withdrawnBy[static_cast<std::size_t>(key)]) {
            first = std::min(first.value_or(span.from), span.from);
        }
    }
    return first;
}

std::string Operator::probePrefix(celeryramp::RandomEngine &random) const
{
    const auto below = [&random](int n) {
        return static_cast<int>(random.below(static_cast<std::uint64_t>(n)));
    };
    const auto newest = static_cast<int>(m_observations.versions.size()) - 1;
    const int draw = below(10);
    if (draw == 0) {
        return "/never" + std::to_string(below(100)) + "/";
    }
    const int index = draw < 4 ? newest
            : draw < 7         ? newest - 1 - below(kAddedRoutes - 1)
                               : newest - kAddedRoutes - below(kAddedRoutes);
    return addedPrefix(std::max(index, 0));
}

} // namespace standin::soak
