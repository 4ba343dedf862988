#pragma once

#include <string>
#include <string_view>

namespace celeryramp {

/*! @brief Carries `not-run` or `unknown`, a reason and the request's identity to the caller. */
inline const std::string kOutcomeHeader = "Celeryramp-Outcome";
/*! @brief Marks an answer that was given before to an earlier send of the same request. */
inline const std::string kReplayedHeader = "Celeryramp-Replayed";
/*! @brief Identity of the request, towards the backend server. */
inline const std::string kRequestHeader = "Celeryramp-Request";
/*! @brief Token that a backend server hands back with its own calls. */
inline const std::string kContextHeader = "Celeryramp-Context";
/*! @brief Milliseconds left until the deadline. */
inline const std::string kDeadlineHeader = "Celeryramp-Deadline-Ms";
/*! @brief Name of the client account, towards the backend server. */
inline const std::string kAccountHeader = "Celeryramp-Account";
/*! @brief Says that a call below was repeated already; layers above do not repeat again. */
inline const std::string kRetriedHeader = "Celeryramp-Retried";
/*! @brief Carries the caller's key as `Bearer id.secret`. */
inline const std::string kKeyHeader = "Authorization";
/*! @brief Names a request over all its sends by the caller. */
inline const std::string kIdempotencyHeader = "Idempotency-Key";

/*! @return True when two header names are equal regardless of case. */
[[nodiscard]] bool sameHeader(std::string_view a, std::string_view b) noexcept;

/*! @return True for headers that belong to one connection and are not passed on. */
[[nodiscard]] bool isHopHeader(std::string_view name) noexcept;

/*! @return True for headers that only the mesh may set, and for the caller's key. */
[[nodiscard]] bool isReservedHeader(std::string_view name) noexcept;

} // namespace celeryramp
