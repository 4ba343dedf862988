#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "core/result.h"
#include "wire/call_message.h"
#include "wire/control_messages.h"
#include "wire/ledger_messages.h"
#include "wire/limit_messages.h"

namespace celeryramp {

/*! @brief Any message between nodes. The position is its type number on the wire. */
using Message = std::variant<HelloMessage, CallMessage, AnswerMessage, CancelMessage,
                             HeartbeatMessage, AnnounceMessage, PullMessage, DocumentMessage,
                             RumourMessage, TokenRequestMessage, TokenGrantMessage, ReserveMessage,
                             VoteMessage, CompleteMessage, RecoverMessage, RecordsMessage>;

/*! @brief Why bytes are no message. */
enum class WireErrorCode {
    Malformed, /*!< No CBOR array of the expected shape. */
    UnknownType, /*!< Type number without a message. */
    TooLarge /*!< Frame above the limit. */
};

/*! @brief Error of the wire layer. */
struct WireError
{
    WireErrorCode code = WireErrorCode::Malformed;
    std::string reason;
};

/*! @brief Largest frame accepted from a peer, in bytes. */
inline constexpr std::size_t kMaxFrameBytes = 8 * 1024 * 1024;

/*! @return The message as one CBOR frame. */
[[nodiscard]] std::string encode(const Message &message);

/*!
 * @brief Reads one frame.
 * @return The message, or why the bytes are none. Never throws on any input.
 */
[[nodiscard]] Result<Message, WireError> decode(std::string_view frame);

} // namespace celeryramp
