#pragma once

#include <cstdint>
#include <string>

namespace celeryramp {

/*! @brief Asks a minter for prepaid tokens. */
struct TokenRequestMessage
{
    std::uint64_t id = 0;
    std::string account;
    std::int64_t microTokens = 0;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.id, self.account, self.microTokens);
    }
};

/*! @brief Tokens debited at the minter before this is sent. */
struct TokenGrantMessage
{
    std::uint64_t id = 0; /*!< Identity of the request. */
    std::string account;
    std::string minter;
    std::int64_t microTokens = 0; /*!< Granted. */
    std::int64_t leftMicroTokens = 0; /*!< Left at the minter. */
    std::uint32_t lifeMs = 0; /*!< Life of the grant, counted from before it was asked for. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.id, self.account, self.minter, self.microTokens, self.leftMicroTokens,
                self.lifeMs);
    }
};

} // namespace celeryramp
