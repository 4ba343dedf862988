#pragma once

#include "proxy/frame_fields.h"
#include "proxy/frames.h"

/*! @file
 *  Codec of the frames that carry published state, or positions in it. Readers throw for fields
 *  that are missing, mistyped or out of range.
 */

namespace celeryramp::proxy::internal {

void append(Json &out, const UsageFrame &frame);
void append(Json &out, const LevelsFrame &frame);
void append(Json &out, const SyncRequestFrame &frame);
void append(Json &out, const SyncReplyFrame &frame);
void append(Json &out, const ChangesFrame &frame);

[[nodiscard]] Frame readUsage(const Json &json);
[[nodiscard]] Frame readLevels(const Json &json);
[[nodiscard]] Frame readSyncRequest(const Json &json);
[[nodiscard]] Frame readSyncReply(const Json &json);
[[nodiscard]] Frame readChanges(const Json &json);

} // namespace celeryramp::proxy::internal
