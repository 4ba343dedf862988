#pragma once

/*! @file
 *  Forward declarations of the links module: connections between nodes, one per pair, opened on
 *  first use.
 */

namespace celeryramp::links {

class ConnectionEvents;
class LinkEndpoints;
class LinkEvents;
class PeerLinks;
class ProcessOrder;
struct Connection;
struct PeerProcess;

} // namespace celeryramp::links
