#include "spanplank/agent_core.h"

#include <algorithm>
#include <fmt/format.h>

#include "spanplank/http_status.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kStoppingRetryMs = 200;
constexpr uint32_t kBillsFullRetryMs = 5000;
constexpr uint32_t kExposureRetryMs = 250;
constexpr uint32_t kLateWorkRetryMs = 1000;

void applyGuardActions(AgentCore& _core, GuardActions& _guardActions, TimeUs _now, int64_t _wallMs,
					   AgentActions& _actions);

bool contains(const std::vector<std::string>& _list, std::string_view _text)
{
	return std::find(_list.begin(), _list.end(), _text) != _list.end();
}

const std::string& billedName(const Submit& _submit)
{
	return _submit.service.empty() ? _submit.version : _submit.service;
}

void refuse(AgentCore& _core, LinkId _to, uint64_t _attempt, const Refusal& _refusal, AgentActions& _actions)
{
	++_core.stats.refused;
	AnswerRefused message;
	message.attempt = _attempt;
	message.code = name(_refusal.code);
	message.mayHaveRun = _refusal.run == RunState::Unknown;
	message.retryAfterMs = _refusal.retryAfterMs;
	message.detail = _refusal.detail;
	_actions.push_back(ReplyRefused{_to, message});
}

bool isServedHere(const AgentCore& _core, const Submit& _submit, Refusal& _why)
{
	if (!_submit.service.empty())
	{
		if (!allowsName(_core.config, _submit.account, _submit.service))
		{
			_why = {ErrorCode::NotAllowed, RunState::No, 0, "the account may not use the service"};
			return false;
		}
		if (!contains(_core.init.self.services, _submit.service))
		{
			_why = {ErrorCode::NoUpstream, RunState::No, 0, "this agent does not serve the service"};
			return false;
		}
		return true;
	}
	if (!mayServe(_core.config, _submit.version, _submit.session))
	{
		_why = {ErrorCode::VersionWithdrawn, RunState::No, 0, "the version does not accept new requests"};
		return false;
	}
	if (!allowsVersion(_core.config, _submit.account, _submit.version))
	{
		_why = {ErrorCode::NotAllowed, RunState::No, 0, "the account may not use the version"};
		return false;
	}
	if (!contains(_core.init.self.versions, _submit.version))
	{
		_why = {ErrorCode::NoUpstream, RunState::No, 0, "the version is not loaded on this agent"};
		return false;
	}
	return true;
}

/// Checks a submitted attempt against this agent's own state and configuration.
/// @returns The reason why it must not start now, or nothing if it may.
std::optional<Refusal> checkSubmit(const AgentCore& _core, const Submit& _submit, TimeUs _deadline,
								   TimeUs _now)
{
	if (_core.stopping)
	{
		return Refusal{ErrorCode::Stopping, RunState::No, kStoppingRetryMs, "the agent is stopping"};
	}
	if (_submit.revision > _core.config.revision)
	{
		return Refusal{ErrorCode::ConfigBehind, RunState::No, kStoppingRetryMs,
					   "the agent's configuration is older than the router's"};
	}
	if (_core.bills.count >= _core.init.maxUnflushedBills)
	{
		return Refusal{ErrorCode::BillsFull, RunState::No, kBillsFullRetryMs,
					   "too many bills are waiting to be flushed"};
	}
	if (_now >= _deadline)
	{
		return Refusal{ErrorCode::DeadlinePassed, RunState::No, 0, "the deadline has passed"};
	}
	if (!_core.suspects.suspects.empty())
	{
		const SuspectSubjects subjects = subjectsOf(_submit);
		const SuspectMatch match = matchSuspects(_core.suspects, subjects, _now);
		// Only two agents of the pool may retry a suspect that is due.
		const bool mayTry =
			match.state == SuspectState::ProbeDue && watchesRatings(_core, digestToHex(match.digest));
		std::optional<Refusal> refusal = refusalOf(_core.suspects, subjects, mayTry, _now);
		if (refusal)
		{
			return refusal;
		}
	}
	Refusal why;
	if (!isServedHere(_core, _submit, why))
	{
		return why;
	}
	return std::nullopt;
}

