#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/bytes.h"

namespace celeryramp {

/*! @brief First frame of each side of a connection. */
struct HelloMessage {
    std::string server; /*!< Name of the backend server whose slot the node holds. */
    std::string zone;
    std::uint64_t incarnation = 0;

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(server, zone, incarnation);
    }
};

/*! @brief Sign of life with digests that show who is behind. */
struct HeartbeatMessage {
    std::string server;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0; /*!< Configuration version in force; 0 before the first. */
    std::string digest; /*!< Start of the configuration digest. */
    std::uint64_t rumours = 0; /*!< Digest over the rumour store. */

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(server, incarnation, version, digest, rumours);
    }
};

/*! @brief Says that a configuration is to be had from the sender. */
struct AnnounceMessage {
    std::uint64_t version = 0;
    std::string digest;
    std::string root; /*!< Server at the root of the tree this travels on; empty off the tree. */
    std::uint64_t sequence = 0; /*!< Counts the announcements of one root. */
    std::uint32_t confirmedAgoMs = 0; /*!< Age of the last confirmation by the platform. */

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(version, digest, root, sequence, confirmedAgoMs);
    }
};

/*! @brief Asks for the configuration in force at the receiver. */
struct PullMessage {
    std::uint64_t haveVersion = 0;
    std::string haveDigest;

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(haveVersion, haveDigest);
    }
};

/*! @brief A configuration, whole or as a delta from what the asker has. */
struct DocumentMessage {
    std::uint64_t version = 0; /*!< 0 when the sender has none. */
    bool delta = false;
    Bytes bytes;

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(version, delta, bytes);
    }
};

/*! @brief Kinds of small facts that every node learns. */
enum class RumourKind {
    Suspicion, /*!< An observer misses a member. Subject `member observer`. */
    Alive, /*!< A member refutes suspicions below its incarnation. */
    Leaving, /*!< A member announces that it takes no new work; sequence is its incarnation. */
    ListedLeaving, /*!< The platform lists the member as leaving; sequence is the list's index. */
    ListedLive, /*!< The platform lists the member as live again; sequence is the list's index. */
    Crash /*!< A backend server died with a request in flight. Subject `digest server`. */
};

/*! @brief One small fact; the highest sequence per kind and subject wins. */
struct Rumour {
    RumourKind kind = RumourKind::Alive;
    std::string subject;
    std::uint64_t sequence = 0;
    std::uint32_t ttlMs = 0; /*!< Remaining life when sent. */

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(kind, subject, sequence, ttlMs);
    }
};

/*! @brief Rumours on their way down a tree, or the whole store to repair a difference. */
struct RumourMessage {
    std::vector<Rumour> rumours;
    std::string root; /*!< Root of the tree, or empty for a repair between two nodes. */
    bool reply = false; /*!< Answers a repair; is not answered itself. */

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(rumours, root, reply);
    }
};

} // namespace celeryramp
