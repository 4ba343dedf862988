#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "wire/bytes.h"
#include "wire/outcome.h"

namespace celeryramp {

/*! @brief HTTP header lines in order. */
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/*! @brief A caller's request on its way from the entry node to a gate. */
struct CallMessage
{
    std::uint64_t id = 0; /*!< Unique per sending node and attempt. */
    std::string request; /*!< Identity of the request, the same over all attempts. */
    std::string chain; /*!< Identity of the outside call that caused this one. */
    std::string service;
    std::string workClass;
    std::string account; /*!< Empty on open routes. */
    std::string keyId; /*!< Public part of the key; empty for open routes. */
    std::string method;
    std::string target; /*!< Path with query. */
    HeaderList headers;
    Bytes body;
    std::string digest; /*!< Digest of account, method, target and body. */
    std::uint32_t remainingMs = 0; /*!< Time left until the deadline when sent. */
    std::uint32_t latencyMs = 0; /*!< Latency target of the class. */
    std::uint32_t depth = 0; /*!< 0 for an outside call. */
    bool repeatSafe = false; /*!< The class is idempotent. */
    bool retry = false; /*!< Not the first attempt. */
    bool mayQueue = false; /*!< A busy gate keeps it; otherwise it refuses at once. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.id, self.request, self.chain, self.service, self.workClass, self.account,
                self.keyId, self.method, self.target, self.headers, self.body, self.digest,
                self.remainingMs, self.latencyMs, self.depth, self.repeatSafe, self.retry,
                self.mayQueue);
    }
};

/*! @brief Pressure on a gate, carried by each of its answers. */
struct GateLoad
{
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1; /*!< Concurrency the gate presently allows. */

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.running, self.queued, self.limit);
    }
};

/*! @brief A gate's answer to a call. */
struct AnswerMessage
{
    std::uint64_t id = 0; /*!< Identity of the attempt this answers. */
    std::string request; /*!< Identity of the request, checked against the waiting one. */
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    int status = 0;
    HeaderList headers;
    Bytes body;
    std::uint64_t bodyHash = 0; /*!< Hash of the body; differs when an answer was cut or crossed. */
    GateLoad load;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.id, self.request, self.outcome, self.reason, self.status, self.headers,
                self.body, self.bodyHash, self.load);
    }
};

/*! @brief Withdraws a call whose caller no longer waits. */
struct CancelMessage
{
    std::uint64_t id = 0;

    template <typename Self, typename Archive>
    static void visit(Self &self, Archive &archive)
    {
        archive(self.id);
    }
};

} // namespace celeryramp
