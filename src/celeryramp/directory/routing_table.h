#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/result.h"
#include "directory/configuration.h"
#include "directory/directory_error.h"
#include "directory/key_check.h"

namespace celeryramp::directory {

/*! @brief Immutable, validated configuration with lookups for request routing. */
class RoutingTable
{
public:
    /*! @return The table, or the first error found in the configuration. */
    [[nodiscard]] static Result<RoutingTable, DirectoryError> build(Configuration configuration);

    [[nodiscard]] std::uint64_t version() const noexcept { return m_configuration.version; }
    [[nodiscard]] const InputLimits &limits() const noexcept { return m_configuration.limits; }
    [[nodiscard]] const Configuration &configuration() const noexcept { return m_configuration; }

    /*!
     * @param host Lower case, without port.
     * @param path Without the query.
     * @return The route of the host with the longest matching prefix, or null.
     */
    [[nodiscard]] const Route *findRoute(std::string_view host, std::string_view path) const;

    /*! @return The account to which the API key belongs, or null. */
    [[nodiscard]] const ClientAccount *findAccountByKey(std::string_view key) const;

    /*!
     * @brief Decides whether a request may run with its API key.
     * @param route That the request matches.
     * @param key Nothing if the request carries none.
     */
    [[nodiscard]] KeyCheck checkKey(const Route &route, std::optional<std::string_view> key) const;

    /*! @return The account with this name, or null. */
    [[nodiscard]] const ClientAccount *findAccount(std::string_view name) const;

    /*! @return The service with this name, or null. */
    [[nodiscard]] const Service *findService(std::string_view name) const;

    /*! @return True if requests need an API key, except on open routes. */
    [[nodiscard]] bool needsKeys() const noexcept { return m_configuration.accounts.needsKeys(); }
    /*! @return Number of keys that accounts of the configuration have. */
    [[nodiscard]] std::size_t keyCount() const noexcept { return m_byKey.size(); }
    /*! @return Whether requests need a key and how many are valid, for logs; without any key. */
    [[nodiscard]] std::string keySummary() const;
    /*! @return The entries of the configuration that cannot be read, and why. */
    [[nodiscard]] const std::vector<DirectoryError> &problems() const noexcept
    {
        return m_configuration.problems;
    }

private:
    RoutingTable() = default;

    Configuration m_configuration;
    /*! Indices of the routes by host, longest prefix first. */
    std::unordered_map<std::string, std::vector<std::size_t>> m_byHost;
    std::unordered_map<std::string, std::size_t> m_byKey;
    std::map<std::string, std::size_t, std::less<>> m_accounts;
    std::map<std::string, std::size_t, std::less<>> m_services;
};

} // namespace celeryramp::directory
