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
struct CallMessage {
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

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(id, request, chain, service, workClass, account, keyId, method, target, headers,
                body, digest, remainingMs, latencyMs, depth, repeatSafe, retry);
    }
};

/*! @brief Pressure on a gate, carried by each of its answers. */
struct GateLoad {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1; /*!< Concurrency the gate presently allows. */

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(running, queued, limit);
    }
};

/*! @brief A gate's answer to a call. */
struct AnswerMessage {
    std::uint64_t id = 0; /*!< Identity of the attempt this answers. */
    std::string request; /*!< Identity of the request, checked against the waiting one. */
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::None;
    int status = 0;
    HeaderList headers;
    Bytes body;
    std::uint64_t bodyHash = 0; /*!< Hash of the body; differs when an answer was cut or crossed. */
    GateLoad load;

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(id, request, outcome, reason, status, headers, body, bodyHash, load);
    }
};

/*! @brief Withdraws a call whose caller no longer waits. */
struct CancelMessage {
    std::uint64_t id = 0;

    template <typename Archive>
    void visit(Archive &archive)
    {
        archive(id);
    }
};

} // namespace celeryramp
