#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "gate/call_context.h"

namespace celeryramp {

/*! @brief What happened within a context. */
struct ContextSummary
{
    bool failedBelow
            = false; /*!< A call made within it failed, and the mesh has dealt with that. */
    Micros nested{0}; /*!< Time that calls made within it took; overlapping ones add up. */
};

/*!
 * @brief Contexts of the calls under way at this node's backend server, by unguessable token.
 *
 * A token lives as long as its call. Callers cannot forge one: the table is local and tokens are
 * taken from the loopback listener only. Safe to use from several threads.
 */
class ContextTable
{
public:
    /*! @brief Opens a context. @return Its token. */
    [[nodiscard]] std::string open(CallContext context);

    /*! @return The context of a token, or nothing. */
    [[nodiscard]] std::optional<CallContext> find(const std::string &token) const;

    /*! @brief A call made within the context failed, and the mesh has dealt with that. */
    void noteFailure(const std::string &token);

    /*! @brief A call made within the context begins: the server now waits for it. */
    void beginNested(const std::string &token);

    /*! @brief A call made within the context ended after this long. */
    void endNested(const std::string &token, Micros time);

    /*! @return Number of contexts whose server waits for a call of its own. */
    [[nodiscard]] int waiting() const;

    /*! @brief Ends a context; its token is worthless from now on. @return What happened within. */
    ContextSummary close(const std::string &token);

    /*! @return Number of open contexts. */
    [[nodiscard]] std::size_t size() const;

private:
    struct Entry
    {
        CallContext context;
        ContextSummary summary;
        int nested = 0; /*!< Calls within it that are under way. */
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_contexts;
    int m_waiting = 0;
};

} // namespace celeryramp
