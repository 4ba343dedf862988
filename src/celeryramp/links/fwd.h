#pragma once

/*! @file
 *  Forward declarations of the links module: connections between nodes, one per pair, opened on
 *  first use.
 */

namespace celeryramp::links {

class LinkEvents;
class PeerLinks;

} // namespace celeryramp::links
