#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/bytes.h"

namespace celeryramp {

/*! @brief First frame of each side of a connection. */
struct HelloMessage
{
    std::string server; /*!< Name of the backend server whose slot the node holds. */
    std::string zone;
    std::uint64_t incarnation = 0;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.server, self.zone, self.incarnation);
    }
};

/*! @brief Sign of life with digests that show who is behind. */
struct HeartbeatMessage
{
    std::string server;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0; /*!< Configuration version in force; 0 before the first. */
    std::string digest; /*!< Start of the configuration digest. */
    std::uint64_t rumours = 0; /*!< Digest over the rumour store. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.server, self.incarnation, self.version, self.digest, self.rumours);
    }
};

/*! @brief Says that a configuration is to be had from the sender. */
struct AnnounceMessage
{
    std::uint64_t version = 0;
    std::string digest;
    std::string root; /*!< Server at the root of the tree this travels on; empty off the tree. */
    std::uint64_t sequence = 0; /*!< Counts the announcements of one root. */
    std::uint32_t confirmedAgoMs = 0; /*!< Age of the last confirmation by the platform. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.version, self.digest, self.root, self.sequence, self.confirmedAgoMs);
    }
};

/*! @brief Asks for the configuration in force at the receiver. */
struct PullMessage
{
    std::uint64_t haveVersion = 0;
    std::string haveDigest;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.haveVersion, self.haveDigest);
    }
};

/*!
 * @brief A configuration, whole or as a delta from what the asker has. Without bytes it says that
 * the asker had the same; the announcement that precedes it carries the digest.
 */
struct DocumentMessage
{
    std::uint64_t version = 0; /*!< 0 when the sender has none. */
    bool delta = false;
    std::uint32_t confirmedAgoMs = 0; /*!< Age of the last confirmation by the platform. */
    Bytes bytes;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.version, self.delta, self.confirmedAgoMs, self.bytes);
    }
};

/*! @brief Kinds of small facts that every node learns. */
enum class RumourKind {
    Suspicion, /*!< An observer misses a member. Subject `member observer`. */
    Alive, /*!< A member refutes suspicions below its incarnation. */
    Leaving, /*!< A member announces that it takes no new work; sequence is its incarnation. */
    ListedLeaving, /*!< The platform lists the member as leaving; sequence is the number of the
                        list's history and its index. */
    ListedLive, /*!< The platform lists the member as live again; sequence as above. */
    Crash /*!< A backend server died with a request in flight. Subject `digest server`. */
};

/*! @brief One small fact; the highest sequence per kind and subject wins. */
struct Rumour
{
    RumourKind kind = RumourKind::Alive;
    std::string subject;
    std::uint64_t sequence = 0;
    std::uint32_t ttlMs = 0; /*!< Remaining life when sent. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.kind, self.subject, self.sequence, self.ttlMs);
    }
};

/*! @brief Rumours on their way down a tree, or the whole store to repair a difference. */
struct RumourMessage
{
    std::vector<Rumour> rumours;
    std::string root; /*!< Root of the tree, or empty for a repair between two nodes. */
    bool reply = false; /*!< Answers a repair; is not answered itself. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.rumours, self.root, self.reply);
    }
};

} // namespace celeryramp
