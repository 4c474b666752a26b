/// Load of all routers at each upstream, aggregated along the tree in which routers follow each other: each
/// router sends its parent the sum of its subtree, and each child the sum of everything outside the child's
/// subtree. Only changes since the last message are sent, over a link that neither loses nor reorders
/// messages.
#ifndef SPANPLANK_LOAD_SHARE_H_HEADER_GUARD
#define SPANPLANK_LOAD_SHARE_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "spanplank/types.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
/// Held tokens travel in this unit, so that small requests do not change the reported load by much.
constexpr uint32_t kTokensPerUnit = 1024;

/// Work at one upstream, in integers so that sums are corrected without rounding errors.
struct LoadCount
{
	int32_t prefillMs = 0; ///< Expected prefill time of prompts without a first token yet.
	int32_t inFlight = 0;
	int32_t tokenUnits = 0; ///< Held tokens in units of `kTokensPerUnit`.

	bool operator==(const LoadCount& _other) const
	{
		return prefillMs == _other.prefillMs && inFlight == _other.inFlight &&
			   tokenUnits == _other.tokenUnits;
	}
};

using LoadTable = std::unordered_map<UpstreamKey, LoadCount>;

/// New load at an upstream.
struct LoadChange
{
	UpstreamKey upstream = 0;
	LoadCount load;
};

/// A neighbour in the tree, or this router itself.
struct NeighbourLoad
{
	LoadTable loads;       ///< Load that the neighbour last reported.
	LoadTable sent;        ///< Load of the others that was last sent to the neighbour.
	TimeUs receivedAt = 0; ///< When its last message arrived; 0 if none has.
	bool counted = false;  ///< `loads` is part of the sum.
};

struct LoadShare
{
	LoadTable sum; ///< Of this router and all neighbours that reported recently.
	NeighbourLoad own;
	std::map<uint32_t, NeighbourLoad> children; ///< By link.
	NeighbourLoad parent;                       ///< Everything outside this router's subtree.
	/// This router follows one that may in turn follow it. It then sends its parent only its own load, and
	/// its children nothing of the parent's. In a ring of routers the sums would otherwise grow with each
	/// exchange.
	bool isolated = false;
	uint64_t rejectedRows = 0; ///< Reported loads out of range, which were ignored.
};

/// Largest plausible load at an upstream or of a client account: in milliseconds, requests and units of
/// tokens.
constexpr int32_t kMaxReportedLoad = 10000000;

/// @returns Tokens of a number of units; 0 for a negative number.
uint32_t tokensOf(int32_t _units);

/// @returns A number of tokens in units of `kTokensPerUnit`, rounded.
int32_t tokenUnitsOf(uint64_t _tokens);

/// Updates this router's own load from its upstreams.
void updateOwnLoad(LoadShare& _share, const UpstreamTable& _table);

/// Replaces this router's own load.
void setOwnLoads(LoadShare& _share, const LoadTable& _loads);

/// Excludes outdated reports of neighbours from the sum.
void expireLoads(LoadShare& _share, TimeUs _now);

/// Removes rows without load from the sum once it holds many more than are in use.
void pruneLoads(LoadShare& _share, size_t _inUse);

/// Applies changes received from a neighbour.
void applyLoads(LoadShare& _share, NeighbourLoad& _neighbour, absl::Span<const LoadChange> _changes,
				TimeUs _now);

/// Removes the load of a neighbour that has disconnected or reconnects over another link.
void removeLoads(LoadShare& _share, NeighbourLoad& _neighbour);

/// @returns The changes to send to a neighbour, which are recorded as sent.
std::vector<LoadChange> loadChangesFor(const LoadShare& _share, NeighbourLoad& _neighbour);

/// Excludes outdated reports from the sum and writes the load of the other routers to the table.
void applyPeerLoads(LoadShare& _share, UpstreamTable& _table, TimeUs _now);

/// Lifetime of a load report: after this time most prompts in it have been read.
constexpr TimeUs kLoadLifetime = 1000 * kMsToUs;
} // namespace spanplank

#endif // SPANPLANK_LOAD_SHARE_H_HEADER_GUARD
