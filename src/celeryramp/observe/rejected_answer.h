#pragma once

#include <string>
#include <string_view>

#include "observe/metrics_registry.h"

namespace celeryramp {

/*! @brief A response that was received and is not used. */
struct RejectedAnswer
{
    std::string_view kind; /*!< `server`, `health`, `source` or `peer`. */
    std::string requestId; /*!< Empty if it answers no caller's request. */
    std::string sender; /*!< Server or node that sent it; empty for the source. */
    std::string_view reason; /*!< One of few, such as the name of a `http::AnswerError`. */
};

/*! @brief Logs and counts a response that is not used. */
void recordRejectedAnswer(MetricsRegistry &metrics, const RejectedAnswer &rejected);

} // namespace celeryramp
