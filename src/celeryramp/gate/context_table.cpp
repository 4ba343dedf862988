#include "gate/context_table.h"

#include "core/hash.h"

namespace celeryramp {

namespace internal {

constexpr std::size_t kTokenBytes = 16;

} // namespace internal

std::string ContextTable::open(CallContext context)
{
    auto token = randomHex(internal::kTokenBytes);
    const std::lock_guard lock{m_mutex};
    m_contexts.emplace(token, Entry{std::move(context), {}});
    return token;
}

std::optional<CallContext> ContextTable::find(const std::string &token) const
{
    const std::lock_guard lock{m_mutex};
    const auto it = m_contexts.find(token);
    return it == m_contexts.end() ? std::nullopt : std::optional{it->second.context};
}

void ContextTable::recordNestedFailure(const std::string &token)
{
    const std::lock_guard lock{m_mutex};
    if (const auto it = m_contexts.find(token); it != m_contexts.end()) {
        it->second.summary.nestedCallFailed = true;
    }
}

void ContextTable::beginNested(const std::string &token)
{
    const std::lock_guard lock{m_mutex};
    if (const auto it = m_contexts.find(token); it != m_contexts.end()) {
        m_waiting += it->second.nested++ == 0 ? 1 : 0;
    }
}

void ContextTable::endNested(const std::string &token, Micros time)
{
    const std::lock_guard lock{m_mutex};
    if (const auto it = m_contexts.find(token); it != m_contexts.end() && it->second.nested > 0) {
        it->second.summary.nestedDuration += time;
        m_waiting -= --it->second.nested == 0 ? 1 : 0;
    }
}

int ContextTable::waiting() const
{
    const std::lock_guard lock{m_mutex};
    return m_waiting;
}

ContextSummary ContextTable::close(const std::string &token)
{
    const std::lock_guard lock{m_mutex};
    const auto it = m_contexts.find(token);
    if (it == m_contexts.end()) {
        return {};
    }
    const auto summary = it->second.summary;
    m_waiting -= it->second.nested > 0 ? 1 : 0;
    m_contexts.erase(it);
    return summary;
}

std::size_t ContextTable::size() const
{
    const std::lock_guard lock{m_mutex};
    return m_contexts.size();
}

} // namespace celeryramp
