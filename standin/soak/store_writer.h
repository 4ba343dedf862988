#pragma once

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "soak/records.h"

namespace standin::soak {

/*! @brief A write and the promise that its acknowledgement gives. */
struct StoreWrite
{
    std::string key;
    std::optional<std::string> value; /*!< Nothing if the key is removed. */
    std::vector<Span> *promises = nullptr; /*!< Gets a span from each acknowledgement on. */
    std::string subject;
    bool endsPromise = false; /*!< The write takes the promise of `subject` back. */
};

/*!
 * @brief What the operator and the servers write. They wait while the store is away, and write
 * again, in order, what it has lost; newer writes of the same key come instead, and of those that
 * promise nothing only the last is repeated.
 */
class StoreWriter
{
public:
    using Apply = std::function<void(const StoreWrite &)>;

    explicit StoreWriter(Apply apply) : m_apply{std::move(apply)} { }

    void write(StoreWrite write, celeryramp::TimePoint now);

    /*! @brief From now on the store may come back from a copy of its present state. */
    void beginCopy();
    void endCopy() { m_hasCopy = false; }
    void storeLeaves() { m_isAway = true; }
    /*! @brief The store is back, from the copy if there is one. */
    void storeReturns(celeryramp::TimePoint now);
    /*! @brief Writes the next of what was lost or had to wait. */
    void writeNext(celeryramp::TimePoint now);
    /*! @return Writes that were lost or had to wait. */
    [[nodiscard]] std::size_t waiting() const noexcept { return m_waiting.size(); }

private:
    void perform(StoreWrite write, celeryramp::TimePoint now);

    Apply m_apply;
    bool m_isAway = false;
    bool m_hasCopy = false;
    std::vector<StoreWrite> m_sinceCopy;
    std::deque<StoreWrite> m_waiting;
};

} // namespace standin::soak
