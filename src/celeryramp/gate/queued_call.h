#pragma once

#include <cstdint>

#include "core/time.h"
#include "wire/call_message.h"

namespace celeryramp {

/*! @brief Identity of the way back to a caller's entry node; opaque to the gate. */
using ReplyPath = std::uint64_t;

/*! @brief A call at a gate with its local deadline. */
struct QueuedCall
{
    CallMessage call;
    ReplyPath replyPath = 0; /*!< 0 when the entry node is this node. */
    TimePoint arrivedAt;
    TimePoint deadline;
    TimePoint dueAt; /*!< When the latency target of the class would be missed. */
};

} // namespace celeryramp
