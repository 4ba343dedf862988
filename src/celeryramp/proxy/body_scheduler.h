#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "admission/link_budget.h"
#include "core/time.h"

namespace celeryramp::proxy {

/*!
 * @brief Decides which long body a gate sends next, so that the link of its node is not filled.
 *
 * A link with a queue of long bodies delays everything else on it: replies to nested calls, new
 * configurations, the answers themselves. Few bytes are therefore under way at a time, and the
 * bodies are sent one after the other in the order of their calls, which completes each of them
 * sooner on average than sending all at once. A receiver that does not acknowledge for a while
 * does not hold up the others.
 */
class BodyScheduler
{
public:
    /*! Sending node of the call and its id there. */
    using Key = std::pair<std::string, std::uint64_t>;

    /*! @brief A piece of a body that may be sent now. */
    struct Grant
    {
        Key key;
        std::size_t bytes = 0;
    };

    /*!
     * @brief Sends at the rate of the link instead of by what receivers acknowledge. Callers that
     * read slowly then hold up nobody else, and still little is under way at a time.
     * @param megabits Rate of the link in Mbit/s; 0 if it is unknown.
     */
    void setRate(double megabits) { m_sent.setRate(megabits); }

    /*! @return Time until the rate allows the next piece; nothing if no body waits for it. */
    [[nodiscard]] std::optional<Millis> pause(TimePoint now) const;

    /*! @brief Begins a body. @param isOnLink False for a receiver on the own node. */
    void add(const Key &key, bool isOnLink, TimePoint now);
    /*! @brief Records further bytes of a body that can be sent. */
    void onAvailable(const Key &key, std::size_t bytes);
    /*! @brief Records that the receiver has passed on bytes of a body. */
    void onCredit(const Key &key, std::size_t bytes, TimePoint now);
    /*! @brief Records that all of a body was sent. It counts until it is acknowledged. */
    void finish(const Key &key);
    /*! @brief Ends a body that nobody waits for. What is under way of it no longer counts. */
    void remove(const Key &key);
    /*! @brief Ends all bodies for a node whose link is lost. */
    void removeAll(const std::string &origin);

    /*! @return The piece to send next, which counts as sent; nothing if all have to wait. */
    [[nodiscard]] std::optional<Grant> next(TimePoint now);

    [[nodiscard]] bool isEmpty() const noexcept { return m_bodies.empty(); }

    /*! @brief Forgets finished bodies whose receivers have not acknowledged them for long. */
    void sweep(TimePoint now);

private:
    struct Body
    {
        Key key;
        bool isOnLink = true;
        std::size_t available = 0;
        std::size_t underWay = 0; /*!< Sent and not acknowledged. */
        TimePoint progressAt; /*!< Last credit, or first byte. */
        bool isFinished = false; /*!< All of it was sent. */
    };

    [[nodiscard]] bool isStalled(const Body &body, TimePoint now) const;

    /*! @return True if this body may send a piece as far as its receiver is concerned. */
    [[nodiscard]] bool mayProceed(const Body &body, TimePoint now) const;

    admission::LinkBudget m_sent; /*!< Bytes sent that the link has still to work off. */
    std::list<Body> m_bodies; /*!< In the order of their beginning. */
    std::map<Key, std::list<Body>::iterator> m_byKey;
};

} // namespace celeryramp::proxy
