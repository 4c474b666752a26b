/// Roll-outs in the platform's store: orders, statuses and progress are taken from it, and this router's
/// verdicts are written to it.
#include <absl/strings/numbers.h>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/records_p.h"
#include "store_items_p.h"

namespace spanplank
{
void takeOrderItem(DirectRouter& _router, const StoreItem& _item, TimeUs _now)
{
	try
	{
		RolloutOrder order = platform::decodeRolloutOrder(_item.value);
		order.service = afterPrefix(_item.key, platform::kOrderPrefix);
		takeOrder(_router.trials, order, _item.revision, _now);
		logEvent("rollout_ordered", {{"service", order.service},
									 {"version", order.version},
									 {"duration_ms", std::to_string(order.durationMs)},
									 {"revision", std::to_string(_item.revision)}});
	}
	catch (const Failure& failure)
	{
		++_router.stats.recordsRejected["rollout"];
		logEvent("rollout_rejected", {{"key", _item.key}, {"error", failure.refusal().detail}});
	}
}

void takeStatusItem(DirectRouter& _router, const StoreItem& _item)
{
	try
	{
		const std::string service = afterPrefix(_item.key, platform::kStatusPrefix);
		const RolloutStatus status = platform::decodeRolloutStatus(_item.value);
		if (takeStatus(_router.trials, service, status, _item.revision))
		{
			logEvent("rollout_status", {{"service", service},
										{"version", status.version},
										{"state", name(status.state)},
										{"revision", std::to_string(_item.revision)}});
		}
	}
	catch (const Failure& failure)
	{
		++_router.stats.recordsRejected["rollout_status"];
		logEvent("rollout_status_rejected", {{"key", _item.key}, {"error", failure.refusal().detail}});
	}
}

void takeProgressItem(DirectRouter& _router, const StoreItem& _item, TimeUs _now)
{
	const auto found = _router.trials.trials.find(afterPrefix(_item.key, kProgressPrefix));
	TimeUs progress = 0;
	if (found != _router.trials.trials.end() && absl::SimpleAtoi(_item.value, &progress))
	{
		takeProgress(found->second, progress, _item.revision, _now);
	}
}

namespace
{
constexpr uint32_t kRolloutTickMs = 200;
/// How long routers that follow another one leave the same write to that.
constexpr TimeUs kFollowerPatience = 1500 * kMsToUs;
/// Added to the jitter of the progress that they write, for the same.
constexpr double kFollowerJitter = 2.0;

/// Writes what this router has decided; reads the status of a roll-out that it knows nothing of.
void settleRollout(DirectRouter& _router, const std::string& _service, VersionTrial& _trial)
{
	RolloutStatus status;
	const TimeUs now = monotonicNow();
	if (!wantsStatus(_trial, now, status))
	{
		_trial.wantedAt = 0;
		return;
	}
	_trial.wantedAt = _trial.wantedAt == 0 ? now : _trial.wantedAt;
	const bool othersWrite = status.state != RolloutState::RolledBack || _trial.heard;
	if (isFollowing(_router, now) && othersWrite && now - _trial.wantedAt < kFollowerPatience)
	{
		return; // Most likely the others write the same: a halt of this router's own alone can't wait.
	}
	if (now < _trial.writeAfter)
	{
		return;
	}
	const std::string key = std::string(platform::kStatusPrefix) + _service;
	const StoreItem item = readStore(_router.store, key);
	if (item.revision != 0)
	{
		takeStatusItem(_router, item);
	}
	const bool known = item.revision > _trial.orderRevision;
	if (known && !_trial.decided)
	{
		return;
	}
	uint64_t revision = 0;
	status = {_trial.order.version, _trial.state};
	const CasResult result =
		casStore(_router.store, key, platform::encodeRolloutStatus(status), item.revision, revision);
	logEvent("rollout_written", {{"service", _service},
								 {"version", status.version},
								 {"state", name(status.state)},
								 {"result", name(result)},
								 {"revision", std::to_string(revision)}});
	if (result == CasResult::Done)
	{
		_trial.statusRevision = revision;
		_trial.decided = false;
		_trial.writesLost = 0;
	}
}

/// Keeps the time since the order in the store, so that routers that start blank go on from there.
void saveProgress(DirectRouter& _router, const std::string& _service, VersionTrial& _trial)
{
	const TimeUs now = monotonicNow();
	const double patience = isFollowing(_router, now) ? kFollowerJitter : 0.0;
	if (!wantsProgress(_trial, now, nextUnit(_router.random) + patience))
	{
		return;
	}
	const TimeUs progress = now - _trial.startedAt;
	uint64_t revision = 0;
	const CasResult result = casStore(_router.store, std::string(kProgressPrefix) + _service,
									  std::to_string(progress), _trial.progressRevision, revision);
	if (result == CasResult::Done)
	{
		takeProgress(_trial, progress, revision, now);
	}
}
} // namespace

void takePeerHalts(DirectRouter& _router, const std::vector<TrialHalt>& _halts)
{
	for (const TrialHalt& halt : _halts)
	{
		if (takeHalt(_router.trials, halt))
		{
			logEvent("rollout_halt_heard",
					 {{"service", halt.service}, {"order", std::to_string(halt.orderRevision)}});
		}
	}
}

void runRollouts(DirectRouter& _router)
{
	while (true)
	{
		sleepFor(kRolloutTickMs);
		for (auto& [service, trial] : _router.trials.trials)
		{
			try
			{
				settleRollout(_router, service, trial);
				saveProgress(_router, service, trial);
			}
			catch (const Failure& failure)
			{
				noteWriteLost(trial, monotonicNow(), nextUnit(_router.random));
				logEvent("rollout_not_written", {{"service", service}, {"error", failure.refusal().detail}});
			}
		}
	}
}
} // namespace spanplank