bool isCandidate(const AgentCore& _core, const std::string& _version)
{
	const auto version = _core.config.versions.find(_version);
	return version != _core.config.versions.end() && version->second.state == VersionState::Candidate;
}

/// Consumes an exposure credit for an answer of a candidate; serving versions need none.
/// @returns Whether the attempt may run.
bool consumeExposure(AgentCore& _core, const Submit& _submit)
{
	if (!_core.init.boundExposure || !_submit.service.empty() || !isCandidate(_core, _submit.version))
	{
		return true;
	}
	const uint32_t generation = _core.config.versions.at(_submit.version).generation;
	return spendCredit(_core.credits[_submit.version], generation);
}

void removeWork(AgentCore& _core, WorkId _id, uint64_t _tokens, double _seconds)
{
	release(_core.queue, _id, _tokens, _seconds);
	recordHeld(_core.buffers, _core.workItems.at(_id.idx).heldBytes, 0);
	_core.workItems.erase(_id.idx);
}

void refuseWork(AgentCore& _core, WorkId _id, const Refusal& _refusal, TimeUs _now, int64_t _wallMs,
				AgentActions& _actions)
{
	const Work work = _core.workItems.at(_id.idx);
	removeWork(_core, _id, 0, 0.0);
	if (work.guardKey.empty())
	{
		refuse(_core, work.link, work.submit.attempt, _refusal, _actions);
		return;
	}
	GuardActions guardActions;
	releaseCall(_core.guard, work.guardKey, _refusal, guardActions);
	applyGuardActions(_core, guardActions, _now, _wallMs, _actions);
}

Refusal lateRefusal()
{
	return {ErrorCode::Overloaded, RunState::No, kLateWorkRetryMs, "the deadline can no longer be met"};
}

/// Forwards work to the upstream, after checking it again and consuming an exposure credit if it needs one.
void startWork(AgentCore& _core, WorkId _id, bool _recheck, TimeUs _now, int64_t _wallMs,
			   AgentActions& _actions)
{
	Work& work = _core.workItems.at(_id.idx);
	std::optional<Refusal> refusal;
	if (_recheck && _core.init.recheckAtStart)
	{
		refusal = checkSubmit(_core, work.submit, work.deadline, _now);
	}
	if (!refusal && !consumeExposure(_core, work.submit))
	{
		refusal = Refusal{ErrorCode::ExposureSpent, RunState::No, kExposureRetryMs,
						  "the candidate's exposure is used up until more ratings arrive"};
	}
	if (refusal)
	{
		refuseWork(_core, _id, *refusal, _now, _wallMs, _actions);
		return;
	}
	work.forwarded = true;
	work.startedAt = _now;
	++_core.stats.forwarded;
	_actions.push_back(ForwardWork{_id, work.submit});
}

void startQueuedWork(AgentCore& _core, TimeUs _now, int64_t _wallMs, AgentActions& _actions)
{
	bool started = true;
	while (started)
	{
		const NextWork next = nextWork(_core.queue, _now);
		for (const WorkId late : next.expired)
		{
			refuseWork(_core, late, lateRefusal(), _now, _wallMs, _actions);
		}
		started = next.start.has_value();
		if (started)
		{
			startWork(_core, *next.start, true, _now, _wallMs, _actions);
		}
	}
}

WorkDemand demandOf(const AgentCore& _core, WorkId _id, const Submit& _submit, TimeUs _deadline)
{
	WorkDemand demand;
	demand.id = _id;
	demand.account = _submit.account;
	const auto account = _core.config.accounts.find(_submit.account);
	demand.weight = account == _core.config.accounts.end() ? 1.0 : std::max(0.001, account->second.weight);
	demand.priority = _submit.priority;
	demand.tokens = std::max<uint64_t>(1, uint64_t(_submit.promptTokens) + _submit.maxTokens);
	demand.deadline = _deadline;
	return demand;
}

