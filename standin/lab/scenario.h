#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <toml++/toml.h>

#include "lab/site.h"

namespace standin {

/*! @brief What a scenario found. */
struct ScenarioReport
{
    std::vector<Convergence> convergences;
    std::vector<Violation> violations;
    std::size_t expected = 0; /*!< Violations that a scenario without a mechanism is to show. */
    std::vector<std::string> failures; /*!< Expectations that did not come true. */
};

/*!
 * @brief Runs a scripted scenario: TOML steps `at_ms`, `do` and `expect` over a site.
 *
 * The language is described in docs/SCENARIOS.md.
 */
class Scenario
{
public:
    /*! @param path TOML file. Throws on a file that cannot be read or parsed. */
    explicit Scenario(const std::string &path);

    /*! @return Name of the deployment the scenario wants; empty for any. */
    [[nodiscard]] std::string deployment() const;

    /*! @return Behaviour of the backend servers that the scenario wants. */
    [[nodiscard]] BackendTuning tuning() const;

    /*! @brief Changes the shape as the scenario's `[shape]` table says. */
    void adjust(DeploymentShape &shape) const;

    /*! @brief Runs all steps and checks the journals. */
    [[nodiscard]] ScenarioReport run(Site &site, std::uint64_t seed);

private:
    using Action = void (Scenario::*)(Site &site, const toml::table &step);

    void perform(Site &site, const toml::table &step);
    void startLoad(Site &site, std::uint64_t seed);
    void checkExpectations(Site &site);
    void checkExpectedViolation();

    void publish(Site &site, const toml::table &step);
    void publishBad(Site &site, const toml::table &step);
    void withdrawKey(Site &site, const toml::table &step);
    void zoneOut(Site &site, const toml::table &step);
    void zoneIn(Site &site, const toml::table &step);
    void setRate(Site &site, const toml::table &step);
    void killNodes(Site &site, const toml::table &step);
    void startNodes(Site &site, const toml::table &step);
    void stopNodes(Site &site, const toml::table &step);
    void freezeNodes(Site &site, const toml::table &step);
    void thawNodes(Site &site, const toml::table &step);
    void killBackends(Site &site, const toml::table &step);
    void startBackends(Site &site, const toml::table &step);
    void turnCold(Site &site, const toml::table &step);
    void cut(Site &site, const toml::table &step);
    void heal(Site &site, const toml::table &step);
    void beginBlind(Site &site, const std::string &cause);
    void endBlind(Site &site, const std::string &cause);
    void platformFault(Site &site, const toml::table &step);
    void restore(Site &site, const toml::table &step);
    void expectReads(Site &site, const toml::table &step);
    void listLeaving(Site &site, const toml::table &step);
    void expectVersion(Site &site, const toml::table &step);
    void expectState(Site &site, const toml::table &step);
    void call(Site &site, const toml::table &step);

    void converge(Site &site, const std::string &change, std::uint64_t version,
                  const toml::table &step);
    void fail(std::string text) { m_report.failures.push_back(std::move(text)); }
    [[nodiscard]] std::vector<std::string> servers(const Site &site, const toml::table &step) const;

    toml::table m_table;
    ScenarioReport m_report;
    std::uint64_t m_version = 0; /*!< Last version published. */
    std::vector<std::string> m_callers;
    int m_calls = 0;
};

} // namespace standin
