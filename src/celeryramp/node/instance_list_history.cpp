#include "node/instance_list_history.h"

#include <utility>

namespace celeryramp {

ListChange InstanceListHistory::onList(const InstanceList &list)
{
    m_reachable = true;
    const bool wasLower = std::exchange(m_wasLower, false);
    if (!m_last || list.index > m_last->index) {
        m_last = list;
        return ListChange::Newer;
    }
    if (list.index == m_last->index && list.leaving == m_last->leaving) {
        return ListChange::None;
    }
    if (list.index < m_last->index && !wasLower) {
        m_wasLower = true;
        return ListChange::None;
    }
    m_last = list;
    return ListChange::Restored;
}

} // namespace celeryramp
