#pragma once

/*! @file
 *  Forward declarations of the gate module, which decides whether a call reaches the backend server
 *  beside this node.
 */

namespace celeryramp {

class ConcurrencyRamp;
class ContextTable;
class CrashTracker;
class FairQueue;
class Gate;
class LedgerHome;
class Reservation;
struct QueuedCall;

} // namespace celeryramp
