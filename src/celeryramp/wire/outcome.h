#pragma once

#include <string_view>

namespace celeryramp {

/*! @brief What a caller can learn about its call. */
enum class Outcome {
    Answered, /*!< The whole answer of the backend server. */
    NotRun, /*!< No backend server saw the call; it may be sent again anywhere. */
    Unknown /*!< The call may have been executed. */
};

/*! @brief Why a call has no answer of a backend server. Documented in docs/REASONS.md. */
enum class Reason {
    None,
    NoKey,
    BadKey,
    KeysStale,
    UnknownRoute,
    Forbidden,
    RateExceeded,
    NoServer,
    QueueFull,
    Busy,
    Draining,
    ZoneOutOfService,
    TooLate,
    TooLarge,
    TooDeep,
    RingFull,
    NotReady,
    LedgerUnreachable,
    InProgress,
    KeyReused,
    Quarantined,
    Unreachable,
    NoAnswer,
    ServerLost,
    PeerLost,
    BadAnswer,
    Malformed
};

/*! @brief Text and default HTTP status of a reason. */
struct ReasonInfo
{
    Reason reason;
    std::string_view text;
    int status;
    bool retryable; /*!< Another gate may succeed where this one refused. */
};

/*! @return Description of a reason. */
[[nodiscard]] const ReasonInfo &reasonInfo(Reason reason) noexcept;

/*! @return `answered`, `not-run` or `unknown`. */
[[nodiscard]] std::string_view outcomeText(Outcome outcome) noexcept;

} // namespace celeryramp
