#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "proxy/frames.h"

namespace celeryramp::proxy {

/*! @brief Progress of a long request body on its way to a gate. */
class UploadWindow
{
public:
    /*! @return The next part if the window allows one; it counts as sent by `onSent`. */
    [[nodiscard]] std::optional<UploadFrame> next(std::uint64_t id, std::string_view body) const
    {
        if (m_sent >= body.size() || m_sent - m_credited >= kUploadWindowBytes) {
            return std::nullopt;
        }
        return UploadFrame{id, m_sent, std::string{body.substr(m_sent, kUploadPartBytes)}};
    }

    void onSent(std::size_t bytes) noexcept { m_sent += bytes; }

    /*! @brief Records bytes that the gate has taken; more than were sent count as all. */
    void onCredit(std::uint64_t bytes) noexcept
    {
        m_credited += std::min(bytes, m_sent - m_credited);
    }

private:
    std::uint64_t m_sent = 0;
    std::uint64_t m_credited = 0;
};

} // namespace celeryramp::proxy
