#pragma once

#include <string>
#include <unordered_map>

#include "core/time.h"
#include "wire/call_message.h"

namespace celeryramp {

/*!
 * @brief What this node knows of each gate's load: the last answer's figures, their age, and its
 * own calls under way. Figures are hints; the gate itself decides.
 */
class LoadTable
{
public:
    /*! @brief A call was handed over. */
    void sent(const std::string &server);

    /*! @brief A call ended with an answer that carries the gate's load. */
    void answered(const std::string &server, const GateLoad &load, TimePoint now);

    /*! @brief A call ended without a word of the gate. */
    void failed(const std::string &server, TimePoint now);

    /*! @brief The gate refused for being closed or full. */
    void refused(const std::string &server, const GateLoad &load, TimePoint now);

    /*!
     * @brief Expected work ahead of a new call per unit of the gate's concurrency.
     * @return 0 for idle; above 1 when calls would queue. Old figures fade towards own calls.
     */
    [[nodiscard]] double pressure(const std::string &server, TimePoint now) const;

    /*! @return True while recent calls to the gate failed and it should be spared. */
    [[nodiscard]] bool isShunned(const std::string &server, TimePoint now) const;

    /*! @return Number of this node's calls under way to a gate. */
    [[nodiscard]] int underWay(const std::string &server) const;

private:
    struct Entry
    {
        GateLoad load;
        TimePoint at;
        TimePoint shunnedUntil;
        int underWay = 0;
        int failures = 0; /*!< In a row. */
    };

    void end(Entry &entry);

    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace celeryramp
