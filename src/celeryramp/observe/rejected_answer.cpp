#include "observe/rejected_answer.h"

#include "observe/log.h"

namespace celeryramp {

void recordRejectedAnswer(MetricsRegistry &metrics, const RejectedAnswer &rejected)
{
    const std::string kind{rejected.kind};
    const std::string reason{rejected.reason};
    metrics.counter("answers_rejected_total{from=\"" + kind + "\",reason=\"" + reason + "\"}")
            .add();
    logEvent(LogLevel::Warn, "answers", "answer-rejected",
             {{"from", kind},
              {"request", rejected.requestId},
              {"sender", rejected.sender},
              {"reason", reason}});
}

} // namespace celeryramp
