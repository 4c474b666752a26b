#include "spanplank/run_once.h"

#include <algorithm>

namespace spanplank
{
namespace
{
using Entry = RunOnceGuard::Entry;

constexpr size_t kNoMember = SIZE_MAX;

size_t memberIndex(const HomeTable& _table, std::string_view _incarnation)
{
	for (size_t ii = 0; ii < _table.members.size(); ++ii)
	{
		if (_table.members[ii].incarnation == _incarnation)
		{
			return ii;
		}
	}
	return kNoMember;
}

Refusal homeChangingRefusal(const char* _why)
{
	return Refusal{ErrorCode::HomeChanging, RunState::No, kHomeChangeRetryMs, _why};
}

Refusal inDoubtRefusal()
{
	return Refusal{ErrorCode::InDoubt, RunState::Unknown, 0, "a call with this key may have run"};
}

void refuse(RunOnceGuard& _guard, const CallWaiter& _waiter, Refusal _refusal, GuardActions& _actions)
{
	++_guard.stats.refused;
	if (_refusal.code == ErrorCode::InDoubt)
	{
		++_guard.stats.inDoubt;
	}
	_actions.push_back(RefuseCall{_waiter, std::move(_refusal)});
}

void appendLog(RunOnceGuard& _guard, Entry& _entry)
{
	if (_entry.logIndex != 0)
	{
		_guard.log.erase(_entry.logIndex);
	}
	_entry.logIndex = ++_guard.logEnd;
	_guard.log[_entry.logIndex] = _entry.record.key;
}

void storeAnswer(RunOnceGuard& _guard, Entry& _entry, CallAnswer _answer)
{
	const size_t size = _answer.body.size();
	if (_guard.answerBytes + size > _guard.limits.answerBytes)
	{
		_answer.body.clear();
		_answer.unknown = true;
	}
	else
	{
		_guard.answerBytes += size;
	}
	_entry.record.answer = std::move(_answer);
	_entry.record.state = CallState::Done;
	appendLog(_guard, _entry);
}

void eraseEntry(RunOnceGuard& _guard, const std::string& _key)
{
	const auto found = _guard.entries.find(_key);
	if (found == _guard.entries.end())
	{
		return;
	}
	if (found->second.logIndex != 0)
	{
		_guard.log.erase(found->second.logIndex);
	}
	_guard.answerBytes -= std::min(_guard.answerBytes, found->second.record.answer.body.size());
	_guard.entries.erase(found);
}

/// @returns The incarnation of the successor of a key whose primary is this member; empty if there is none.
std::string successorOf(const RunOnceGuard& _guard, std::string_view _key)
{
	const std::vector<size_t> rank = rankMembers(_guard.table.members, _key);
	return rank.size() < 2 ? std::string() : _guard.table.members[rank[1]].incarnation;
}

bool isPrimary(const RunOnceGuard& _guard, std::string_view _key)
{
	const std::vector<size_t> rank = rankMembers(_guard.table.members, _key);
	return !rank.empty() && _guard.table.members[rank[0]].incarnation == _guard.self;
}

/// Handles a call whose key already has a record.
void handleRecordedCall(RunOnceGuard& _guard, Entry& _entry, const GuardedCall& _call, GuardActions& _actions)
{
	if (_entry.record.bodyHash != _call.bodyHash)
	{
		refuse(
			_guard, _call.waiter,
			Refusal{ErrorCode::KeyReused, RunState::No, 0, "the key was already used with a different body"},
			_actions);
		return;
	}
	switch (_entry.record.state)
	{
	case CallState::IntentPending:
	case CallState::Running:
		++_guard.stats.joined;
		_entry.waiters.push_back(_call.waiter);
		break;
	case CallState::Done:
		if (_entry.record.answer.unknown)
		{
			refuse(_guard, _call.waiter, inDoubtRefusal(), _actions);
			break;
		}
		++_guard.stats.replayed;
		_actions.push_back(ReplayAnswer{_call.waiter, _entry.record.answer});
		break;
	case CallState::InDoubt:
		refuse(_guard, _call.waiter, inDoubtRefusal(), _actions);
		break;
	}
}

/// @returns The reason why a key without a record must not run now, or nothing if it may.
std::optional<Refusal> refusalFor(const RunOnceGuard& _guard, const GuardedCall& _call, int64_t _wallMs)
{
	if (_call.keyCreatedMs && *_call.keyCreatedMs > _wallMs + kClockSkewMs)
	{
		return Refusal{ErrorCode::BadRequest, RunState::No, 0,
					   "the creation time of the key is in the future"};
	}
	if (!isPrimary(_guard, _call.key))
	{
		return homeChangingRefusal("this agent is not the home of the key");
	}
	if (!isSynced(_guard) || _guard.resigned)
	{
		return homeChangingRefusal("the home of the key is not ready");
	}
	if (_guard.entries.size() >= _guard.limits.maxKeys)
	{
		return Refusal{ErrorCode::Overloaded, RunState::No, 60000, "too many keys are recorded"};
	}
	const bool createdAfterLoss =
		_call.keyCreatedMs && *_call.keyCreatedMs - kClockSkewMs > _guard.table.doubtBeforeMs;
	const bool doubtExpired = _wallMs > _guard.table.doubtBeforeMs + _guard.limits.retentionMs;
	if (_guard.table.doubtBeforeMs > 0 && !createdAfterLoss && !doubtExpired)
	{
		return inDoubtRefusal();
	}
	return std::nullopt;
}

void startRun(RunOnceGuard& _guard, Entry& _entry, GuardActions& _actions)
{
	++_guard.stats.run;
	_entry.record.state = CallState::Running;
	appendLog(_guard, _entry);
	_actions.push_back(RunCall{_entry.record.key, _entry.waiters.front()});
}

void refuseWaiters(RunOnceGuard& _guard, Entry& _entry, const Refusal& _refusal, GuardActions& _actions)
{
	const std::vector<CallWaiter> waiters = std::move(_entry.waiters);
	_entry.waiters.clear();
	for (const CallWaiter& waiter : waiters)
	{
		refuse(_guard, waiter, _refusal, _actions);
	}
}

/// Cancels the pending intents sent up to a time. None of their calls has run.
void cancelPendingIntents(RunOnceGuard& _guard, TimeUs _sentBefore, const char* _why, GuardActions& _actions)
{
	std::vector<std::string> cancelled;
	for (auto& [key, entry] : _guard.entries)
	{
		if (entry.record.state == CallState::IntentPending && entry.intentSentAt <= _sentBefore)
		{
			refuseWaiters(_guard, entry, homeChangingRefusal(_why), _actions);
			_actions.push_back(SendOutcome{entry.successor, Outcome{key, entry.record.ask, true, {}}});
			cancelled.push_back(key);
		}
	}
	for (const std::string& key : cancelled)
	{
		eraseEntry(_guard, key);
	}
}

/// Merges a record of another member. A call that another member may have run is never run by this one.
void mergeRecord(RunOnceGuard& _guard, const CallRecord& _record)
{
	if (_record.owner == _guard.self && _guard.entries.find(_record.key) == _guard.entries.end())
	{
		return; // This process released the call, so its own state is more accurate than the copy.
	}
	Entry& entry = _guard.entries[_record.key];
	const bool isNew = entry.record.key.empty();
	const bool hasAnswer = _record.state == CallState::Done && entry.record.state == CallState::InDoubt;
	if (!isNew && !hasAnswer)
	{
		return;
	}
	const CallAnswer answer = _record.answer;
	entry.record = _record;
	entry.record.answer = {};
	if (_record.state == CallState::Done)
	{
		storeAnswer(_guard, entry, answer);
		return;
	}
	entry.record.state = CallState::InDoubt;
	appendLog(_guard, entry);
}
} // namespace

std::string callKey(std::string_view _account, std::string_view _service, std::string_view _key)
{
	std::string text(_account);
	text.push_back('\0');
	text.append(_service);
	text.push_back('\0');
	text.append(_key);
	return sha256Hex(text).substr(0, 32);
}

std::optional<int64_t> keyCreatedMs(std::string_view _key)
{
	constexpr size_t kUuidSize = 36;
	constexpr size_t kVersionAt = 14;
	if (_key.size() != kUuidSize || _key[8] != '-' || _key[13] != '-' || _key[kVersionAt] != '7')
	{
		return std::nullopt;
	}
	int64_t birth = 0;
	for (size_t ii = 0; ii < 13; ++ii)
	{
		const char digit = _key[ii];
		if (ii == 8)
		{
			continue;
		}
		const bool decimal = digit >= '0' && digit <= '9';
		const char lower = char(digit | 0x20);
		if (!decimal && (lower < 'a' || lower > 'f'))
		{
			return std::nullopt;
		}
		birth = birth * 16 + (decimal ? digit - '0' : lower - 'a' + 10);
	}
	return birth;
}

std::vector<size_t> rankMembers(absl::Span<const HomeMember> _members, std::string_view _key)
{
	std::vector<std::pair<uint64_t, size_t>> scores;
	scores.reserve(_members.size());
	for (size_t ii = 0; ii < _members.size(); ++ii)
	{
		scores.emplace_back(stableHash(_members[ii].incarnation, stableHash(_key)), ii);
	}
	std::sort(scores.begin(), scores.end(), std::greater<>());
	std::vector<size_t> rank;
	rank.reserve(scores.size());
	for (const auto& score : scores)
	{
		rank.push_back(score.second);
	}
	return rank;
}

bool isMember(const HomeTable& _table, std::string_view _incarnation)
{
	return memberIndex(_table, _incarnation) != kNoMember;
}

bool isSynced(const RunOnceGuard& _guard)
{
	if (!isMember(_guard.table, _guard.self))
	{
		return false;
	}
	for (const HomeMember& member : _guard.table.members)
	{
		const auto pulled = _guard.pulledEpoch.find(member.incarnation);
		const bool isCurrent = pulled != _guard.pulledEpoch.end() && pulled->second >= _guard.table.epoch;
		if (member.incarnation != _guard.self && !isCurrent)
		{
			return false;
		}
	}
	return true;
}

void beginCall(RunOnceGuard& _guard, const GuardedCall& _call, TimeUs _now, int64_t _wallMs,
			   GuardActions& _actions)
{
	const auto known = _guard.entries.find(_call.key);
	if (known != _guard.entries.end())
	{
		handleRecordedCall(_guard, known->second, _call, _actions);
		return;
	}
	if (const std::optional<Refusal> refusal = refusalFor(_guard, _call, _wallMs))
	{
		refuse(_guard, _call.waiter, *refusal, _actions);
		return;
	}
	Entry& entry = _guard.entries[_call.key];
	entry.record = {_call.key,           _call.bodyHash, _guard.self, CallState::IntentPending,
					_guard.nextIntent++, _wallMs,        {}};
	entry.waiters.push_back(_call.waiter);
	entry.intentSentAt = _now;
	entry.successor = successorOf(_guard, _call.key);
	if (entry.successor.empty() || !_guard.limits.replicateIntent)
	{
		startRun(_guard, entry, _actions);
		return;
	}
	_actions.push_back(SendIntent{
		entry.successor, Intent{_call.key, _call.bodyHash, _guard.self, entry.record.ask, _guard.table}});
}

void finishCall(RunOnceGuard& _guard, const std::string& _key, const CallAnswer& _answer,
				GuardActions& _actions)
{
	const auto found = _guard.entries.find(_key);
	if (found == _guard.entries.end() || found->second.record.state != CallState::Running)
	{
		return;
	}
	Entry& entry = found->second;
	if (!entry.successor.empty())
	{
		_actions.push_back(SendOutcome{entry.successor, Outcome{_key, entry.record.ask, false, _answer}});
	}
	storeAnswer(_guard, entry, _answer);
	const std::vector<CallWaiter> waiters = std::move(entry.waiters);
	entry.waiters.clear();
	for (const CallWaiter& waiter : waiters)
	{
		if (_answer.unknown)
		{
			refuse(_guard, waiter,
				   Refusal{ErrorCode::UpstreamLost, RunState::Unknown, 0,
						   "the upstream was lost during the call"},
				   _actions);
			continue;
		}
		_actions.push_back(ReplayAnswer{waiter, _answer});
	}
}

void releaseCall(RunOnceGuard& _guard, const std::string& _key, const Refusal& _refusal,
				 GuardActions& _actions)
{
	const auto found = _guard.entries.find(_key);
	if (found == _guard.entries.end() || found->second.record.state != CallState::Running)
	{
		return;
	}
	refuseWaiters(_guard, found->second, _refusal, _actions);
	if (!found->second.successor.empty())
	{
		_actions.push_back(
			SendOutcome{found->second.successor, Outcome{_key, found->second.record.ask, true, {}}});
	}
	eraseEntry(_guard, _key);
}

IntentReply handleIntent(RunOnceGuard& _guard, const Intent& _intent, TimeUs _now, int64_t _wallMs,
						 GuardActions& _actions)
{
	IntentReply reply;
	reply.key = _intent.key;
	reply.ask = _intent.ask;
	adoptTable(_guard, _intent.table, _now, _actions);
	if (_intent.table.epoch < _guard.table.epoch)
	{
		reply.table = _guard.table;
		return reply;
	}
	const std::vector<size_t> rank = rankMembers(_guard.table.members, _intent.key);
	const bool ranksMatch = rank.size() >= 2 && _guard.table.members[rank[0]].incarnation == _intent.owner &&
							_guard.table.members[rank[1]].incarnation == _guard.self;
	if (!ranksMatch || _guard.resigned)
	{
		return reply;
	}
	const auto known = _guard.entries.find(_intent.key);
	if (known != _guard.entries.end())
	{
		// The owner sends another intent for a key only if it released the call without running it.
		CallRecord& record = known->second.record;
		const bool stale = _intent.ask < record.ask;
		reply.granted = record.owner == _intent.owner && record.state == CallState::InDoubt && !stale;
		if (reply.granted)
		{
			record.bodyHash = _intent.bodyHash;
			record.ask = _intent.ask;
			return reply;
		}
		reply.known = true;
		reply.record = record;
		return reply;
	}
	if (_guard.entries.size() >= _guard.limits.maxKeys)
	{
		return reply;
	}
	Entry& entry = _guard.entries[_intent.key];
	entry.record = {_intent.key, _intent.bodyHash, _intent.owner, CallState::InDoubt, _intent.ask, _wallMs,
					{}};
	appendLog(_guard, entry);
	reply.granted = true;
	return reply;
}

void handleIntentReply(RunOnceGuard& _guard, const std::string& _from, const IntentReply& _reply, TimeUs _now,
					   GuardActions& _actions)
{
	const auto found = _guard.entries.find(_reply.key);
	const bool isPending = found != _guard.entries.end() &&
						   found->second.record.state == CallState::IntentPending &&
						   found->second.successor == _from && found->second.record.ask == _reply.ask;
	if (!isPending)
	{
		adoptTable(_guard, _reply.table, _now, _actions);
		return;
	}
	Entry& entry = found->second;
	if (_reply.granted)
	{
		startRun(_guard, entry, _actions);
		return;
	}
	const std::vector<CallWaiter> waiters = std::move(entry.waiters);
	const std::string bodyHash = entry.record.bodyHash;
	eraseEntry(_guard, _reply.key);
	if (!_reply.known)
	{
		for (const CallWaiter& waiter : waiters)
		{
			refuse(_guard, waiter, homeChangingRefusal("the successor did not grant the call"), _actions);
		}
		adoptTable(_guard, _reply.table, _now, _actions);
		return;
	}
	mergeRecord(_guard, _reply.record);
	const auto merged = _guard.entries.find(_reply.key);
	for (const CallWaiter& waiter : waiters)
	{
		if (merged == _guard.entries.end())
		{
			refuse(_guard, waiter, homeChangingRefusal("the successor did not grant the call"), _actions);
			continue;
		}
		handleRecordedCall(_guard, merged->second, GuardedCall{_reply.key, bodyHash, std::nullopt, waiter},
						   _actions);
	}
}

void handleOutcome(RunOnceGuard& _guard, const Outcome& _outcome)
{
	const auto found = _guard.entries.find(_outcome.key);
	const bool matches = found != _guard.entries.end() && found->second.record.state == CallState::InDoubt &&
						 found->second.record.ask == _outcome.ask;
	if (!matches)
	{
		return; // It completes a superseded intent; the one granted since then stays valid.
	}
	if (_outcome.released)
	{
		eraseEntry(_guard, _outcome.key);
		return;
	}
	storeAnswer(_guard, found->second, _outcome.answer);
}

void adoptTable(RunOnceGuard& _guard, const HomeTable& _table, TimeUs _now, GuardActions& _actions)
{
	if (_table.epoch < _guard.table.epoch || _table.epoch == 0)
	{
		return;
	}
	if (_table.epoch == _guard.table.epoch)
	{
		for (const HomeMember& member : _table.members)
		{
			const size_t at = memberIndex(_guard.table, member.incarnation);
			if (at != kNoMember && member.settledEpoch > _guard.table.members[at].settledEpoch)
			{
				_guard.table.members[at].settledEpoch = member.settledEpoch;
			}
		}
		return;
	}
	_guard.table = _table;
	cancelPendingIntents(_guard, INT64_MAX, "the home of the key is changing", _actions);
	_actions.push_back(TableAdopted{_table.epoch});
	tick(_guard, _now, 0, _actions);
}

RecordsMessage recordsFor(const RunOnceGuard& _guard, const RecordsRequest& _request)
{
	RecordsMessage message;
	message.epoch = _guard.table.epoch;
	message.upTo = _guard.logEnd;
	for (auto it = _guard.log.upper_bound(_request.from); it != _guard.log.end(); ++it)
	{
		message.records.push_back(_guard.entries.at(it->second).record);
	}
	return message;
}

void handleRecords(RunOnceGuard& _guard, const std::string& _from, const RecordsMessage& _records)
{
	for (const CallRecord& record : _records.records)
	{
		mergeRecord(_guard, record);
	}
	uint64_t& upTo = _guard.pulledUpTo[_from];
	upTo = std::max(upTo, _records.upTo);
	uint64_t& epoch = _guard.pulledEpoch[_from];
	epoch = std::max(epoch, _records.epoch);
}

void tick(RunOnceGuard& _guard, TimeUs _now, int64_t _wallMs, GuardActions& _actions)
{
	cancelPendingIntents(_guard, _now - _guard.limits.intentTimeoutUs, "the successor did not answer in time",
						 _actions);
	if (isMember(_guard.table, _guard.self))
	{
		for (const HomeMember& member : _guard.table.members)
		{
			if (member.incarnation != _guard.self &&
				_guard.pulledEpoch[member.incarnation] < _guard.table.epoch)
			{
				_actions.push_back(RequestRecords{
					member.incarnation,
					RecordsRequest{_guard.table.epoch, _guard.pulledUpTo[member.incarnation]}});
			}
		}
	}
	std::vector<std::string> expired;
	for (const auto& [position, key] : _guard.log)
	{
		const Entry& entry = _guard.entries.at(key);
		const bool isFinal =
			entry.record.state == CallState::Done || entry.record.state == CallState::InDoubt;
		if (_wallMs == 0 || entry.record.seenMs + _guard.limits.retentionMs > _wallMs)
		{
			break; // The log is almost sorted by age; entries out of order are removed in a later tick.
		}
		if (isFinal)
		{
			expired.push_back(key);
		}
	}
	for (const std::string& key : expired)
	{
		eraseEntry(_guard, key);
	}
}

namespace
{
const MemberStatus* findStatus(absl::Span<const MemberStatus> _statuses, std::string_view _incarnation)
{
	for (const MemberStatus& status : _statuses)
	{
		if (status.incarnation == _incarnation)
		{
			return &status;
		}
	}
	return nullptr;
}

/// A removal loses no record if all remaining members hold all records and there is at least one of them.
bool removalIsSafe(const HomeTable& _table, size_t _removed)
{
	for (size_t ii = 0; ii < _table.members.size(); ++ii)
	{
		if (ii != _removed && _table.members[ii].settledEpoch != _table.epoch)
		{
			return false;
		}
	}
	return _table.members.size() >= 2;
}

HomeTable withoutMember(const HomeTable& _table, size_t _removed, int64_t _wallMs)
{
	HomeTable next = _table;
	if (!removalIsSafe(_table, _removed))
	{
		next.doubtBeforeMs = std::max(next.doubtBeforeMs, _wallMs + kClockSkewMs);
	}
	next.members.erase(next.members.begin() + std::ptrdiff_t(_removed));
	++next.epoch;
	return next;
}

/// @returns Whether a member has certainly terminated and is not merely unreachable.
bool isDead(const HomeMember& _member, const ProposalInput& _input, absl::Span<const MemberStatus> _statuses)
{
	const bool ownBox = _member.box == _input.self.box; // A previous incarnation on this box.
	const MemberStatus* status = findStatus(_statuses, _member.incarnation);
	return ownBox || (status != nullptr && status->confirmedDead);
}

bool isSuspect(const HomeMember& _member, const ProposalInput& _input,
			   absl::Span<const MemberStatus> _statuses)
{
	const MemberStatus* status = findStatus(_statuses, _member.incarnation);
	return status != nullptr && !status->linked && status->unreachableFor >= _input.suspectAfterUs;
}

/// @returns Whether at least half of the members are reachable. An agent that is itself isolated must not
/// remove the others on a suspicion.
bool reachesHalf(const HomeTable& _table, const ProposalInput& _input,
				 absl::Span<const MemberStatus> _statuses)
{
	size_t reached = 0;
	for (const HomeMember& member : _table.members)
	{
		const MemberStatus* status = findStatus(_statuses, member.incarnation);
		if (member.incarnation == _input.self.incarnation || (status != nullptr && status->linked))
		{
			++reached;
		}
	}
	return reached * 2 >= _table.members.size();
}

/// @returns Whether a member may be removed from the table. Unreachable members may still run and grant each
/// other calls, as they haven't received the removal. A remaining member that has pulled all records refuses
/// those calls; without one, a removal is safe only if the removed member has certainly terminated.
bool mayRemove(const HomeTable& _table, size_t _at, const ProposalInput& _input,
			   absl::Span<const MemberStatus> _statuses)
{
	const HomeMember& member = _table.members[_at];
	if (member.incarnation == _input.self.incarnation)
	{
		return false;
	}
	const bool suspect = isSuspect(member, _input, _statuses) && reachesHalf(_table, _input, _statuses);
	return isDead(member, _input, _statuses) || (suspect && removalIsSafe(_table, _at));
}
} // namespace

std::optional<HomeTable> proposeTable(const RunOnceGuard& _guard, const HomeTable& _current,
									  const ProposalInput& _input, absl::Span<const MemberStatus> _statuses)
{
	const size_t self = memberIndex(_current, _input.self.incarnation);
	if (_input.leaving)
	{
		const bool others = _current.members.size() >= 2;
		const bool ready = self != kNoMember && (!others || removalIsSafe(_current, self));
		return ready ? std::optional<HomeTable>(withoutMember(_current, self, _input.wallMs)) : std::nullopt;
	}
	for (size_t ii = 0; ii < _current.members.size(); ++ii)
	{
		if (mayRemove(_current, ii, _input, _statuses))
		{
			return withoutMember(_current, ii, _input.wallMs);
		}
	}
	HomeTable next = _current;
	if (self == kNoMember)
	{
		next.members.push_back(HomeMember{_input.self.incarnation, _input.self.box, 0});
		++next.epoch;
		return next;
	}
	const bool synced = _guard.table.epoch == _current.epoch && isSynced(_guard);
	if (synced && _current.members[self].settledEpoch != _current.epoch)
	{
		next.members[self].settledEpoch = _current.epoch;
		return next;
	}
	return std::nullopt;
}
} // namespace spanplank
