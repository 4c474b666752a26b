/// Links of simulated routers over which they exchange suspects: all follow the first.
#ifndef SPANPLANK_TESTS_SUSPECT_LINKS_H_HEADER_GUARD
#define SPANPLANK_TESTS_SUSPECT_LINKS_H_HEADER_GUARD

#include <cstdint>
#include <vector>

#include "spanplank/crash_suspects.h"

namespace spanplank
{
struct SuspectLinks
{
	std::vector<uint64_t> sentToRoot;
	std::vector<uint64_t> sentFromRoot;
};

inline SuspectLinks makeSuspectLinks(size_t _routers)
{
	return {std::vector<uint64_t>(_routers), std::vector<uint64_t>(_routers)};
}

/// Exchanges updates once over each link.
inline void exchangeSuspects(std::vector<SuspectTable>& _tables, SuspectLinks& _links, TimeUs _now)
{
	for (size_t ii = 1; ii < _tables.size(); ++ii)
	{
		applySuspectUpdates(_tables[0], suspectUpdatesFor(_tables[ii], _links.sentToRoot[ii], _now), _now);
		applySuspectUpdates(_tables[ii], suspectUpdatesFor(_tables[0], _links.sentFromRoot[ii], _now), _now);
	}
}
} // namespace spanplank

#endif // SPANPLANK_TESTS_SUSPECT_LINKS_H_HEADER_GUARD
