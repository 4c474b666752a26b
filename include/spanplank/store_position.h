/// A place in the store's history as one number: the era first, then the revision. A store that comes back
/// from an older copy begins an era, in which revisions that it had given out are given out again. As all
/// that is read from the store carries positions, whatever compares two of them takes the later era for the
/// newer one.
#ifndef SPANPLANK_STORE_POSITION_H_HEADER_GUARD
#define SPANPLANK_STORE_POSITION_H_HEADER_GUARD

#include <cstdint>

namespace spanplank
{
/// Revisions of an era. A power of ten: era and revision can be read off a position in logs.
constexpr uint64_t kRevisionsOfEra = 1000000000000;
constexpr uint64_t kMostEra = 1000000; ///< A higher one is not believed.

/// @param[in] _revision 0: absent, whatever the era.
constexpr uint64_t positionOf(uint64_t _era, uint64_t _revision)
{
	return _revision == 0 ? 0 : _era * kRevisionsOfEra + _revision;
}

constexpr uint64_t eraOf(uint64_t _position)
{
	return _position / kRevisionsOfEra;
}

constexpr uint64_t revisionOf(uint64_t _position)
{
	return _position % kRevisionsOfEra;
}
} // namespace spanplank

#endif // SPANPLANK_STORE_POSITION_H_HEADER_GUARD
