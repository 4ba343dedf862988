#pragma once

/*! @file
 *  Forward declarations of the distribution module, which spreads configurations and rumours to
 *  all nodes.
 */

namespace celeryramp {

class Distributor;
class Outbox;
class RumourDistributor;
class PauseGuard;

} // namespace celeryramp
