#pragma once

/*! @file
 *  Forward declarations of the distribution module: how a configuration and small facts reach
 *  every node.
 */

namespace celeryramp {

class Distributor;
class Outbox;
class RumourMill;
class WakeGuard;

} // namespace celeryramp
