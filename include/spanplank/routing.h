/// Choice of an upstream: expected time to the first token, on lagging reports and the router's own memory.
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
/// What a router knows of an upstream when it decides.
struct UpstreamLoad
{
	UpstreamId id;
	uint32_t running = 0;        ///< From the latest report.
	uint32_t queued = 0;         ///< From the latest report.
	uint32_t slots = 1;          ///< Requests that it batches at once.
	uint64_t prefillBacklog = 0; ///< Prompt tokens that wait there, from the latest report.
	uint32_t sentSince = 0;      ///< Requests sent by this router after that report was made.
	uint64_t sentTokens = 0;     ///< Their prompt tokens.
	uint32_t prefixTokens = 0;   ///< Prompt tokens that its prefix cache likely holds.
	double reportAge = 0.0;      ///< Seconds since that report was made.
	uint32_t routers = 1;        ///< Routers that send there, this one included.
	bool sameHall = true;
	double failureRate = 0.0; ///< Decayed share of failed attempts, 0 to 1.
};

/// Costs of an engine, seconds.
struct EngineCosts
{
	double prefillPerToken = 0.0002;
	double decodePerToken = 0.02;
	double otherHall = 0.001;
	double meanAnswerTokens = 128;
	/// What a failed attempt costs its caller; keeps work off an upstream that fails fast.
	double perFailure = 2.0;
};

/// @returns Expected seconds to the first token of a prompt on an upstream.
double expectedFirstToken(const UpstreamLoad& _load, uint32_t _promptTokens, const EngineCosts& _costs);

/// @returns Index of the upstream to send to, or `kInvalidIdx` if the span is empty.
/// @remarks Up to `kFullScan` upstreams all are looked at, beyond that two random ones and the one with the
/// longest prefix hit. No allocation.
uint32_t pickUpstream(absl::Span<const UpstreamLoad> _loads, uint32_t _promptTokens,
					  const EngineCosts& _costs, Random& _random);

constexpr uint32_t kFullScan = 32;

/// The naive baseline: one after the other.
uint32_t pickRoundRobin(absl::Span<const UpstreamLoad> _loads, uint64_t& _cursor);

/// Remembers which upstream has lately seen which prompt prefix, in blocks of `kPrefixBlockBytes`.
struct PrefixTable
{
	struct Seen
	{
		UpstreamId upstream;
		TimeUs at = 0;
	};
	static constexpr size_t kWays = 4;

	struct Slot
	{
		Seen seen[kWays];
	};
	std::unordered_map<uint64_t, Slot> blocks;
	size_t maxBlocks = 65536;
	TimeUs lifetime = 600ll * 1000 * kMsToUs;
};

constexpr size_t kPrefixBlockBytes = 256;
constexpr size_t kPrefixMaxBlocks = 16;
constexpr uint32_t kBytesPerToken = 4;

/// @returns Chained hashes of a prompt's leading blocks.
std::vector<uint64_t> prefixBlocks(std::string_view _prompt);

/// @returns Tokens of the prefix that the upstream has lately seen.
uint32_t prefixHit(const PrefixTable& _table, absl::Span<const uint64_t> _blocks, UpstreamId _upstream,
				   TimeUs _now);

void recordPrefix(PrefixTable& _table, absl::Span<const uint64_t> _blocks, UpstreamId _upstream, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_ROUTING_H_HEADER_GUARD
