/// Selects an upstream by the expected time to first token, computed from delayed load reports and from what
/// the router itself has sent since.
#ifndef SPANPLANK_ROUTING_H_HEADER_GUARD
#define SPANPLANK_ROUTING_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// State of an upstream as seen by the router when it selects one.
struct UpstreamLoad
{
	UpstreamId id;
	uint32_t running = 0;         ///< From the latest report.
	uint32_t queued = 0;          ///< From the latest report.
	uint32_t slots = 1;           ///< Maximum number of requests in a batch.
	uint64_t prefillBacklog = 0;  ///< Prompt tokens in its queue, from the latest report.
	uint32_t sentSinceReport = 0; ///< Requests that this router has sent since that report.
	uint64_t sentTokens = 0;      ///< Prompt tokens of those requests.
	uint32_t prefixTokens = 0;    ///< Prompt tokens that are likely in its prefix cache.
	double reportAge = 0.0;       ///< Age of that report, in seconds.
	uint32_t routers = 1;         ///< Number of routers that send to it, including this one.
	bool sameHall = true;
	double failureRate = 0.0; ///< Decayed share of failed attempts, 0 to 1.
};

/// Cost model of an engine. Times and penalties are in seconds.
struct EngineCosts
{
	double prefillPerToken = 0.0002;
	double decodePerToken = 0.02;
	double otherHallPenalty = 0.001;
	double meanAnswerTokens = 128;
	/// Cost of a failed attempt for its caller. Avoids upstreams that fail fast, which otherwise look idle.
	double failurePenalty = 2.0;
};

/// @returns Expected time to first token of a prompt on an upstream, in seconds.
double expectedFirstTokenSeconds(const UpstreamLoad& _load, uint32_t _promptTokens,
								 const EngineCosts& _costs);

/// @returns Index of the selected upstream in the span, or `kInvalidIdx` if the span is empty.
/// @remarks Compares all upstreams if there are at most `kMaxFullScan`, else two random ones and the one with
/// the longest cached prefix. Doesn't allocate.
uint32_t pickUpstream(absl::Span<const UpstreamLoad> _loads, uint32_t _promptTokens,
					  const EngineCosts& _costs, Random& _random);

constexpr uint32_t kMaxFullScan = 32;

/// Round robin, as a baseline for comparison.
/// @returns As `pickUpstream`.
uint32_t pickRoundRobin(absl::Span<const UpstreamLoad> _loads, uint64_t& _cursor);

/// Records which upstreams have recently read which prompt prefixes, in blocks of `kPrefixBlockBytes`.
struct PrefixTable
{
	struct Entry
	{
		UpstreamId upstream;
		TimeUs at = 0;
	};
	static constexpr size_t kWays = 4;

	struct Slot
	{
		Entry entries[kWays];
	};
	std::unordered_map<uint64_t, Slot> blocks;
	size_t maxBlocks = 65536;
	TimeUs lifetime = 600ll * 1000 * kMsToUs;
};

constexpr size_t kPrefixBlockBytes = 256;
constexpr size_t kMaxPrefixBlocks = 16;
constexpr uint32_t kBytesPerToken = 4;

/// @returns Chained hashes of a prompt's leading blocks, at most `kMaxPrefixBlocks`.
std::vector<uint64_t> prefixBlocks(std::string_view _prompt);

/// @returns Length of the prefix that the upstream has recently read, in tokens.
uint32_t prefixHitTokens(const PrefixTable& _table, absl::Span<const uint64_t> _blocks, UpstreamId _upstream,
						 TimeUs _now);

void recordPrefix(PrefixTable& _table, absl::Span<const uint64_t> _blocks, UpstreamId _upstream, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_ROUTING_H_HEADER_GUARD
