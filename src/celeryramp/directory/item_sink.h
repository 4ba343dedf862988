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
     * @param position Of the platform when it produced the first page.
     * @param requestedAt When the first page was requested.
     * @return False if a state of a later era is held, so that another list is needed.
     */
    [[nodiscard]] virtual bool onList(const std::vector<ItemChange> &items,
                                      const SourcePosition &position, TimePoint requestedAt)
            = 0;
    /*!
     * @brief Receives the changes since `heldPosition()`.
     * @param position Up to which the changes are complete, in the era of that position.
     * @param requestedAt When the changes were requested.
     * @return False if a state of another era is held, so that the changes were not used.
     */
    [[nodiscard]] virtual bool onChanges(const std::vector<ItemChange> &changes,
                                         const SourcePosition &position, TimePoint requestedAt)
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
    /*! @return Position after which to read changes; that of no state if a complete list is needed.
     */
    [[nodiscard]] virtual SourcePosition heldPosition() const = 0;
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
