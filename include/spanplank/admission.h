/// Admission control at an upstream: limits slots and KV-cache tokens, queues work with weighted fairness
/// between client accounts, and refuses at once what can't be done in time.
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
/// Identifies a unit of work within one agent.
struct WorkId
{
	uint64_t idx = UINT64_MAX;
};

struct AdmissionLimits
{
	uint32_t slots = 8;         ///< Maximum number of requests in a batch.
	uint64_t kvTokens = 200000; ///< Capacity of the KV cache for running requests, in tokens.
	uint32_t maxQueued = 64;
	/// Time per token of the whole upstream with all slots busy; initial value of the estimate.
	double secondsPerToken = 0.001;
};

struct WorkDemand
{
	WorkId id;
	std::string account;
	double weight = 1.0;
	uint32_t priority = 5; ///< Lower values are served first, strictly.
	uint64_t tokens = 1;   ///< Prompt tokens and maximum output tokens.
	TimeUs deadline = 0;
};

struct AdmissionQueue
{
	struct Waiting
	{
		WorkDemand demand;
		double finishTag = 0.0;
	};
	using Order = std::tuple<uint32_t, double, uint64_t>; ///< Priority, finish tag, id.

	AdmissionLimits limits;
	std::map<Order, Waiting> waiting;
	std::map<uint64_t, Order> orderById;
	std::map<std::string, double> lastFinishTag; ///< By account.
	std::map<std::string, uint32_t> queued;      ///< By account.
	std::map<uint64_t, WorkDemand> running;
	uint64_t runningTokens = 0;
	uint64_t waitingTokens = 0;
	double virtualTime = 0.0;
	double secondsPerToken = 0.001;     ///< Moving average of the whole upstream with all slots busy.
	double slotSecondsPerToken = 0.008; ///< Moving average of a single request in its slot.
};

/// Result of taking work from the queue.
struct NextWork
{
	std::optional<WorkId> start; ///< Work to start, already counted as running.
	std::vector<WorkId> expired; ///< Work that would miss its deadline: to be refused, as not run.
};

enum class AdmissionDecision : uint8_t
{
	Start,
	Queue,
	Refuse,
};

struct AdmissionResult
{
	AdmissionDecision decision = AdmissionDecision::Refuse;
	uint32_t retryAfterMs = 0;
	/// Queued work of the account that exceeds its share most: to be refused, as not run.
	std::optional<WorkId> evicted;
};

AdmissionQueue createAdmissionQueue(const AdmissionLimits& _limits);

/// @returns Whether the work starts now, is queued, or is refused, with the time after which it may be
/// retried.
AdmissionResult admit(AdmissionQueue& _queue, const WorkDemand& _demand, TimeUs _now);

/// Removes work from the queue.
/// @returns The next queued work that fits and can meet its deadline, and all work before it that can't meet
/// its own.
NextWork nextWork(AdmissionQueue& _queue, TimeUs _now);

/// Removes work that ended or was cancelled, whether queued or running.
/// @param[in] _tokens Tokens processed.
/// @param[in] _seconds Time taken. Both update the estimates; 0 if unknown.
void release(AdmissionQueue& _queue, WorkId _id, uint64_t _tokens, double _seconds);

/// @returns Expected time until work of this priority starts, in seconds.
double expectedWait(const AdmissionQueue& _queue, uint32_t _priority);
} // namespace spanplank

#endif // SPANPLANK_ADMISSION_H_HEADER_GUARD
