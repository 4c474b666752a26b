/// Requests that wait for an upstream whose rate is divided among routers: the more urgent ones go first.
#ifndef SPANPLANK_PACED_WAITS_H_HEADER_GUARD
#define SPANPLANK_PACED_WAITS_H_HEADER_GUARD

#include <cstdint>
#include <set>

namespace spanplank
{
/// Requests of one service that wait, by urgency; 0 is the most urgent.
struct PacedWaits
{
	std::multiset<uint32_t> urgencies;
};

inline void beginWait(PacedWaits& _waits, uint32_t _urgency)
{
	_waits.urgencies.insert(_urgency);
}

inline void endWait(PacedWaits& _waits, uint32_t _urgency)
{
	const auto found = _waits.urgencies.find(_urgency);
	if (found != _waits.urgencies.end())
	{
		_waits.urgencies.erase(found);
	}
}

/// @returns Whether a request may be sent to a paced upstream: none that is more urgent waits for one.
inline bool mayGoFirst(const PacedWaits& _waits, uint32_t _urgency)
{
	return _waits.urgencies.empty() || *_waits.urgencies.begin() >= _urgency;
}
} // namespace spanplank

#endif // SPANPLANK_PACED_WAITS_H_HEADER_GUARD
