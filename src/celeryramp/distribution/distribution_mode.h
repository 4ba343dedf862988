#pragma once

namespace celeryramp {

/*! @brief How configurations reach nodes. */
enum class DistributionMode {
    Tree, /*!< Two readers a zone, announcements down a tree, heartbeats repair. */
    Watch, /*!< Baseline: every node watches the platform. */
    Gossip /*!< Baseline: two readers a zone, announcements to random members. */
};

} // namespace celeryramp
