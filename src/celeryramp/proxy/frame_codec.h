#pragma once

#include <string>
#include <string_view>

#include "core/result.h"
#include "proxy/frames.h"

namespace celeryramp::proxy {

/*! @brief Reason why a frame cannot be decoded. */
struct FrameError
{
    std::string reason;
};

/*! @return The frame as a CBOR array that begins with the index of its type in `Frame`. */
[[nodiscard]] std::string encodeFrame(const Frame &frame);

/*! @return The frame, or an error if it cannot be decoded. */
[[nodiscard]] Result<Frame, FrameError> decodeFrame(std::string_view bytes);

} // namespace celeryramp::proxy
