#pragma once

/*! @file
 *  Forward declarations of the transport module: HTTP towards callers, backend servers and the
 *  platform, websockets between nodes.
 */

namespace celeryramp {

class BackendClient;
class HttpListener;
class LinkPolicy;
class PeerMesh;
class PeerTransport;
class PlatformClient;
class PlatformSource;

} // namespace celeryramp
