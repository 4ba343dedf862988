#pragma once

#include <cstdint>

#include "core/time.h"
#include "wire/call_message.h"

namespace celeryramp {

/*! @brief Identifies the path for the reply to a call's entry node; opaque to the gate. */
using ReplyPath = std::uint64_t;

/*! @brief A call at a gate, with its times on the local clock. */
struct QueuedCall
{
    CallMessage call;
    ReplyPath replyPath = 0; /*!< 0 when the entry node is this node. */
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint dueAt; /*!< Time after which the latency target of the work class is missed. */
};

} // namespace celeryramp
