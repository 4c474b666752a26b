/// Roll-outs in the platform's store: orders, statuses and progress are taken from it, and this router's
/// verdicts are written to it.
#include <absl/strings/numbers.h>
#include <algorithm>
#include <fmt/format.h>
#include <optional>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/records_p.h"
#include "spanplank/json_text.h"
#include "spanplank/peer_messages.h"
#include "store_items_p.h"

namespace spanplank
{
namespace
{
/// Longest time between an order and its reading that is made up for: two watches with their pauses.
constexpr TimeUs kLongestUnread = 2000 * kMsToUs;

/// What is read now was written after the store was last proved to be without it.
/// @returns The middle of that time.
TimeUs likelyWrittenAt(const DirectRouter& _router, TimeUs _now)
{
	const TimeUs unread = _router.view.listed ? _now - _router.config.confirmedAt : 0;
	return _now - std::clamp<TimeUs>(unread, 0, kLongestUnread) / 2;
}
} // namespace

void takeOrderItem(DirectRouter& _router, const StoreItem& _item, TimeUs _now)
{
	try
	{
		RolloutOrder order = platform::decodeRolloutOrder(_item.value);
		order.service = afterPrefix(_item.key, platform::kOrderPrefix);
		// One that starts within a trial may have used its credit before.
		_router.trials.credited =
			_router.view.listed && countHigherRanked(_router.peers.tree) < kMaxCreditedRouters;
		if (!applyOrder(_router.trials, order, _item.revision, likelyWrittenAt(_router, _now)))
		{
			return;
		}
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

bool isOtherOrder(const DirectRouter& _router, const StoreItem& _item)
{
	if (!hasPrefix(_item.key, platform::kOrderPrefix))
	{
		return false;
	}
	const auto known = _router.trials.trials.find(afterPrefix(_item.key, platform::kOrderPrefix));
	if (known == _router.trials.trials.end())
	{
		return false;
	}
	try
	{
		return platform::decodeRolloutOrder(_item.value).version != known->second.order.version;
	}
	catch (const Failure&)
	{
		return false; // Logged where it is taken.
	}
}

void takeStatusItem(DirectRouter& _router, const StoreItem& _item)
{
	try
	{
		const std::string service = afterPrefix(_item.key, platform::kStatusPrefix);
		const RolloutStatus status = platform::decodeRolloutStatus(_item.value);
		if (applyStatus(_router.trials, service, status, _item.revision))
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

namespace
{
/// The time since the order in microseconds, a space and the rows of evidence as a JSON array of numbers. A
/// router of an earlier version writes the time alone.
std::string encodeProgress(const TrialProgress& _progress)
{
	return fmt::format("{} {}", _progress.elapsed, encodeEvidence(_progress.rows).dump());
}

/// @throws nlohmann::json::exception @returns Nothing if the record can't be read.
std::optional<TrialProgress> decodeProgress(std::string_view _value)
{
	TrialProgress progress;
	const size_t space = std::min(_value.find(' '), _value.size());
	if (!absl::SimpleAtoi(std::string(_value.substr(0, space)), &progress.elapsed))
	{
		return std::nullopt;
	}
	if (space < _value.size())
	{
		progress.rows = decodeEvidence(parseJson(_value.substr(space + 1)));
	}
	return progress;
}

std::optional<TrialProgress> readProgress(const StoreItem& _item)
{
	try
	{
		return decodeProgress(_item.value);
	}
	catch (const nlohmann::json::exception& failure)
	{
		logEvent("rollout_progress_rejected", {{"key", _item.key}, {"error", failure.what()}});
		return std::nullopt;
	}
}
} // namespace

void takeProgressItem(DirectRouter& _router, const StoreItem& _item, TimeUs _now)
{
	const auto found = _router.trials.trials.find(afterPrefix(_item.key, kProgressPrefix));
	if (found == _router.trials.trials.end())
	{
		return;
	}
	const std::optional<TrialProgress> progress = readProgress(_item);
	if (!progress)
	{
		++_router.stats.recordsRejected["rollout_progress"];
		return;
	}
	applyProgress(found->second, *progress, _item.revision, _now);
}

namespace
{
constexpr uint32_t kRolloutTickMs = 200;
constexpr TimeUs kTrialLogEvery = 2000 * kMsToUs; ///< Between lines on a trial that runs.
/// How long routers that follow another one leave the same write to that.
constexpr TimeUs kFollowerPatience = 1500 * kMsToUs;
constexpr TimeUs kCompletionPatience = 300 * kMsToUs; ///< The same for a completion.
/// Spread of such writes over the routers that follow.
constexpr TimeUs kPatienceSpread = 600 * kMsToUs;
/// Added to the jitter of the progress that they write, for the same.
constexpr double kFollowerJitter = 2.0;

std::optional<RolloutStatus> pendingStatus(const DirectRouter& _router, const VersionTrial& _trial)
{
	return pendingStatus(_trial, _router.trials.exposureShare, _router.upstreams.contact.recoveredAt,
						 monotonicNow());
}

/// @returns How long a router that follows another one leaves a write to that. A halt of its own alone can't
/// wait, a completion not long: its deadline is near.
TimeUs followerPatience(const VersionTrial& _trial, const RolloutStatus& _status)
{
	if (_status.state == RolloutState::RolledBack && !_trial.haltedByPeer)
	{
		return 0;
	}
	return _status.state == RolloutState::Completed ? kCompletionPatience : kFollowerPatience;
}

/// Writes what this router has decided; reads the status of a roll-out that it knows nothing of.
void settleRollout(DirectRouter& _router, const std::string& _service, VersionTrial& _trial)
{
	std::optional<RolloutStatus> wanted = pendingStatus(_router, _trial);
	const TimeUs now = monotonicNow();
	if (!wanted)
	{
		_trial.writePendingSince = 0;
		return;
	}
	if (_trial.writePendingSince == 0)
	{
		_trial.writePendingSince = now + TimeUs(nextUnit(_router.random) * double(kPatienceSpread));
	}
	if (isFollowing(_router, now) && now - _trial.writePendingSince < followerPatience(_trial, *wanted))
	{
		return; // Most likely the others write the same.
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
	wanted = pendingStatus(_router, _trial); // What was read, or heard meanwhile, may have settled it.
	if (!wanted)
	{
		return;
	}
	uint64_t revision = 0;
	const CasResult result =
		casStore(_router.store, key, platform::encodeRolloutStatus(*wanted), item.revision, revision);
	logEvent("rollout_written", {{"service", _service},
								 {"version", wanted->version},
								 {"state", name(wanted->state)},
								 {"result", name(result)},
								 {"revision", std::to_string(revision)},
								 {"elapsed_ms", std::to_string((now - _trial.startedAt) / kMsToUs)},
								 {"evidence", describeEvidence(_trial)}});
	if (result == CasResult::Done)
	{
		recordStatusWritten(_trial, *wanted, revision);
	}
}

/// Keeps the time since the order and the newest evidence in the store, so that routers that start blank go
/// on from there.
void saveProgress(DirectRouter& _router, const std::string& _service, VersionTrial& _trial)
{
	const TimeUs now = monotonicNow();
	const double patience = isFollowing(_router, now) ? kFollowerJitter : 0.0;
	if (!isProgressDue(_trial, now, nextUnit(_router.random) + patience))
	{
		return;
	}
	const TrialProgress progress = progressOf(_trial, now);
	uint64_t revision = 0;
	const CasResult result = casStore(_router.store, std::string(kProgressPrefix) + _service,
									  encodeProgress(progress), _trial.progressRevision, revision);
	if (result == CasResult::Done)
	{
		applyProgress(_trial, progress, revision, now);
	}
}
} // namespace

void takePeerHalts(DirectRouter& _router, const std::vector<TrialHalt>& _halts)
{
	for (const TrialHalt& halt : _halts)
	{
		if (applyHalt(_router.trials, halt))
		{
			logEvent("rollout_halt_heard",
					 {{"service", halt.service}, {"order", std::to_string(halt.orderRevision)}});
		}
	}
}

void takePeerTrials(DirectRouter& _router, const std::vector<TrialUpdate>& _trials, uint32_t _link)
{
	const TimeUs now = monotonicNow();
	for (const TrialUpdate& news : _trials)
	{
		if (applyTrialUpdate(_router.trials, news, neighbourOf(_link), now))
		{
			const VersionTrial& trial = _router.trials.trials.at(news.service);
			logEvent("rollout_halted", {{"service", news.service},
										{"version", trial.order.version},
										{"evidence", describeEvidence(trial)}});
		}
	}
}

namespace
{
/// Logs where a trial stands.
void logTrial(const VersionTrial& _trial, const std::string& _service, const char* _event, TimeUs _now)
{
	logEvent(_event, {{"service", _service},
					  {"version", _trial.order.version},
					  {"elapsed_ms", std::to_string((_now - _trial.startedAt) / kMsToUs)},
					  {"reached", std::to_string(_trial.reached)},
					  {"exposed", std::to_string(_trial.exposed)},
					  {"evidence", describeEvidence(_trial)}});
}

void advance(DirectRouter& _router, const std::string& _service, VersionTrial& _trial)
{
	const TimeUs now = monotonicNow();
	if (advanceTrial(_trial, _router.trials.exposureShare, now))
	{
		logTrial(_trial, _service, "rollout_proved", now);
	}
	if (_trial.state == RolloutState::Running && now - _trial.loggedAt >= kTrialLogEvery)
	{
		_trial.loggedAt = now;
		logTrial(_trial, _service, "rollout_evidence", now);
	}
}
} // namespace

void runRollouts(DirectRouter& _router)
{
	while (true)
	{
		noteIteration();
		sleepFor(kRolloutTickMs);
		for (auto& [service, trial] : _router.trials.trials)
		{
			// What fails for one is to hold up no other.
			try
			{
				advance(_router, service, trial);
				settleRollout(_router, service, trial);
				saveProgress(_router, service, trial);
			}
			catch (const std::exception& failure)
			{
				recordFailedWrite(trial, monotonicNow(), nextUnit(_router.random));
				logEvent("rollout_not_written", {{"service", service}, {"error", failure.what()}});
			}
		}
	}
}
} // namespace spanplank