/// Queues work that has passed the checks, or starts it.
void admitWork(AgentCore& _core, LinkId _from, const Submit& _submit, std::string _guardKey, TimeUs _now,
			   int64_t _wallMs, AgentActions& _actions)
{
	const WorkId id{_core.nextWork++};
	const TimeUs deadline = _now + TimeUs(_submit.deadlineMs) * kMsToUs;
	Work& work = _core.workItems[id.idx];
	work.submit = _submit;
	work.link = _from;
	work.deadline = deadline;
	work.guardKey = std::move(_guardKey);
	const AdmissionResult result = admit(_core.queue, demandOf(_core, id, _submit, deadline), _now);
	const Refusal overloaded{ErrorCode::Overloaded, RunState::No, result.retryAfterMs,
							 "the deadline cannot be met"};
	if (result.evicted)
	{
		refuseWork(_core, *result.evicted, overloaded, _now, _wallMs, _actions);
	}
	if (result.decision == AdmissionDecision::Refuse)
	{
		refuseWork(_core, id, overloaded, _now, _wallMs, _actions);
	}
	else if (result.decision == AdmissionDecision::Start)
	{
		startWork(_core, id, false, _now, _wallMs, _actions);
	}
}

/// Sends the complete answer of a run-once call to a waiter.
void sendCompleteAnswer(const CallWaiter& _waiter, const CallAnswer& _answer, const Bill& _bill,
						AgentActions& _actions)
{
	_actions.push_back(ReplyStart{_waiter.link, {_waiter.attempt, _answer.status, _answer.contentType}});
	_actions.push_back(ReplyPart{_waiter.link, {_waiter.attempt, 0, _answer.body}});
	_actions.push_back(ReplyEnd{_waiter.link, {_waiter.attempt, 1, 1.0, _bill.seq == 0, _bill}});
}

void runGuarded(AgentCore& _core, const RunCall& _run, TimeUs _now, int64_t _wallMs, AgentActions& _actions)
{
	const auto submitted = _core.guardedSubmits.find(_run.key);
	const Submit submit = submitted->second;
	_core.guardedSubmits.erase(submitted);
	const TimeUs deadline = _now + TimeUs(submit.deadlineMs) * kMsToUs;
	if (const std::optional<Refusal> refusal = checkSubmit(_core, submit, deadline, _now))
	{
		GuardActions guardActions;
		releaseCall(_core.guard, _run.key, *refusal, guardActions);
		applyGuardActions(_core, guardActions, _now, _wallMs, _actions);
		return;
	}
	admitWork(_core, _run.first.link, submit, _run.key, _now, _wallMs, _actions);
}

/// Carries out the guard's actions, or passes them on as actions of the agent.
void applyGuardActions(AgentCore& _core, GuardActions& _guardActions, TimeUs _now, int64_t _wallMs,
					   AgentActions& _actions)
{
	const GuardActions drained = std::move(_guardActions);
	_guardActions.clear();
	for (const GuardAction& action : drained)
	{
		if (const auto* run = std::get_if<RunCall>(&action))
		{
			runGuarded(_core, *run, _now, _wallMs, _actions);
		}
		else if (const auto* replay = std::get_if<ReplayAnswer>(&action))
		{
			sendCompleteAnswer(replay->waiter, replay->answer, Bill{}, _actions);
		}
		else if (const auto* refused = std::get_if<RefuseCall>(&action))
		{
			refuse(_core, refused->waiter.link, refused->waiter.attempt, refused->refusal, _actions);
		}
		else if (const auto* intent = std::get_if<SendIntent>(&action))
		{
			_actions.push_back(*intent);
		}
		else if (const auto* outcome = std::get_if<SendOutcome>(&action))
		{
			_actions.push_back(*outcome);
		}
		else if (const auto* request = std::get_if<RequestRecords>(&action))
		{
			_actions.push_back(*request);
		}
		else if (const auto* adopted = std::get_if<TableAdopted>(&action))
		{
			_actions.push_back(*adopted);
		}
	}
	for (auto it = _core.guardedSubmits.begin(); it != _core.guardedSubmits.end();)
	{
		const bool isPending = _core.guard.entries.count(it->first) != 0;
		it = isPending ? std::next(it) : _core.guardedSubmits.erase(it);
	}
}

