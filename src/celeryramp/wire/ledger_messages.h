#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wire/call_message.h"

namespace celeryramp {

/*! @brief State of one at-most-once request at a ledger home. */
enum class RecordState {
    Reserved, /*!< Handed over or about to be; may have run. */
    Done /*!< The answer is known. */
};

/*! @brief What a ledger home knows of one idempotency key. */
struct LedgerRecord
{
    std::string key; /*!< Account and idempotency key. */
    std::string digest; /*!< Digest of the request. */
    std::string attempt; /*!< The request that holds the reservation. */
    RecordState state = RecordState::Reserved;
    int status = 0; /*!< Status of the kept answer; 0 when none is kept. */
    HeaderList headers;
    Bytes body;
    std::uint32_t ttlMs = 0; /*!< Remaining life when sent. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.key, self.digest, self.attempt, self.state, self.status, self.headers,
                self.body, self.ttlMs);
    }
};

/*! @brief Asks a home to reserve a key for an attempt. */
struct ReserveMessage
{
    std::uint64_t id = 0;
    std::string key;
    std::string digest;
    std::string attempt;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.id, self.key, self.digest, self.attempt);
    }
};

/*! @brief What a home says to a reservation. */
enum class Vote {
    Granted, /*!< Reserved, and the home vouches that it knew of no other. */
    Abstained, /*!< Reserved, but the home may have lost earlier records. */
    Held, /*!< Another attempt holds the key; the record is enclosed. */
    Mismatch /*!< The key belongs to a different request. */
};

/*! @brief A home's vote on a reservation. */
struct VoteMessage
{
    std::uint64_t id = 0;
    std::string home;
    Vote vote = Vote::Abstained;
    std::vector<LedgerRecord> record; /*!< One element for `Held`. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.id, self.home, self.vote, self.record);
    }
};

/*! @brief Ends a reservation: with the answer, or as certainly not run. */
struct CompleteMessage
{
    LedgerRecord record;
    bool release = false; /*!< The attempt was not run and never will be. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.record, self.release);
    }
};

/*! @brief Asks a home for all records it shares with a new incarnation. */
struct RecoverMessage
{
    std::string server;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.server);
    }
};

/*! @brief Records for a recovering home. */
struct RecordsMessage
{
    std::string server; /*!< Sender. */
    bool complete = false; /*!< The sender vouches for all its records. */
    std::vector<LedgerRecord> records;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.server, self.complete, self.records);
    }
};

} // namespace celeryramp
