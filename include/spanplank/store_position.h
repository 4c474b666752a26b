/// A position in the store's history: era and revision in one number. A store that is restored from an older
/// backup begins a new era, in which it assigns revisions again that it had assigned before. As everything
/// that is read from the store carries positions instead of revisions, a comparison takes the later era for
/// the newer.
#ifndef SPANPLANK_STORE_POSITION_H_HEADER_GUARD
#define SPANPLANK_STORE_POSITION_H_HEADER_GUARD

#include <cstdint>

namespace spanplank
{
/// Maximum number of revisions of an era. A power of ten, so that era and revision are readable in logs.
constexpr uint64_t kRevisionsPerEra = 1000000000000;
constexpr uint64_t kMaxEra = 1000000; ///< Higher eras are rejected.

/// @returns The position of a revision; 0 (the item does not exist) for revision 0 of any era.
constexpr uint64_t positionOf(uint64_t _era, uint64_t _revision)
{
	return _revision == 0 ? 0 : _era * kRevisionsPerEra + _revision;
}

constexpr uint64_t eraOf(uint64_t _position)
{
	return _position / kRevisionsPerEra;
}

constexpr uint64_t revisionOf(uint64_t _position)
{
	return _position % kRevisionsPerEra;
}
} // namespace spanplank

#endif // SPANPLANK_STORE_POSITION_H_HEADER_GUARD
