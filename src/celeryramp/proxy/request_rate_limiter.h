#pragma once

#include <limits>
#include <optional>

#include "core/time.h"

namespace celeryramp::proxy {

/*! Requests per second of a server that names no limit. */
inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();

/*!
 * @brief Keeps the requests to one server within the rate that the server names in its answers.
 *
 * The gate of the server passes all its requests, so the limit needs no shares among the nodes that
 * send them. A gate whose process has restarted does not know the limit until the next answer; the
 * nodes that have seen it tell the gate with their calls.
 */
class RequestRateLimiter
{
public:
    /*! @brief Applies what an answer of the server says. @param perSecond Requests per second, or
     * `kNoRateLimit`. */
    void onAnswer(double perSecond, TimePoint now);

    /*! @brief Applies what another node has last heard from the server; ignored once an answer has
     * arrived here. An earlier process may have used up the limit, so no burst is allowed. */
    void onReport(double perSecond, TimePoint now);

    /*! @brief Forgets the limit, as another server has taken the place of the one that named it. */
    void reset() noexcept;

    /*! @return The limit in requests per second; nothing while it is unknown. */
    [[nodiscard]] std::optional<double> perSecond() const noexcept { return m_perSecond; }

    /*! @return Requests that may be handed over now; negative if there is no limit. */
    [[nodiscard]] int available(TimePoint now) const;

    /*! @brief Counts a request that is handed over. */
    void onHandedOver(TimePoint now);

    /*! @return The rate that is enforced, in requests per second. */
    [[nodiscard]] double enforcedRate() const;

private:
    [[nodiscard]] bool isLimited() const noexcept
    {
        return m_perSecond.has_value() && *m_perSecond < kNoRateLimit;
    }
    [[nodiscard]] double capacity() const;
    [[nodiscard]] double tokensAt(TimePoint now) const;

    std::optional<double> m_perSecond;
    bool m_hasAnswer = false; /*!< The limit comes from an answer that arrived here. */
    double m_tokens = 0.0; /*!< At `m_tokensAt`. */
    TimePoint m_tokensAt;
};

} // namespace celeryramp::proxy