void submitGuarded(AgentCore& _core, LinkId _from, const Submit& _submit, TimeUs _now, int64_t _wallMs,
				   AgentActions& _actions)
{
	const std::string body = _submit.method + " " + _submit.path + "\n" + _submit.body;
	GuardedCall guarded;
	guarded.key = _submit.callId;
	guarded.bodyHash = fmt::format("{:016x}", stableHash(body));
	guarded.keyCreatedMs = keyCreatedMs(_submit.key);
	guarded.waiter = {_from, _submit.attempt};
	_core.guardedSubmits.emplace(guarded.key, _submit);
	GuardActions guardActions;
	beginCall(_core.guard, guarded, _now, _wallMs, guardActions);
	applyGuardActions(_core, guardActions, _now, _wallMs, _actions);
}

Bill makeBill(AgentCore& _core, const Work& _work, uint32_t _promptTokens, uint32_t _outputTokens)
{
	Bill bill;
	bill.owner = _work.submit.billOwner;
	bill.seq = _work.submit.billSeq;
	bill.request = _work.submit.request;
	bill.account = _work.submit.account;
	bill.what = billedName(_work.submit);
	bill.promptTokens = _promptTokens;
	bill.outputTokens = _outputTokens;
	const auto version = _core.config.versions.find(_work.submit.version);
	const double perKilo = version == _core.config.versions.end() ? 0.0 : version->second.costPerKiloToken;
	bill.cost = double(_promptTokens + _outputTokens) / 1000.0 * perKilo;
	retainBill(_core.bills, bill);
	return bill;
}

/// Completes run-once work. The bill goes to the first waiter, since its call is the one that ran.
void finishGuarded(AgentCore& _core, const std::string& _key, const CallAnswer& _answer, const Bill& _bill,
				   TimeUs _now, int64_t _wallMs, AgentActions& _actions)
{
	GuardActions guardActions;
	finishCall(_core.guard, _key, _answer, guardActions);
	bool billed = false;
	for (const GuardAction& action : guardActions)
	{
		const auto* replay = std::get_if<ReplayAnswer>(&action);
		if (replay != nullptr && !billed)
		{
			sendCompleteAnswer(replay->waiter, replay->answer, _bill, _actions);
			billed = true;
		}
		else
		{
			GuardActions one{action};
			applyGuardActions(_core, one, _now, _wallMs, _actions);
		}
	}
}
} // namespace

AgentCore createAgentCore(const AgentInit& _init)
{
	AgentCore core;
	core.init = _init;
	core.queue = createAdmissionQueue(_init.admission);
	core.guard.self = _init.self.incarnation;
	core.guard.limits = _init.runOnce;
	core.guard.table.pool = _init.self.pool;
	return core;
}

void onSubmit(AgentCore& _core, LinkId _from, const Submit& _submit, TimeUs _now, int64_t _wallMs,
			  AgentActions& _actions)
{
	++_core.stats.submitted;
	const TimeUs deadline = _now + TimeUs(_submit.deadlineMs) * kMsToUs;
	if (const std::optional<Refusal> refusal = checkSubmit(_core, _submit, deadline, _now))
	{
		refuse(_core, _from, _submit.attempt, *refusal, _actions);
		return;
	}
	if (_submit.runOnce)
	{
		submitGuarded(_core, _from, _submit, _now, _wallMs, _actions);
		return;
	}
	admitWork(_core, _from, _submit, "", _now, _wallMs, _actions);
}

void onCancel(AgentCore& _core, LinkId _from, uint64_t _attempt, TimeUs _now, int64_t _wallMs,
			  AgentActions& _actions)
{
	for (auto& [idx, work] : _core.workItems)
	{
		const bool match = work.link == _from && work.submit.attempt == _attempt && work.guardKey.empty();
		if (!match)
		{
			continue;
		}
		++_core.stats.cancelled;
		const WorkId id{idx};
		if (work.forwarded)
		{
			work.cancelled = true;
			_actions.push_back(CancelWork{id});
			return;
		}
		removeWork(_core, id, 0, 0.0);
		startQueuedWork(_core, _now, _wallMs, _actions);
		return;
	}
}

