#include "engine/call_log.h"

#include "core/hash.h"
#include "observe/log.h"

namespace celeryramp::engine {

bool isSampled(const std::string &requestId) noexcept
{
    return stableHash(requestId) % kSuccessSample == 0;
}

void logGateEnd(const proxy::CallFrame &call, const proxy::ReplyFrame &reply,
                const std::string &serverId, const std::string &origin, Millis total,
                Millis atServer)
{
    const bool isGood = reply.kind == proxy::ReplyKind::Answer && reply.answer.status < 500;
    if (isGood && !isSampled(call.requestId)) {
        return;
    }
    logEvent(LogLevel::Info, "gate", "gate-end",
             {{"request", call.requestId},
              {"server", serverId},
              {"origin", origin},
              {"reason", std::string{proxy::reasonName(reply.reason)}},
              {"status", std::to_string(reply.answer.status)},
              {"rank", std::to_string(call.rank)},
              {"nested", call.isNested ? "1" : "0"},
              {"deadline_ms", std::to_string(call.deadline.count())},
              {"target_ms", std::to_string(call.target.count())},
              {"total_ms", std::to_string(total.count())},
              {"server_ms", std::to_string(atServer.count())},
              {"running", std::to_string(reply.load.running)},
              {"waiting", std::to_string(reply.load.waiting)},
              {"slots", std::to_string(reply.load.slots)},
              {"service_ms", std::to_string(reply.load.serviceMillis)},
              {"rate_wait_ms", std::to_string(reply.load.rateWaitMillis)},
              {"bad_percent", std::to_string(reply.load.failurePercent)}});
}

} // namespace celeryramp::engine
