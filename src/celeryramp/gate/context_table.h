#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "gate/call_context.h"

namespace celeryramp {

/*! @brief Summary of the nested calls that were made within a context. */
struct ContextSummary
{
    bool nestedCallFailed
            = false; /*!< A nested call failed and the mesh has already handled the failure. */
    Micros nestedDuration{
            0}; /*!< Sum of the durations of nested calls, also of overlapping ones. */
};

/*!
 * @brief Maps unguessable tokens to the contexts of calls that run at this node's backend server.
 *
 * A token is valid as long as its call runs. Callers cannot forge a token, because the table is
 * local and tokens are accepted on the loopback listener only. This class is thread-safe.
 */
class ContextTable
{
public:
    /*! @brief Opens a context. @return Its token. */
    [[nodiscard]] std::string open(CallContext context);

    /*! @return The context of a token, or nothing. */
    [[nodiscard]] std::optional<CallContext> find(const std::string &token) const;

    /*! @brief Records that a nested call failed and that the mesh has handled the failure. */
    void recordNestedFailure(const std::string &token);

    /*! @brief Records the start of a nested call, for which the server now waits. */
    void beginNested(const std::string &token);

    /*! @brief Records the end of a nested call and its duration. */
    void endNested(const std::string &token, Micros time);

    /*! @return Number of contexts with at least one nested call in flight. */
    [[nodiscard]] int waiting() const;

    /*! @brief Closes a context and invalidates its token. @return Summary of its nested calls. */
    ContextSummary close(const std::string &token);

    /*! @return Number of open contexts. */
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry
    {
        CallContext context;
        ContextSummary summary;
        int nested = 0; /*!< Nested calls in flight. */
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_contexts;
    int m_waiting = 0;
};

} // namespace celeryramp