void onLinkDown(AgentCore& _core, LinkId _link, TimeUs _now, int64_t _wallMs, AgentActions& _actions)
{
	std::vector<uint64_t> attempts;
	for (const auto& [idx, work] : _core.workItems)
	{
		if (work.link == _link && work.guardKey.empty())
		{
			attempts.push_back(work.submit.attempt);
		}
	}
	for (const uint64_t attempt : attempts)
	{
		onCancel(_core, _link, attempt, _now, _wallMs, _actions);
	}
}

void onUpstreamAnswerStart(AgentCore& _core, WorkId _work, int _status, const std::string& _contentType,
						   TimeUs _now, AgentActions& _actions)
{
	const auto found = _core.workItems.find(_work.idx);
	if (found == _core.workItems.end())
	{
		return;
	}
	Work& work = found->second;
	work.status = _status;
	work.contentType = _contentType;
	work.answerBeganAt = _now;
	if (work.guardKey.empty() && !work.cancelled)
	{
		_actions.push_back(ReplyStart{work.link, {work.submit.attempt, _status, _contentType}});
	}
}

bool onUpstreamAnswerPart(AgentCore& _core, WorkId _work, std::string _data, AgentActions& _actions)
{
	const auto found = _core.workItems.find(_work.idx);
	if (found == _core.workItems.end())
	{
		return true;
	}
	Work& work = found->second;
	work.outputBytes += _data.size();
	if (!work.guardKey.empty())
	{
		return appendHeld(_core.buffers, work.heldBytes, work.buffer, _data);
	}
	if (!work.cancelled)
	{
		_actions.push_back(ReplyPart{work.link, {work.submit.attempt, work.parts, std::move(_data)}});
		++work.parts;
	}
	return true;
}

namespace
{
/// An answer clears the request, and one on its prompt the parts of that too.
void recordAnswered(AgentCore& _core, const Work& _work, const AnswerSummary& _end, TimeUs _now)
{
	const SuspectSubjects subjects = subjectsOf(_work.submit);
	recordAnswered(_core.suspects, subjects.request, _now);
	if (_work.status == status::kOk && !_end.endsWithConnection)
	{
		recordHarmlessParts(_core.suspects, subjects, _now);
	}
}
} // namespace

void onUpstreamAnswerEnd(AgentCore& _core, WorkId _work, const AnswerSummary& _end, TimeUs _now,
						 int64_t _wallMs, AgentActions& _actions)
{
	const auto found = _core.workItems.find(_work.idx);
	if (found == _core.workItems.end())
	{
		return;
	}
	++_core.stats.ended;
	_core.upstreamDown = false;
	recordAnswered(_core, found->second, _end, _now);
	const Work work = std::move(found->second);
	removeWork(_core, _work, uint64_t(_end.promptTokens) + _end.outputTokens, _end.seconds);
	const bool billable = work.status < 500 && !work.cancelled; // Undelivered answers are not billed.
	const Bill bill = billable ? makeBill(_core, work, _end.promptTokens, _end.outputTokens) : Bill{};
	if (!work.guardKey.empty())
	{
		const CallAnswer answer{work.status, work.contentType, work.buffer, false};
		finishGuarded(_core, work.guardKey, answer, bill, _now, _wallMs, _actions);
	}
	else if (!work.cancelled)
	{
		_actions.push_back(
			ReplyEnd{work.link, {work.submit.attempt, work.parts, _end.confidence, false, bill}});
	}
	startQueuedWork(_core, _now, _wallMs, _actions);
}

void onSuspects(AgentCore& _core, const Suspects& _update, TimeUs _now)
{
	applySuspectUpdates(_core.suspects, _update.suspects, _now);
}

