#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "admission/body_budget.h"
#include "core/time.h"
#include "proxy/frames.h"

namespace celeryramp::engine {

/*! @brief Calls of peers whose bodies arrive in parts. A call is complete with its last part; one
 * whose body breaks off is never passed on. */
class IncomingUploads
{
public:
    explicit IncomingUploads(admission::BodyBudget &budget) : m_budget{budget} { }

    /*! @brief Begins a call with `uploadBytes`. @return False if there is no room for its body. */
    [[nodiscard]] bool begin(const std::string &origin, proxy::CallFrame call, TimePoint now);

    /*! @brief Result of a part: the complete call, or whether the upload is broken. */
    struct Progress
    {
        std::optional<proxy::CallFrame> call;
        bool isBroken = false; /*!< A part is missing; the call was dropped. */
    };
    /*! @return Nothing for a call that is not known, such as one that was cancelled. */
    [[nodiscard]] std::optional<Progress> add(const std::string &origin,
                                              const proxy::UploadFrame &part, TimePoint now);

    void cancel(const std::string &origin, std::uint64_t id);
    void cancelAll(const std::string &origin);
    /*! @brief Drops calls whose deadline has passed. */
    void sweep(TimePoint now);
    [[nodiscard]] std::size_t size() const noexcept { return m_uploads.size(); }

private:
    struct Upload
    {
        proxy::CallFrame call;
        std::string bytes;
        admission::BodyBudget::Lease lease;
        TimePoint arrivedAt;
    };
    using Key = std::pair<std::string, std::uint64_t>;

    admission::BodyBudget &m_budget;
    std::map<Key, Upload> m_uploads;
};

} // namespace celeryramp::engine
