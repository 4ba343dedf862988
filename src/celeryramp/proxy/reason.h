#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace celeryramp::proxy {

/*! @brief Reason why a request did not get the answer of a server. */
enum class Reason : std::uint8_t {
    None,
    NoConfiguration, /*!< This node has received no configuration yet. */
    StaleKeys, /*!< The known API keys are too old to rely on. */
    UnknownKey,
    NoRoute,
    BadRequest,
    OverLimit, /*!< The account exceeded its rate limit. */
    NoServer, /*!< No server of the service is available. */
    Busy, /*!< The gate cannot serve it in time. */
    Draining, /*!< The server or its node is leaving. */
    Evacuated, /*!< The zone of the server is evacuated. */
    WrongServer, /*!< The server at the address is not the intended one. */
    Shed, /*!< The server itself refused it because of its load. */
    Unreachable, /*!< Nothing was sent, as there was no connection to the node or server. */
    Quarantined, /*!< The request crashes the servers that run it. */
    Lost, /*!< The connection ended before the answer was complete. */
    Malformed, /*!< The server sent an invalid answer. */
    DeadlinePassed,
    TimedOut, /*!< The route's timeout was reached. */
    Cancelled, /*!< The caller no longer waits. */
    Unreadable, /*!< The entry of the configuration that decides on it cannot be read. */
    Hung /*!< The server leaves requests without an answer. */
};

/*! @return Name of the reason in logs and metrics. */
[[nodiscard]] constexpr std::string_view reasonName(Reason reason) noexcept
{
    constexpr std::array<std::string_view, 22> kNames{
            "none",        "no-configuration", "stale-keys",
            "unknown-key", "no-route",         "bad-request",
            "over-limit",  "no-server",        "busy",
            "draining",    "evacuated",        "wrong-server",
            "shed",        "unreachable",      "quarantined",
            "lost",        "malformed",        "deadline-passed",
            "timed-out",   "cancelled",        "unreadable",
            "hung"};
    return kNames.at(static_cast<std::size_t>(reason));
}

} // namespace celeryramp::proxy
