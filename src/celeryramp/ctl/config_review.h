#pragma once

#include <string>
#include <vector>

#include "config/snapshot.h"

namespace celeryramp {

/*! @brief What an accepted configuration holds that is hardly meant. */
enum class ReviewKind {
    NeverMatches, /*!< The entry has no effect on any call. */
    Contradiction /*!< Limits that cannot hold together. */
};

/*! @brief A finding of `reviewConfig`. */
struct ReviewNote
{
    ReviewKind kind = ReviewKind::NeverMatches;
    std::string part;
    std::string place; /*!< JSON pointer inside the part. */
    std::string text;
};

/*! @return Notes on a valid configuration, by part and place. */
[[nodiscard]] std::vector<ReviewNote> reviewConfig(const Snapshot &snapshot);

/*! @brief How an entry differs between two configurations. */
enum class ChangeKind { Removed, Added, Changed };

/*! @brief A difference that `compareConfigs` found. */
struct ConfigChange
{
    ChangeKind kind = ChangeKind::Changed;
    std::string entity; /*!< Kind and name, such as `account acme`. */
    std::string detail; /*!< Members of a changed entry as `name: old -> new`. */
};

/*! @return Differences from one configuration to another: what is removed, added and changed. */
[[nodiscard]] std::vector<ConfigChange> compareConfigs(const ConfigModel &from,
                                                       const ConfigModel &to);

} // namespace celeryramp
