#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/result.h"
#include "proxy/frames.h"

namespace celeryramp::proxy {

/*! @brief Reason why a frame cannot be decoded. */
struct FrameError
{
    std::string reason;
    std::optional<std::uint64_t> answeredCall; /*!< Call that the frame answers, if it is a reply or
                                                  a part of a body and says so. */
};

/*! @return The frame as a CBOR array that begins with the index of its type in `Frame`. */
[[nodiscard]] std::string encodeFrame(const Frame &frame);

/*! @return The frame, or an error if it cannot be decoded. */
[[nodiscard]] Result<Frame, FrameError> decodeFrame(std::string_view bytes);

} // namespace celeryramp::proxy
