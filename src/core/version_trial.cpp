/// Roll-outs of new versions: orders, choice of a version, halts and completion.
#include "spanplank/version_trial.h"

#include <algorithm>

#include "hash_range_p.h"
#include "spanplank/store_position.h"
#include "trial_schedule_p.h"

namespace spanplank
{
namespace
{
/// Part of the duration from which a version may be completed. It is late because a version that is bad only
/// under load or only later can't be distinguished from a good one before, and stays within the exposure
/// bound until then. In a trial of 16 s it is 0.6 s before the deadline, which is the uncertainty of the
/// order's time.
constexpr double kMinCompletionPart = 0.96;
/// Delay between the verification and the ramp. All routers have received the verification by then, so that
/// no session switches back and forth between versions.
constexpr TimeUs kRampDelay = 500 * kMsToUs;
/// Time without a store outage before a router may complete a version, so that halts by other routers take
/// precedence after a router was cut off.
constexpr TimeUs kMinStoreReachable = 2000 * kMsToUs;
/// Delay before a failed write of a status is retried, doubled after each failure. With a constant delay,
/// about 30 routers that had halted a version called an unavailable store 5 times a second each.
constexpr TimeUs kWriteRetryDelay = 200 * kMsToUs;
constexpr uint32_t kMaxDelayDoublings = 3;

void halt(VersionTrial& _trial, VersionFault _fault, bool _byPeer)
{
	_trial.state = RolloutState::RolledBack;
	_trial.statusUnwritten = true;
	_trial.haltedByPeer = _byPeer;
	_trial.fault = _fault;
}

} // namespace

bool haltIfFaulty(VersionTrial& _trial, bool _byPeer)
{
	if (_trial.state != RolloutState::Running)
	{
		return false;
	}
	const VersionFault fault = versionFault(_trial.evidence);
	if (fault == VersionFault::None)
	{
		return false;
	}
	halt(_trial, fault, _byPeer);
	return true;
}

VersionTrial* trialOf(TrialTable& _trials, const std::string& _service)
{
	const auto found = _trials.trials.find(_service);
	return found == _trials.trials.end() ? nullptr : &found->second;
}

const VersionTrial* trialOf(const TrialTable& _trials, const std::string& _service)
{
	const auto found = _trials.trials.find(_service);
	return found == _trials.trials.end() ? nullptr : &found->second;
}

const char* name(RolloutState _state)
{
	switch (_state)
	{
	case RolloutState::Running:
		return "running";
	case RolloutState::Completed:
		return "completed";
	case RolloutState::RolledBack:
		break;
	}
	return "rolled_back";
}

namespace
{
/// @returns The versions that stay out when the next order comes.
std::set<std::string> haltedBefore(const VersionTrial& _trial)
{
	std::set<std::string> halted;
	if (_trial.state != RolloutState::Completed) // Else the upstreams of all other versions have stopped.
	{
		halted = _trial.halted;
	}
	if (_trial.state == RolloutState::RolledBack)
	{
		halted.insert(_trial.order.version);
	}
	return halted;
}
} // namespace

bool applyOrder(TrialTable& _trials, const RolloutOrder& _order, uint64_t _revision, TimeUs _orderedAt)
{
	VersionTrial& trial = _trials.trials[_order.service];
	if (trial.orderRevision >= _revision)
	{
		return false;
	}
	// The same order in a later era of the store is the known one: it was written again, or comes from an
	// older copy of the store.
	const bool rewritten = trial.orderRevision != 0 && eraOf(_revision) > eraOf(trial.orderRevision) &&
						   _order.version == trial.order.version &&
						   _order.durationMs == trial.order.durationMs;
	if (rewritten)
	{
		trial.orderRevision = _revision;
		return false;
	}
	std::set<std::string> halted = haltedBefore(trial);
	halted.erase(_order.version);
	trial = VersionTrial{};
	trial.order = _order;
	trial.halted = std::move(halted);
	trial.orderRevision = _revision;
	trial.startedAt = _orderedAt;
	trial.credit = _trials.credited ? 1 : 0;
	return true;
}

bool applyStatus(TrialTable& _trials, const std::string& _service, const RolloutStatus& _status,
				 uint64_t _revision)
{
	VersionTrial* trial = trialOf(_trials, _service);
	if (trial == nullptr || _revision <= trial->statusRevision)
	{
		return false;
	}
	trial->statusRevision = _revision;
	if (_status.version != trial->order.version || _revision < trial->orderRevision)
	{
		// The status belongs to an earlier order, of which a router that starts blank learns no more.
		if (_status.state == RolloutState::RolledBack && _status.version != trial->order.version)
		{
			trial->halted.insert(_status.version);
		}
		return false;
	}
	const bool changed = trial->state != _status.state;
	// A halt is only overridden by a completion that the store already holds: the baseline version's
	// upstreams stop as soon as it is there, so without the new version's no upstream would be left.
	const bool halted = trial->state == RolloutState::RolledBack && _status.state != RolloutState::Completed;
	// An older copy of the store may hold the state from before the completion, but the baseline version's
	// upstreams have stopped.
	const bool completed = trial->state == RolloutState::Completed && _status.state == RolloutState::Running;
	trial->state = halted || completed ? trial->state : _status.state;
	trial->statusUnwritten = trial->state != _status.state;
	return changed;
}

VersionChoice chooseVersion(const TrialTable& _trials, const std::string& _service,
							const TrialRequest& _request, TimeUs _now)
{
	const VersionTrial* trial = trialOf(_trials, _service);
	if (trial == nullptr)
	{
		return {};
	}
	const std::string& version = trial->order.version;
	if (trial->state != RolloutState::Running)
	{
		return trial->state == RolloutState::Completed ? VersionChoice{version, "", {}}
													   : VersionChoice{"", version, trial->halted};
	}
	const double share = candidateShareAt(*trial, _trials.exposureShare, _request.inSession, _now);
	const bool drawn = double(stableHash(version, _request.hash)) < share * kHashRange;
	const bool offered = drawn && _request.scope == VersionScope::Any &&
						 mayExpose(*trial, _trials.exposureShare,
								   _request.inSession ? ExposureKind::Session : ExposureKind::Single, _now);
	return offered ? VersionChoice{version, "", {}} : VersionChoice{"", version, trial->halted};
}

VersionChoice chooseFallbackVersion(const TrialTable& _trials, const std::string& _service, TimeUs _now)
{
	const VersionTrial* trial = trialOf(_trials, _service);
	if (trial == nullptr || trial->state == RolloutState::Completed)
	{
		return {};
	}
	const bool allowed = trial->state == RolloutState::Running &&
						 mayExpose(*trial, _trials.exposureShare, ExposureKind::Single, _now);
	return {"", allowed ? "" : trial->order.version, trial->halted};
}

bool isOnTrial(const TrialTable& _trials, const std::string& _service, const std::string& _version)
{
	const VersionTrial* trial = trialOf(_trials, _service);
	return trial != nullptr && trial->state == RolloutState::Running && trial->order.version == _version;
}

std::string haltedVersion(const TrialTable& _trials, const std::string& _service)
{
	const VersionTrial* trial = trialOf(_trials, _service);
	return trial != nullptr && trial->state == RolloutState::RolledBack ? trial->order.version : "";
}

bool isHalted(const TrialTable& _trials, const std::string& _service, const std::string& _version)
{
	const VersionTrial* trial = trialOf(_trials, _service);
	if (trial == nullptr || trial->state == RolloutState::Completed)
	{
		return false;
	}
	return trial->halted.count(_version) != 0 ||
		   (trial->state == RolloutState::RolledBack && trial->order.version == _version);
}

TrialAttempt recordTrialChosen(TrialTable& _trials, const std::string& _service, const std::string& _version)
{
	VersionTrial* trial = trialOf(_trials, _service);
	if (trial == nullptr)
	{
		return {};
	}
	const bool exposed = trial->order.version == _version;
	trial->exposed += exposed ? 1 : 0;
	return {trial->orderRevision, exposed};
}

void recordTrialReached(TrialTable& _trials, const std::string& _service, const TrialAttempt& _attempt)
{
	VersionTrial* trial = trialOf(_trials, _service);
	// An attempt that was chosen before the order may also have reached its upstream before it.
	if (trial != nullptr && trial->orderRevision == _attempt.orderRevision)
	{
		++trial->reached;
	}
}

void recordTrialUnsent(TrialTable& _trials, const std::string& _service, const TrialAttempt& _attempt)
{
	VersionTrial* trial = trialOf(_trials, _service);
	if (trial != nullptr && trial->orderRevision == _attempt.orderRevision && _attempt.exposed)
	{
		--trial->exposed;
	}
}

std::vector<TrialHalt> unwrittenHalts(const TrialTable& _trials)
{
	std::vector<TrialHalt> halts;
	for (const auto& [service, trial] : _trials.trials)
	{
		if (trial.state == RolloutState::RolledBack && trial.statusUnwritten)
		{
			halts.push_back({service, trial.orderRevision});
		}
	}
	return halts;
}

bool applyHalt(TrialTable& _trials, const TrialHalt& _halt)
{
	VersionTrial* trial = trialOf(_trials, _halt.service);
	if (trial == nullptr || trial->orderRevision != _halt.orderRevision ||
		trial->state != RolloutState::Running)
	{
		return false; // The halt belongs to another order, or the trial has ended.
	}
	halt(*trial, VersionFault::None, true);
	return true;
}

bool advanceTrial(VersionTrial& _trial, double _exposureShare, TimeUs _now)
{
	if (_trial.state != RolloutState::Running)
	{
		return false;
	}
	expireEvidence(_trial.evidence, firstRetainedInterval(_trial, _now));
	const TimeUs rampAt =
		_trial.startedAt + TimeUs(rampStartPart(_exposureShare) * double(durationOf(_trial)));
	if (_trial.rampStartAt != 0 || _now + kRampDelay < rampAt || !isVerified(_trial.evidence))
	{
		return false;
	}
	_trial.rampStartAt = std::max(rampAt, _now + kRampDelay);
	return true;
}

namespace
{
/// @returns Whether a version may be completed. That can't be reverted and therefore needs more than a halt:
/// it has received all requests for a while, the evidence of the fleet verifies it, and no router can have
/// halted it without this router having received the halt.
bool isComplete(const VersionTrial& _trial, double _exposureShare, TimeUs _storeReachableSince, TimeUs _now)
{
	const bool isDue = elapsedPart(_trial, _now) >= kMinCompletionPart && _trial.rampStartAt != 0 &&
					   _now >= fullTrafficTestedAt(_trial, _exposureShare);
	return isDue && _now - _storeReachableSince >= kMinStoreReachable &&
		   isVerifiedForCompletion(_trial.evidence, firstRecentInterval(_trial, _now),
								   elapsedPart(_trial, _now) >= 1.0);
}
} // namespace

std::optional<RolloutStatus> pendingStatus(const VersionTrial& _trial, double _exposureShare,
										   TimeUs _storeReachableSince, TimeUs _now)
{
	const bool complete = _trial.state == RolloutState::Running &&
						  isComplete(_trial, _exposureShare, _storeReachableSince, _now);
	const RolloutState pendingState = complete ? RolloutState::Completed : _trial.state;
	if (complete || _trial.statusUnwritten || _trial.statusRevision < _trial.orderRevision)
	{
		return RolloutStatus{_trial.order.version, pendingState};
	}
	return std::nullopt;
}

void recordStatusWritten(VersionTrial& _trial, const RolloutStatus& _status, uint64_t _revision)
{
	if (_status.version != _trial.order.version)
	{
		return; // Another order arrived during the write.
	}
	_trial.statusRevision = _revision;
	_trial.failedWrites = 0;
	if (_status.state == RolloutState::Completed)
	{
		_trial.state = _status.state;
	}
	_trial.statusUnwritten = _trial.state != _status.state; // It may have been halted during the write.
}

void recordFailedWrite(VersionTrial& _trial, TimeUs _now, double _jitter)
{
	const TimeUs pause = kWriteRetryDelay << std::min(_trial.failedWrites, kMaxDelayDoublings);
	_trial.writeAfter = _now + pause / 2 + TimeUs(_jitter * double(pause) / 2.0);
	++_trial.failedWrites;
}

} // namespace spanplank
