#pragma once

/*! @file
 *  Forward declarations of the routing module: which gate gets a call, and whether to try another.
 */

namespace celeryramp {

class LoadTable;
class Picker;
class RetryBudget;
class ZoneRamp;

} // namespace celeryramp
