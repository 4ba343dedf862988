#pragma once

#include <cstdint>
#include <deque>

#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief Limits the rate of requests to a server while it may be cold, as a sliding window of one
 * second.
 *
 * The requests are also paced evenly within the window. Otherwise those at its start would use it
 * up, and nested calls, which follow later, would be refused.
 */
class ColdStartLimiter
{
public:
    /*! @brief Treats the server as cold until this time, or until a later one that was set before.
     */
    void markCold(TimePoint until) noexcept { m_coldUntil = std::max(m_coldUntil, until); }

    /*! @brief Ends the cold period after the server has proved to be warm. */
    void markWarm(TimePoint now) noexcept { m_coldUntil = now; }

    /*! @brief Blocks requests for one second from `now` while the server is cold. Used when the
     * requests handed over in the previous second are not known. */
    void markUsed(TimePoint now) noexcept { m_blockedUntil = now + kWindow; }

    /*!
     * @return True if an earlier process of this node may have sent requests to a server.
     * @param serverStarted Start of the server, as Unix time in milliseconds.
     * @param processStarted Start of this process on the same host, likewise.
     */
    [[nodiscard]] static bool mayBeUsed(std::uint64_t serverStarted,
                                        std::uint64_t processStarted) noexcept
    {
        return serverStarted + kMinRestartMillis < processStarted;
    }

    [[nodiscard]] bool isCold(TimePoint now) const noexcept { return now < m_coldUntil; }

    /*! @return Time for which the server is treated as cold. */
    [[nodiscard]] Millis remaining(TimePoint now) const noexcept
    {
        return std::max(Millis{0}, millisBetween(now, m_coldUntil));
    }

    /*! @return Requests that may be handed over now; negative if there is no limit. */
    [[nodiscard]] int available(double perSecond, TimePoint now);

    /*! @brief Counts a request that is handed over. */
    void onHandedOver(double perSecond, TimePoint now);

private:
    static constexpr Millis kWindow{1000};
    /*! Minimum time between the end of a process and the start of the next one on its host. */
    static constexpr std::uint64_t kMinRestartMillis = 100;
    /*! Requests that may be handed over at once. A larger burst would leave none for the end of the
     *  window. */
    static constexpr double kBurst = 1.0;
    /*! Maximum number of recorded handovers; only warm servers exceed it within a second. */
    static constexpr std::size_t kMaxHandovers = 256;

    /*! @return Tokens of the pacing bucket. */
    [[nodiscard]] double availableTokens(double perSecond, TimePoint now) const;

    std::deque<TimePoint> m_handovers;
    double m_tokens = kBurst; /*!< At `m_tokensAt`. */
    TimePoint m_tokensAt;
    TimePoint m_coldUntil;
    TimePoint m_blockedUntil;
};

} // namespace celeryramp::proxy
