#pragma once

/*! @file
 *  Forward declarations of the membership module, which estimates which members are alive. The
 *  estimate is only a hint: no safety guarantee depends on it.
 */

namespace celeryramp {

class FailureDetector;
class ListedMembers;
class MembershipView;
class RumourStore;
class Topology;

} // namespace celeryramp
