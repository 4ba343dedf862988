#pragma once

#include <optional>

#include "transport/platform_source.h"

namespace celeryramp {

/*! @brief How a list of instances follows the one before it. */
enum class ListChange {
    None, /*!< The same list, or one that may come from a replica which lags behind. */
    Newer, /*!< The next list of the same history, or the first. */
    Restored /*!< The platform went back to an older list and gives out indices again. */
};

/*!
 * @brief Orders the lists that one reader gets from the platform.
 *
 * An index orders lists only as long as the platform keeps its state. A lower index that is read
 * twice, or other content under the same index, starts a new history.
 */
class InstanceListHistory
{
public:
    /*! @brief Records a list that was read. */
    [[nodiscard]] ListChange onList(const InstanceList &list);

    /*! @brief Records a failed read, after which the same index may name another list. */
    void onFailure() noexcept { m_reachable = false; }

    /*! @return Index to wait past; 0 to read at once. */
    [[nodiscard]] std::uint64_t knownIndex() const noexcept
    {
        return m_reachable && m_last ? m_last->index : 0;
    }

private:
    std::optional<InstanceList> m_last;
    bool m_reachable = false; /*!< The last read succeeded. */
    bool m_wasLower = false; /*!< The last list had a lower index than the one in use. */
};

} // namespace celeryramp
