#pragma once

#include <cstdint>

#include "core/time.h"

namespace standin {

/*! @brief How a simulated server behaves. */
struct BackendModelSettings
{
    int slots = 12; /*!< Requests it runs at a time when warm. */
    celeryramp::Micros work{2000}; /*!< Time of one request when warm. */
    double coldFactor = 8.0; /*!< Work takes this much longer when quite cold. */
    int coldSlots = 2; /*!< Requests it bears at a time when quite cold. */
    celeryramp::Millis warmTime{2000}; /*!< Time under light load until warm. */
};

/*!
 * @brief A server that starts cold and falls over under full load: its work gets faster and it
 * bears more as it warms up; load above what it bears cools it down again and is shed.
 */
class BackendModel
{
public:
    BackendModel(BackendModelSettings settings, celeryramp::TimePoint now);

    /*! @brief The server turns cold without warning. */
    void turnCold(celeryramp::TimePoint now);

    /*! @return Requests it bears at a time now. */
    [[nodiscard]] int bears(celeryramp::TimePoint now) const;

    /*! @return Time that a request takes now. */
    [[nodiscard]] celeryramp::Micros workTime(celeryramp::TimePoint now) const;

    /*! @brief Load above what it bears arrived. */
    void onOverload(celeryramp::TimePoint now);

private:
    [[nodiscard]] double warmth(celeryramp::TimePoint now) const;

    BackendModelSettings m_settings;
    celeryramp::TimePoint m_coldAt;
};

} // namespace standin
