#pragma once

/*! @file
 *  Forward declarations of the membership module: who is there, as a hint that safety never
 *  depends on.
 */

namespace celeryramp {

class FailureDetector;
class MembershipView;
class RumourStore;
class Topology;

} // namespace celeryramp
