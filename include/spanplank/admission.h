/// Admission at an upstream: by slots and KV tokens, weighted fair over client accounts, refusing at once.
#ifndef SPANPLANK_ADMISSION_H_HEADER_GUARD
#define SPANPLANK_ADMISSION_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "spanplank/types.h"

namespace spanplank
{
/// A piece of work inside one agent.
struct WorkId
{
	uint64_t idx = UINT64_MAX;
};

struct AdmissionLimits
{
	uint32_t slots = 8;         ///< Requests that the upstream batches at once.
	uint64_t kvTokens = 200000; ///< Tokens of running requests that its KV memory holds.
	uint32_t maxQueued = 64;
	double secondsPerToken = 0.001; ///< Of the whole upstream, all slots busy; start of a running estimate.
};

struct WorkDemand
{
	WorkId id;
	std::string account;
	double weight = 1.0;
	uint32_t priority = 5; ///< Lower goes first, strictly.
	uint64_t tokens = 1;   ///< Prompt and most output.
	TimeUs deadline = 0;
};

struct AdmissionQueue
{
	struct Waiting
	{
		WorkDemand demand;
		double tag = 0.0;
	};
	using Order = std::tuple<uint32_t, double, uint64_t>; ///< Priority, fair tag, id.

	AdmissionLimits limits;
	std::map<Order, Waiting> waiting;
	std::map<uint64_t, Order> orderOf;
	std::map<std::string, double> lastTag;  ///< By account.
	std::map<std::string, uint32_t> queued; ///< By account.
	std::map<uint64_t, WorkDemand> running;
	uint64_t runningTokens = 0;
	uint64_t waitingTokens = 0;
	double virtualTime = 0.0;
	double secondsPerToken = 0.001;     ///< Running estimate: of the whole upstream, all slots busy.
	double slotSecondsPerToken = 0.008; ///< Running estimate: of one request in its slot.
};

/// What the queue gives out.
struct NextWork
{
	std::optional<WorkId> start; ///< Counts as running from now.
	std::vector<WorkId> late;    ///< Would not be done in time any more: refuse them, they have not run.
};

enum class AdmissionVerdict : uint8_t
{
	Start,
	Queue,
	Refuse,
};

struct AdmissionResult
{
	AdmissionVerdict verdict = AdmissionVerdict::Refuse;
	uint32_t retryAfterMs = 0;
	/// Queued work of an account far over its share: refuse it, it has not run.
	std::optional<WorkId> evicted;
};

AdmissionQueue createAdmissionQueue(const AdmissionLimits& _limits);

/// @returns Whether the work starts now, waits, or is refused at once with a time to come back.
AdmissionResult admit(AdmissionQueue& _queue, const WorkDemand& _demand, TimeUs _now);

/// @returns The next waiting work that fits and can still be done in time.
NextWork nextWork(AdmissionQueue& _queue, TimeUs _now);

/// Work ended or was cancelled, wherever it stood.
/// @param[in] _tokens Tokens done and @param[in] _seconds they took, for the estimate; 0 if unknown.
void release(AdmissionQueue& _queue, WorkId _id, uint64_t _tokens, double _seconds);

/// @returns Expected seconds until work of this priority would start.
double expectedWait(const AdmissionQueue& _queue, uint32_t _priority);
} // namespace spanplank

#endif // SPANPLANK_ADMISSION_H_HEADER_GUARD