namespace
{
/// @returns Key of the upstream's next crash, or of the last one if it has not answered since.
UpstreamKey crashKey(const AgentCore& _core)
{
	return keyOf(_core.init.self.incarnation, _core.upstreamIncarnations + (_core.upstreamDown ? 0 : 1));
}

std::string labelOf(const Work& _work)
{
	return fmt::format("{} {}", _work.submit.account, _work.submit.path);
}

uint32_t upstreamsInUse(const AgentCore& _core)
{
	return std::max(1u, uint32_t(_core.guard.table.members.size()));
}

/// The upstream may be running a request whose call was closed.
void recordCancelled(AgentCore& _core, const Work& _work, TimeUs _now)
{
	recordAbandoned(_core.abandoned, crashKey(_core),
					{subjectsOf(_work.submit), _work.submit.request, labelOf(_work), _work.startedAt,
					 _work.answerBeganAt, _now, upstreamsInUse(_core)});
	takeAtKnownCrashes(_core.abandoned, _core.suspects, _now); // Removes those that are too old.
}

/// Records that the upstream terminated against the requests whose calls were closed just before.
void recordCrashAfterCancel(AgentCore& _core, TimeUs _now)
{
	const std::vector<AbandonedAtCrash> cancelled = takeAtEnd(_core.abandoned, crashKey(_core), _now);
	_core.stats.suspectsRefused += recordInterrupted(_core.suspects, cancelled, _now).size();
}

/// Records that the upstream terminated while it was running a request.
void recordUpstreamCrash(AgentCore& _core, const Work& _work, TimeUs _now)
{
	++_core.stats.interruptedAttempts;
	recordCrashAfterCancel(_core, _now);
	_core.upstreamIncarnations += _core.upstreamDown ? 0 : 1;
	_core.upstreamDown = true;
	const SuspectSubjects subjects = subjectsOf(_work.submit);
	const SuspectMatch match = matchSuspects(_core.suspects, subjects, _now);
	if (match.state == SuspectState::ProbeDue)
	{
		beginProbe(_core.suspects, match.digest);
	}
	ObservedCrash crash{crashKey(_core), _now, _now - _work.startedAt, upstreamsInUse(_core), 0};
	crash.writingFor = _work.answerBeganAt == 0 ? 0 : std::max<TimeUs>(1, _now - _work.answerBeganAt);
	_core.stats.suspectsRefused +=
		recordInterrupted(_core.suspects, subjects, labelOf(_work), crash, _now).size();
}
} // namespace

void onUpstreamFailed(AgentCore& _core, WorkId _work, const UpstreamFailure& _failure, TimeUs _now,
					  int64_t _wallMs, AgentActions& _actions)
{
	const auto found = _core.workItems.find(_work.idx);
	if (found == _core.workItems.end())
	{
		return;
	}
	++_core.stats.failed;
	const Refusal refusal{ErrorCode::UpstreamFailed, _failure.sent ? RunState::Unknown : RunState::No, 0,
						  _failure.detail};
	if (_failure.sent && _failure.upstreamDown)
	{
		recordUpstreamCrash(_core, found->second, _now);
	}
	else if (_failure.upstreamDown)
	{
		recordCrashAfterCancel(_core, _now);
	}
	else if (found->second.cancelled)
	{
		recordCancelled(_core, found->second, _now);
	}
	if (!_failure.sent)
	{
		refuseWork(_core, _work, refusal, _now, _wallMs, _actions);
		startQueuedWork(_core, _now, _wallMs, _actions);
		return;
	}
	const Work work = std::move(found->second);
	removeWork(_core, _work, 0, 0.0);
	if (!work.guardKey.empty())
	{
		finishGuarded(_core, work.guardKey, CallAnswer{0, "", "", true}, Bill{}, _now, _wallMs, _actions);
	}
	else if (!work.cancelled)
	{
		refuse(_core, work.link, work.submit.attempt, refusal, _actions);
	}
	startQueuedWork(_core, _now, _wallMs, _actions);
}

IntentReply onIntent(AgentCore& _core, const Intent& _intent, TimeUs _now, int64_t _wallMs,
					 AgentActions& _actions)
{
	GuardActions guardActions;
	IntentReply reply = handleIntent(_core.guard, _intent, _now, _wallMs, guardActions);
	applyGuardActions(_core, guardActions, _now, _wallMs, _actions);
	return reply;
}

void onIntentReply(AgentCore& _core, const std::string& _from, const IntentReply& _reply, TimeUs _now,
				   int64_t _wallMs, AgentActions& _actions)
{
	GuardActions guardActions;
	handleIntentReply(_core.guard, _from, _reply, _now, guardActions);
	applyGuardActions(_core, guardActions, _now, _wallMs, _actions);
}

