#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standin {

/*! @brief One send of a call, from a caller's journal. */
struct SendRecord
{
    std::string call;
    int send = 0;
    std::string account;
    std::string key;
    std::string kind;
    std::string node;
    bool atMostOnce = false;
    double targetMs = 0.0;
    std::int64_t dueAt = 0; /*!< Microseconds, as all times here. */
    std::int64_t sentAt = 0;
    std::int64_t endAt = 0; /*!< 0 when the journal has no end. */
    std::string outcome;
    std::string reason;
    std::string request;
    int status = 0;
    bool own = false; /*!< The answer names this call. */
    bool replayed = false;
};

/*! @brief One line of a backend server's journal. */
struct RunRecord
{
    std::int64_t at = 0;
    std::string event; /*!< `up`, `start`, `end`, `shed` or `cold`. */
    std::string server;
    std::string zone;
    std::string request;
    std::string call;
    std::string account;
    std::string path;
    bool keySeen = false;
};

/*! @brief A span of time in which something must not happen. */
struct ForbiddenSpan
{
    std::string name; /*!< A zone, a key id or a server. */
    std::int64_t from = 0; /*!< When operators said so. */
    std::int64_t until = 0;
};

/*! @brief A client account's limit. */
struct RateLimit
{
    double rate = 0.0;
    double burst = 0.0;
};

/*! @brief All that happened in one run. */
struct RunHistory
{
    std::vector<SendRecord> sends;
    std::vector<RunRecord> runs;
    std::vector<ForbiddenSpan> zonesOut;
    std::vector<ForbiddenSpan> keysWithdrawn;
    std::vector<ForbiddenSpan> serversLeaving;
    std::vector<ForbiddenSpan> blind; /*!< When some node could not read what is published. */
    std::map<std::string, RateLimit> limits;
    std::map<std::string, std::vector<std::uint64_t>> versions; /*!< In force, by server. */
};

/*! @brief A broken promise. */
struct Violation
{
    std::string promise; /*!< Short name, as in docs/PROMISES.md. */
    std::string text;
};

/*! @brief Time in which a change must be in force everywhere, for zones, keys and leaving. */
inline constexpr std::int64_t kInForceMicros = 3'000'000;
/*! @brief A server counts as newly started for this long. */
inline constexpr std::int64_t kNewServerMicros = 3'000'000;

/*! @return Every violation of the promises that journals can show. */
[[nodiscard]] std::vector<Violation> checkHistory(const RunHistory &history);

/*! @brief Reads one journal file of a caller or backend server into the history. */
void readJournal(const std::string &path, RunHistory &history);

} // namespace standin
