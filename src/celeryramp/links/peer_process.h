#pragma once

#include <string>

#include "core/address.h"

namespace celeryramp::links {

/*! @brief One process of another node. The processes of a node follow one another at the same
 * address. */
struct PeerProcess
{
    Address node;
    std::string incarnation; /*!< Differs for each process; empty while it is not known. */

    [[nodiscard]] bool isKnown() const noexcept { return !incarnation.empty(); }
    /*! @return Text that differs for each process. */
    [[nodiscard]] std::string text() const { return node.text() + '#' + incarnation; }

    [[nodiscard]] bool operator==(const PeerProcess &other) const noexcept
    {
        return incarnation == other.incarnation && node == other.node;
    }
    [[nodiscard]] bool operator!=(const PeerProcess &other) const noexcept
    {
        return !(*this == other);
    }
};

} // namespace celeryramp::links
