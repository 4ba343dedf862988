#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace celeryramp::admission {

/*! @brief A request that the backend server runs now. */
struct RunningRequest
{
    int rank = 0; /*!< Priority; 0 is the most urgent. */
    double repeatShare = 0.0; /*!< Probability that it had reached a server before. */
};

/*!
 * @brief Requests that the backend server beside the node runs, by id.
 *
 * A call of the server names the request on whose behalf it is sent. If the server runs that
 * request, the call is nested: it inherits the rank, and its failure wastes the slot and the time
 * that the request has had. Callers cannot gain by naming a request, since they do not know the
 * ids that others chose.
 */
class RunningRequests
{
public:
    void add(const std::string &requestId, const RunningRequest &request);
    void remove(const std::string &requestId);

    /*! @brief Records a call of a running request. Calls at the same time count once.
     * @param begunAt When the call was sent. */
    void onCallEnded(const std::string &requestId, TimePoint begunAt, TimePoint now);
    /*! @return Time in which a running request has waited for its calls. */
    [[nodiscard]] Micros timeOnCalls(const std::string &requestId) const;

    /*! @return The request with this id; nothing if the server does not run it. */
    [[nodiscard]] std::optional<RunningRequest> find(const std::string &requestId) const;
    /*! @return What holds for a running request that is not known, as ids need not name it: the
     * median rank and the share of repeats. Nothing if the server runs none. */
    [[nodiscard]] std::optional<RunningRequest> typical() const;
    [[nodiscard]] std::size_t size() const noexcept { return m_requests.size(); }

private:
    struct Entry
    {
        RunningRequest request;
        TimePoint callsUntil; /*!< End of the last call. */
        Micros onCalls{0};
    };

    std::map<std::string, Entry> m_requests;
};

} // namespace celeryramp::admission
