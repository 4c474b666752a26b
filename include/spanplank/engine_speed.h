/// Speed of each upstream, learned from first tokens and tokens of streams that all routers see. Ratios of
/// observed to expected times are averaged as logarithms with exponential decay, so that one stalled answer
/// does not dominate and an upstream without news returns to the mean.
#ifndef SPANPLANK_ENGINE_SPEED_H_HEADER_GUARD
#define SPANPLANK_ENGINE_SPEED_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// Decayed mean of logarithms of ratios.
struct LogRatioMean
{
	double sum = 0.0;    ///< Of the decayed logarithms.
	double weight = 0.0; ///< Decayed number of samples.
	TimeUs at = 0;       ///< Time up to which both are decayed.
};

struct EngineSpeed
{
	LogRatioMean firstToken; ///< Observed over expected time to first token.
	LogRatioMean token;      ///< Time per output token over the mean of its service and model.
	bool slow = false;       ///< As last returned by `takeSpeedChanges`.
};

/// Mean time per output token of a service and model, from this router's own streams.
struct TokenTimeMean
{
	double logMs = 0.0; ///< Mean logarithm of the milliseconds, so that single stalled streams weigh little.
	uint32_t samples = 0;
};

/// Samples of one upstream that are not yet sent to a neighbour. Sums are in hundredths, so that merging them
/// does not lose precision on the way.
struct SpeedRow
{
	UpstreamKey upstream = 0;
	uint32_t firstTokens = 0;  ///< Number of samples.
	int32_t firstTokenSum = 0; ///< Of log ratios, in hundredths.
	uint32_t streams = 0;      ///< Number of samples.
	int32_t streamSum = 0;     ///< Of log ratios, in hundredths.
};

/// Samples for one neighbour in the tree of routers.
struct SpeedOutbox
{
	std::unordered_map<UpstreamKey, SpeedRow> rows;
	TimeUs sentAt = 0;  ///< When rows were last sent; 0: never.
	TimeUs askedAt = 0; ///< When a message to the neighbour was last built; 0: never.
};

struct EngineSpeedTable
{
	std::unordered_map<UpstreamKey, EngineSpeed> speeds;
	std::map<std::string, TokenTimeMean, std::less<>> tokenTimes; ///< By service and model.
	std::map<uint32_t, SpeedOutbox> children;                     ///< By link.
	SpeedOutbox parent;
	uint64_t rejectedRows = 0; ///< Rows of neighbours with figures out of range.
};

/// Maximum ratio of one sample, and minimum as its reciprocal. A stalled answer can take 100 times as long as
/// expected, which says no more about the engine's speed than 20 times does.
constexpr double kMaxSpeedRatio = 20.0;
/// Factor above which an upstream counts as slow in logs and metrics, and below which it no longer does. The
/// distance avoids repeated log lines for an upstream near the limit.
constexpr double kSlowFactor = 3.0;
constexpr double kNormalFactor = 2.0;
/// Minimum time between two messages with rows to a neighbour. Samples that arrive meanwhile are merged, so
/// that the traffic on a link depends on the number of upstreams and not on the number of routers.
constexpr TimeUs kSpeedInterval = 240 * kMsToUs;
/// Maximum number of samples in a row, far more than an engine produces between two messages.
constexpr uint32_t kMaxRowSamples = 100000;

/// Records a time to first token. @param[in] _expectedMs Expected when the prompt was sent, without the
/// upstream's own factor; samples with an expectation of 0 are ignored.
void recordFirstTokenRatio(EngineSpeedTable& _table, UpstreamKey _upstream, double _expectedMs,
						   double _seenMs, TimeUs _now);

/// Records the mean time per output token of a stream. @param[in] _kind Service and model.
void recordTokenTime(EngineSpeedTable& _table, UpstreamKey _upstream, const std::string& _kind,
					 double _tokenMs, TimeUs _now);

/// Mean logarithms of the recent ratios of several upstreams.
struct SpeedPrior
{
	double firstToken = 0.0;
	double token = 0.0;
};

/// @returns The means of a service's upstreams. Estimates are often off for all of them in the same way; with
/// these means as its prior, an upstream without samples counts as a usual one instead of a slower one, and
/// is used again after it was slow.
SpeedPrior speedPrior(const EngineSpeedTable& _table, absl::Span<const UpstreamKey> _upstreams, TimeUs _now);

/// @returns Factor on the expected time to first token at an upstream; without samples that of the prior, 1.
double firstTokenFactor(const EngineSpeedTable& _table, UpstreamKey _upstream, TimeUs _now,
						const SpeedPrior& _prior = {});

/// @returns Factor on the time per output token at an upstream; without samples that of the prior, 1.
double tokenFactor(const EngineSpeedTable& _table, UpstreamKey _upstream, TimeUs _now,
				   const SpeedPrior& _prior = {});

/// @returns Mean time per output token of a service and model in milliseconds; 0 without samples.
double meanTokenMs(const EngineSpeedTable& _table, std::string_view _kind);

/// @returns Expected time per output token at an upstream in milliseconds; 0 if the model has no sample yet.
double tokenMsAt(const EngineSpeedTable& _table, UpstreamKey _upstream, std::string_view _kind, TimeUs _now);

/// Applies rows of a neighbour and queues them for all others. Rows out of range are counted and ignored.
/// @param[in] _from Link of the child, or `kParentNeighbour` of `home_share.h`.
/// @param[in] _forward False in a ring of routers, where samples would circulate.
void applySpeedRows(EngineSpeedTable& _table, uint32_t _from, absl::Span<const SpeedRow> _rows, bool _forward,
					TimeUs _now);

/// @returns The rows to send to a neighbour now, which are removed from its outbox. The first call for a
/// child adds it.
std::vector<SpeedRow> speedRowsFor(EngineSpeedTable& _table, uint32_t _neighbour, TimeUs _now);

/// An upstream that has become slow, or is no longer.
struct SpeedChange
{
	UpstreamKey upstream = 0;
	bool slow = false;
	double firstToken = 1.0; ///< Factor on the time to first token.
	double token = 1.0;      ///< Factor on the time per output token.
};

/// @returns The upstreams of which one factor has passed `kSlowFactor`, or both have fallen below
/// `kNormalFactor` again, since the last call.
std::vector<SpeedChange> takeSpeedChanges(EngineSpeedTable& _table, TimeUs _now);

/// @returns The number of upstreams that the last call of `takeSpeedChanges` left as slow.
size_t countSlow(const EngineSpeedTable& _table);

/// Removes upstreams without samples in the last seconds, and rows for neighbours that get no messages.
void expireSpeeds(EngineSpeedTable& _table, TimeUs _now);
} // namespace spanplank

#endif // SPANPLANK_ENGINE_SPEED_H_HEADER_GUARD
