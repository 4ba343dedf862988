#pragma once

namespace celeryramp {

/*! @brief Selects how configurations reach the nodes; baselines serve for comparison. */
enum class DistributionMode {
    Tree, /*!< Two readers per zone, announcements along a tree, repair by heartbeats. */
    Watch, /*!< Baseline: every node watches the platform. */
    Gossip /*!< Baseline: two readers per zone, announcements to random nodes. */
};

} // namespace celeryramp
