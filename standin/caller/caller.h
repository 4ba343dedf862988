#pragma once

#include <string>

#include "caller/call_plan.h"
#include "common/journal.h"

namespace standin {

/*!
 * @brief Open-loop load: arrivals are drawn beforehand from the seed, whatever the answers do. Each
 * send gets a `sent` and an `end` line in the journal.
 */
class Caller
{
public:
    Caller(CallPlan plan, const std::string &journal);

    /*! @brief Sends all calls of the plan and waits for their ends. */
    void run();

private:
    struct Arrival
    {
        std::int64_t atMicros = 0; /*!< After the start. */
        std::size_t account = 0;
        std::size_t kind = 0;
        std::uint64_t number = 0;
        int send = 0; /*!< 0 for the first send of a call. */
    };
    class Line;

    void drawArrivals();
    void send(class Connection &connection, const Arrival &arrival, std::int64_t startMicros);

    CallPlan m_plan;
    Journal m_journal;
    std::map<std::string, std::vector<Arrival>> m_arrivals; /*!< By zone of entry. */
};

} // namespace standin
