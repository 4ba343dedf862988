#pragma once

#include <boost/outcome/result.hpp>

namespace celeryramp {

/*!
 * @brief Value or typed error of one layer.
 * Reading the wrong side ends the process, so each caller tests first.
 */
template <typename Value, typename Error>
using Result = boost::outcome_v2::result<Value, Error, boost::outcome_v2::policy::terminate>;

} // namespace celeryramp
