#include "wire/outcome.h"

#include <array>

namespace celeryramp {

namespace internal {

constexpr std::array kReasons{
        ReasonInfo{Reason::None, "none", 200, false},
        ReasonInfo{Reason::NoKey, "no-key", 401, false},
        ReasonInfo{Reason::BadKey, "bad-key", 401, false},
        ReasonInfo{Reason::KeysStale, "keys-stale", 503, false},
        ReasonInfo{Reason::UnknownRoute, "unknown-route", 404, false},
        ReasonInfo{Reason::Forbidden, "forbidden", 403, false},
        ReasonInfo{Reason::RateExceeded, "rate-exceeded", 429, false},
        ReasonInfo{Reason::NoServer, "no-server", 503, false},
        ReasonInfo{Reason::QueueFull, "queue-full", 503, true},
        ReasonInfo{Reason::Busy, "busy", 503, true},
        ReasonInfo{Reason::Draining, "draining", 503, true},
        ReasonInfo{Reason::ZoneOutOfService, "zone-out-of-service", 503, true},
        ReasonInfo{Reason::TooLate, "too-late", 504, false},
        ReasonInfo{Reason::TooLarge, "too-large", 413, false},
        ReasonInfo{Reason::TooDeep, "too-deep", 508, false},
        ReasonInfo{Reason::RingFull, "ring-full", 503, true},
        ReasonInfo{Reason::NotReady, "not-ready", 503, true},
        ReasonInfo{Reason::LedgerUnreachable, "ledger-unreachable", 503, false},
        ReasonInfo{Reason::InProgress, "in-progress", 409, false},
        ReasonInfo{Reason::KeyReused, "key-reused", 422, false},
        ReasonInfo{Reason::Quarantined, "quarantined", 503, false},
        ReasonInfo{Reason::Unreachable, "unreachable", 503, true},
        ReasonInfo{Reason::NoAnswer, "no-answer", 504, true},
        ReasonInfo{Reason::ServerLost, "server-lost", 502, true},
        ReasonInfo{Reason::PeerLost, "peer-lost", 502, true},
        ReasonInfo{Reason::BadAnswer, "bad-answer", 502, true},
        ReasonInfo{Reason::Malformed, "malformed", 400, false}};

} // namespace internal

const ReasonInfo &reasonInfo(Reason reason) noexcept
{
    for (const auto &info : internal::kReasons) {
        if (info.reason == reason) {
            return info;
        }
    }
    return internal::kReasons.front();
}

std::string_view outcomeText(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::Answered:
        return "answered";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace celeryramp
