#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "soak/promise_check.h"
#include "soak/store_writer.h"

namespace standin::soak {

/*!
 * @brief The operator of a run. Each version of the configuration adds a route and drops an older
 * one, and some move a route to another service, so that callers and servers see which is in force.
 */
class Operator
{
public:
    static constexpr int kRevocableKeys = 4;
    static constexpr double kSmallRate = 15.0;

    Operator(StoreWriter &writer, Observations &observations)
        : m_writer{writer}, m_observations{observations}
    { }

    void publish(celeryramp::TimePoint now);
    /*! @brief Publishes a version without the next of the keys that can be withdrawn, if any. */
    void withdrawKey(celeryramp::TimePoint now);
    /*! @return When the withdrawal of a key was acknowledged; nothing while it is not, or while
     * the store has lost it. */
    [[nodiscard]] std::optional<celeryramp::TimePoint> withdrawnAt(int key) const;
    /*! @return The prefix of a new route, of a dropped one or of one that never was. */
    [[nodiscard]] std::string probePrefix(celeryramp::RandomEngine &random) const;

    [[nodiscard]] static std::string revocableKey(int key);

private:
    [[nodiscard]] ConfigurationVersion nextVersion(celeryramp::TimePoint now) const;
    [[nodiscard]] std::string document(const ConfigurationVersion &version) const;

    StoreWriter &m_writer;
    Observations &m_observations;
    std::vector<int> m_withdrawnBy; /*!< Versions without the keys, in the order of the keys. */
};

} // namespace standin::soak
