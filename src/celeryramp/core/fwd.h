#pragma once

/*! @file
 *  Forward declarations of the core module: time, identifiers, hashing, errors, bounded rings.
 */

namespace celeryramp {

template <typename T>
class BoundedRing;
class RandomEngine;

} // namespace celeryramp
