#pragma once

/*! @file
 *  Forward declarations of the wire module: typed messages between nodes and their CBOR codec.
 */

namespace celeryramp {

struct CallMessage;
struct AnswerMessage;
struct CancelMessage;
struct HelloMessage;
struct HeartbeatMessage;
struct AnnounceMessage;
struct PullMessage;
struct DocumentMessage;
struct RumourMessage;
struct TokenRequestMessage;
struct TokenGrantMessage;
struct ReserveMessage;
struct VoteMessage;
struct CompleteMessage;
struct RecoverMessage;
struct RecordsMessage;

} // namespace celeryramp
