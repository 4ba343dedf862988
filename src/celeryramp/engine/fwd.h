#pragma once

/*! @file
 *  Forward declarations of the engine module, which owns all sockets of a node and carries requests
 *  between callers, gates and peers.
 */

namespace celeryramp::engine {

class BackendGate;
class RequestDispatcher;
class Engine;
struct EngineSettings;
struct Mechanisms;
class PeerCoordinator;

} // namespace celeryramp::engine
