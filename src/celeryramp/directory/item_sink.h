#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "directory/replica.h"

namespace celeryramp::directory {

/*! @brief Receives the items that an `ItemSource` reads from the platform. */
class ItemSink
{
public:
    ItemSink() = default;
    ItemSink(const ItemSink &) = delete;
    ItemSink &operator=(const ItemSink &) = delete;
    virtual ~ItemSink() = default;

    /*!
     * @brief Receives a complete list of items.
     * @param revision Of the platform when it produced the first page.
     * @param requestedAt When the first page was requested.
     */
    virtual void onList(const std::vector<ItemChange> &items, std::int64_t revision,
                        TimePoint requestedAt)
            = 0;
    /*!
     * @brief Receives the changes since `heldRevision()`.
     * @param revision Up to which the changes are complete.
     * @param requestedAt When the changes were requested.
     */
    virtual void onChanges(const std::vector<ItemChange> &changes, std::int64_t revision,
                           TimePoint requestedAt)
            = 0;
    /*! @brief Reports that the platform sent no usable response to a read that was requested then.
     */
    virtual void onSourceFailed(const std::string &reason, TimePoint requestedAt) = 0;
    /*! @brief Reports the era that a response of the platform names, before its content. It rises
     * when the platform comes back from a copy, and its revisions are then given out again. */
    virtual void onSourceEra(std::int64_t era) = 0;
    /*! @brief Reports a response that was no valid HTTP, before `onSourceFailed`.
     *  @param reason Short and one of few, for logs and metrics. */
    virtual void onResponseRejected(std::string_view reason) = 0;
    /*! @return Revision after which to read changes; 0 if a complete list is needed. */
    [[nodiscard]] virtual std::int64_t heldRevision() const = 0;
    /*!
     * @return Pause after a response with changes, so that closely following changes are read in
     * one batch. Empty while other nodes read for this node: reading then stops until
     * `ItemSource::resume` is called.
     */
    [[nodiscard]] virtual std::optional<Millis> readPause() const = 0;
    /*! @return Number of other nodes of the zone whose reads have failed lately. */
    [[nodiscard]] virtual std::size_t failingPeers() const = 0;
};

/*! @brief Reads items from the platform and passes them to an `ItemSink`. */
class ItemSource
{
public:
    ItemSource() = default;
    ItemSource(const ItemSource &) = delete;
    ItemSource &operator=(const ItemSource &) = delete;
    virtual ~ItemSource() = default;

    /*! @brief Starts reading. @param sink Receives the items. */
    virtual void start(ItemSink &sink) = 0;
    /*! @brief Continues reading after `ItemSink::readPause` returned no value. */
    virtual void resume() = 0;
    /*! @brief Stops reading for good. */
    virtual void stop() = 0;
};

} // namespace celeryramp::directory