void onTable(AgentCore& _core, const HomeTable& _table, TimeUs _now, int64_t _wallMs, AgentActions& _actions)
{
	GuardActions guardActions;
	adoptTable(_core.guard, _table, _now, guardActions);
	applyGuardActions(_core, guardActions, _now, _wallMs, _actions);
}

bool onHalt(AgentCore& _core, const Halt& _halt)
{
	return applyHalt(_core.config, _halt);
}

RolloutVerdict onRatings(AgentCore& _core, const std::string& _version, const RatingTally& _tally,
						 AgentActions& _actions)
{
	const Rollout* rollout = rolloutOf(_core.config, _version);
	const auto version = _core.config.versions.find(_version);
	if (rollout == nullptr || version == _core.config.versions.end())
	{
		return RolloutVerdict::Undecided;
	}
	const RolloutVerdict verdict = judgeRatings(_tally, *rollout);
	const Halt halt{_version, version->second.generation,
					fmt::format("{} bad of {} ratings", _tally.bad, _tally.good + _tally.bad)};
	if (verdict == RolloutVerdict::Halt && onHalt(_core, halt))
	{
		_actions.push_back(AnnounceHalt{halt});
	}
	return verdict;
}

void onDrift(AgentCore& _core, const std::string& _version, const RatingTally& _ratings,
			 AgentActions& _actions)
{
	const auto version = _core.config.versions.find(_version);
	if (version == _core.config.versions.end())
	{
		return;
	}
	DriftWatch& watch = _core.drift[_version];
	if (!observe(watch, _ratings, version->second.badRate, version->second.haltRate))
	{
		return;
	}
	watch = DriftWatch{};
	const Halt halt{_version, version->second.generation, "its quality dropped while it was serving"};
	if (onHalt(_core, halt))
	{
		_actions.push_back(AnnounceHalt{halt});
	}
}

bool watchesRatings(const AgentCore& _core, const std::string& _version)
{
	constexpr size_t kWatchers = 2;
	const std::vector<HomeMember>& members = _core.guard.table.members;
	const std::vector<size_t> rank = rankMembers(members, _version);
	for (size_t ii = 0; ii < std::min(kWatchers, rank.size()); ++ii)
	{
		if (members[rank[ii]].incarnation == _core.init.self.incarnation)
		{
			return true;
		}
	}
	return rank.empty();
}

void tick(AgentCore& _core, TimeUs _now, int64_t _wallMs, AgentActions& _actions)
{
	_core.stats.suspectsRefused += decidePendingParts(_core.suspects, _now).size();
	std::vector<uint64_t> late;
	for (const auto& [idx, work] : _core.workItems)
	{
		if (!work.forwarded && _now >= work.deadline)
		{
			late.push_back(idx);
		}
	}
	std::sort(late.begin(), late.end());
	for (const uint64_t idx : late)
	{
		const Refusal refusal{ErrorCode::DeadlinePassed, RunState::No, 0,
							  "the deadline passed while the request was queued"};
		refuseWork(_core, WorkId{idx}, refusal, _now, _wallMs, _actions);
	}
	GuardActions guardActions;
	tick(_core.guard, _now, _wallMs, guardActions);
	applyGuardActions(_core, guardActions, _now, _wallMs, _actions);
	startQueuedWork(_core, _now, _wallMs, _actions);
}

LoadReport loadReport(const AgentCore& _core)
{
	LoadReport report;
	report.running = uint32_t(_core.queue.running.size());
	report.queued = uint32_t(_core.queue.waiting.size());
	report.slots = _core.queue.limits.slots;
	report.secondsPerToken = _core.queue.secondsPerToken;
	for (const auto& [idx, work] : _core.workItems)
	{
		report.prefillBacklog += work.forwarded ? 0 : work.submit.promptTokens;
	}
	report.billsFull = _core.bills.count >= _core.init.maxUnflushedBills;
	return report;
}

bool isDrained(const AgentCore& _core)
{
	return _core.workItems.empty() && _core.guardedSubmits.empty() && _core.bills.count == 0;
}
} // namespace spanplank
