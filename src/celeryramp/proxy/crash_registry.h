#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "http/message.h"
#include "proxy/frames.h"

namespace celeryramp::proxy {

/*! Crashes during a request after which it is quarantined. Two may be a coincidence, because every
 *  request that was running on a crashed server is suspected. */
inline constexpr std::size_t kCrashesToQuarantine = 3;
/*! Time after its latest crash at which a request is no longer suspected. */
inline constexpr Millis kCrashRetention{120'000};
/*! Maximum time between the loss of a request and the detection that its server is down. */
inline constexpr Millis kMaxDetectionDelay{1500};

/*! @return Hash of account, method, target and body, which is the same for a repeated request. */
[[nodiscard]] std::uint64_t requestDigest(const std::string &account, const http::Request &request);
[[nodiscard]] std::uint64_t requestDigest(const CallFrame &call);

/*! @brief Detects requests that crash the servers that run them. */
class CrashRegistry
{
public:
    /*! @brief Records a request whose connection ended without an answer. */
    void onLost(std::uint64_t digest, TimePoint now);
    /*! @brief Handles that the server of this node is down. @return One frame for each request lost
     * within `kMaxDetectionDelay`, to be sent to all nodes. */
    [[nodiscard]] std::vector<SuspectFrame> onServerDown(const std::string &serverId,
                                                         TimePoint now);
    /*! @brief Records a node's report that a request was running when its server went down. */
    void onSuspect(const SuspectFrame &suspect, TimePoint now);
    /*! @brief Clears the suspicion after a server has answered the request. */
    void onServed(std::uint64_t digest);
    [[nodiscard]] bool isQuarantined(std::uint64_t digest, TimePoint now) const;
    /*! @return True if no request is suspected, so that digests need not be computed. */
    [[nodiscard]] bool isEmpty() const noexcept { return m_suspects.empty(); }
    /*! @brief Removes expired losses and suspects. */
    void sweep(TimePoint now);

private:
    struct Suspect
    {
        std::set<std::pair<std::string, std::uint64_t>> crashes;
        TimePoint lastAt;
    };

    std::deque<std::pair<std::uint64_t, TimePoint>> m_lostRequests;
    std::map<std::uint64_t, Suspect> m_suspects;
    std::uint64_t m_crashCount = 0;
};

} // namespace celeryramp::proxy
