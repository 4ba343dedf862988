#pragma once

#include <utility>
#include <vector>

#include "directory/client_account.h"

namespace celeryramp::directory {

/*!
 * @brief The client accounts of a configuration, and whether requests need a key of one of them.
 *
 * No list and an empty list are different states, and only `withoutKeys` makes the former. A list
 * that has become empty, or that cannot be read, requires keys as any other.
 */
class AccountList
{
public:
    /*! @brief No account. Keys are required, and none is valid. */
    AccountList() = default;
    /*! @param isComplete False if the configuration may have accounts or keys beyond these, which
     * could not be read. */
    AccountList(std::vector<ClientAccount> accounts, bool isComplete = true)
        : m_entries{std::move(accounts)}, m_isComplete{isComplete}
    { }

    /*! @return The state of a configuration that does not list accounts: no request needs a key. */
    [[nodiscard]] static AccountList withoutKeys()
    {
        AccountList list;
        list.m_needsKeys = false;
        return list;
    }

    [[nodiscard]] bool needsKeys() const noexcept { return m_needsKeys; }
    /*! @return False if a key that no entry has may be valid nevertheless. */
    [[nodiscard]] bool isComplete() const noexcept { return m_isComplete; }
    [[nodiscard]] const std::vector<ClientAccount> &entries() const noexcept { return m_entries; }

private:
    std::vector<ClientAccount> m_entries; /*!< Empty unless keys are needed. */
    bool m_needsKeys = true;
    bool m_isComplete = true;
};

} // namespace celeryramp::directory
