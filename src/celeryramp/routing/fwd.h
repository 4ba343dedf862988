#pragma once

/*! @file
 *  Forward declarations of the routing module, which chooses the gate for a call and limits
 *  retries.
 */

namespace celeryramp {

class LoadTable;
class Picker;
class RetryBudget;
class ZoneRamp;

} // namespace celeryramp
