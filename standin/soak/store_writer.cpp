#include "soak/store_writer.h"

#include <algorithm>

namespace standin::soak {

using celeryramp::TimePoint;

namespace {

/*! Ends the span of a promise that is still in force. */
void endPromise(const StoreWrite &write, TimePoint now)
{
    if (write.promises == nullptr) {
        return;
    }
    for (auto &span : *write.promises) {
        if (span.subject == write.subject && span.to == TimePoint::max()) {
            span.to = now;
        }
    }
}

} // namespace

void StoreWriter::write(StoreWrite write, TimePoint now)
{
    m_waiting.erase(std::remove_if(m_waiting.begin(), m_waiting.end(),
                                   [&](const StoreWrite &it) { return it.key == write.key; }),
                    m_waiting.end());
    if (m_isAway) {
        m_waiting.push_back(std::move(write));
    } else {
        perform(std::move(write), now);
    }
}

void StoreWriter::perform(StoreWrite write, TimePoint now)
{
    m_apply(write);
    endPromise(write, now);
    if (write.promises != nullptr && !write.endsPromise) {
        write.promises->push_back({write.subject, now, TimePoint::max()});
    }
    if (m_hasCopy) {
        m_sinceCopy.push_back(std::move(write));
    }
}

void StoreWriter::beginCopy()
{
    m_hasCopy = true;
    m_sinceCopy.clear();
}

void StoreWriter::storeReturns(TimePoint now)
{
    m_isAway = false;
    if (!m_hasCopy) {
        return;
    }
    for (auto it = m_sinceCopy.rbegin(); it != m_sinceCopy.rend(); ++it) {
        if (!it->endsPromise) {
            endPromise(*it, now);
        }
        // Nobody repeats a former state that promises nothing.
        const bool isOutdated = it->promises == nullptr
                && std::any_of(m_waiting.begin(), m_waiting.end(),
                               [&](const StoreWrite &other) { return other.key == it->key; });
        if (!isOutdated) {
            m_waiting.push_front(std::move(*it));
        }
    }
    m_sinceCopy.clear();
}

void StoreWriter::writeNext(TimePoint now)
{
    if (!m_isAway && !m_waiting.empty()) {
        auto write = std::move(m_waiting.front());
        m_waiting.pop_front();
        perform(std::move(write), now);
    }
}

} // namespace standin::soak
