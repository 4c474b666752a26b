/// Run-once guard: simulated histories with message loss, crashes, frozen processes and races, compared with
/// a naive guard.
#include "spanplank/run_once.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <set>

namespace spanplank
{
namespace
{
constexpr int64_t kWallStartMs = 1800000000000;
constexpr TimeUs kStepUs = 20 * kMsToUs;

/// A message or a forwarded call in flight in the simulation.
struct Event
{
	std::string to;   ///< Incarnation of the receiver.
	std::string from; ///< Incarnation of the sender.
	std::variant<Intent, IntentReply, Outcome, RecordsRequest, RecordsMessage, HomeTable, RunCall,
				 GuardedCall>
		what;
};

struct Member
{
	RunOnceGuard guard;
	std::string box;
	bool frozen = false;
};

/// Members, a store and callers that repeat keys, with faults injected between them.
struct Simulation
{
	Random random;
	RunOnceLimits limits;
	TimeUs now = 1000 * kMsToUs;
	std::map<std::string, Member> members; ///< By incarnation.
	HomeTable stored;
	bool storeDown = false;
	std::deque<Event> inFlight;
	std::vector<std::optional<int64_t>> keys;           ///< Creation times of the callers' keys.
	std::map<std::string, int> executions;              ///< By key.
	std::map<std::string, TimeUs> unreachableSince;     ///< By pair of incarnations, observer first.
	std::set<std::pair<std::string, std::string>> cuts; ///< Pairs of boxes that are partitioned.
	uint64_t nextIncarnation = 1;
	uint64_t nextAttempt = 1;
	uint64_t answered = 0;
	uint64_t refused = 0;
};

int64_t wallMs(const Simulation& _sim)
{
	return kWallStartMs + _sim.now / kMsToUs;
}

size_t randomIndex(Simulation& _sim, size_t _count)
{
	return size_t(nextRandom(_sim.random) % _count);
}

void startMember(Simulation& _sim, const std::string& _box)
{
	Member member;
	member.box = _box;
	member.guard.self = fmt::format("{}.{}", _box, _sim.nextIncarnation++);
	member.guard.limits = _sim.limits;
	_sim.members.emplace(member.guard.self, std::move(member));
}

bool isReachable(const Simulation& _sim, const std::string& _from, const std::string& _to)
{
	const auto from = _sim.members.find(_from);
	const auto to = _sim.members.find(_to);
	return from != _sim.members.end() && to != _sim.members.end() &&
		   _sim.cuts.count(std::minmax(from->second.box, to->second.box)) == 0;
}

void applyActions(Simulation& _sim, const std::string& _self, const GuardActions& _actions)
{
	for (const GuardAction& action : _actions)
	{
		if (const auto* intent = std::get_if<SendIntent>(&action))
		{
			_sim.inFlight.push_back({intent->to, _self, intent->intent});
		}
		else if (const auto* outcome = std::get_if<SendOutcome>(&action))
		{
			_sim.inFlight.push_back({outcome->to, _self, outcome->outcome});
		}
		else if (const auto* ask = std::get_if<RequestRecords>(&action))
		{
			_sim.inFlight.push_back({ask->to, _self, ask->request});
		}
		else if (const auto* run = std::get_if<RunCall>(&action))
		{
			_sim.inFlight.push_back({_self, _self, *run}); // Forwarded later: it may freeze first.
		}
		else if (std::holds_alternative<TableAdopted>(action))
		{
			for (const auto& [name, member] : _sim.members)
			{
				_sim.inFlight.push_back({name, _self, _sim.members.at(_self).guard.table});
			}
		}
		else if (std::holds_alternative<ReplayAnswer>(action))
		{
			++_sim.answered;
		}
		else if (std::holds_alternative<RefuseCall>(action))
		{
			++_sim.refused;
		}
	}
}

/// Forwards a call, as the daemon does some time after the guard has allowed it. One answer in ten is lost.
void forward(Simulation& _sim, Member& _member, const RunCall& _run, GuardActions& _actions)
{
	++_sim.executions[_run.key];
	if (nextUnit(_sim.random) < 0.9)
	{
		finishCall(_member.guard, _run.key, {200, "text/plain", "done", false}, _actions);
	}
}

void deliver(Simulation& _sim, Event _event)
{
	const auto found = _sim.members.find(_event.to);
	if (found == _sim.members.end())
	{
		return;
	}
	Member& member = found->second;
	RunOnceGuard& guard = member.guard;
	GuardActions actions;
	if (const auto* intent = std::get_if<Intent>(&_event.what))
	{
		const IntentReply reply = handleIntent(guard, *intent, _sim.now, wallMs(_sim), actions);
		_sim.inFlight.push_back({_event.from, _event.to, reply});
	}
	else if (const auto* reply = std::get_if<IntentReply>(&_event.what))
	{
		handleIntentReply(guard, _event.from, *reply, _sim.now, actions);
	}
	else if (const auto* outcome = std::get_if<Outcome>(&_event.what))
	{
		handleOutcome(guard, *outcome);
	}
	else if (const auto* request = std::get_if<RecordsRequest>(&_event.what))
	{
		_sim.inFlight.push_back({_event.from, _event.to, recordsFor(guard, *request)});
	}
	else if (const auto* records = std::get_if<RecordsMessage>(&_event.what))
	{
		handleRecords(guard, _event.from, *records);
	}
	else if (const auto* table = std::get_if<HomeTable>(&_event.what))
	{
		adoptTable(guard, *table, _sim.now, actions);
	}
	else if (const auto* call = std::get_if<GuardedCall>(&_event.what))
	{
		beginCall(guard, *call, _sim.now, wallMs(_sim), actions);
	}
	else if (const auto* run = std::get_if<RunCall>(&_event.what))
	{
		forward(_sim, member, *run, actions);
	}
	applyActions(_sim, _event.to, actions);
}

void deliverNext(Simulation& _sim)
{
	if (_sim.inFlight.empty())
	{
		return;
	}
	const size_t at = randomIndex(_sim, std::min<size_t>(4, _sim.inFlight.size())); // Reorders some messages.
	const Event event = _sim.inFlight[at];
	const auto to = _sim.members.find(event.to);
	if (to != _sim.members.end() && to->second.frozen)
	{
		return; // The message stays in the socket until the member resumes.
	}
	_sim.inFlight.erase(_sim.inFlight.begin() + std::ptrdiff_t(at));
	const bool own = std::holds_alternative<RunCall>(event.what);
	const bool lost = !own && (nextUnit(_sim.random) < 0.05 || !isReachable(_sim, event.from, event.to));
	if (!lost)
	{
		deliver(_sim, event);
	}
}

std::vector<MemberStatus> memberStatuses(Simulation& _sim, const std::string& _self, const HomeTable& _table)
{
	std::vector<MemberStatus> statuses;
	for (const HomeMember& member : _table.members)
	{
		const auto found = _sim.members.find(member.incarnation);
		const bool linked = found != _sim.members.end() && !found->second.frozen &&
							isReachable(_sim, _self, member.incarnation);
		const std::string pair = _self + "/" + member.incarnation;
		if (linked)
		{
			_sim.unreachableSince.erase(pair);
		}
		else
		{
			_sim.unreachableSince.emplace(pair, _sim.now);
		}
		const bool confirmedDead = found == _sim.members.end(); // The box runs another incarnation.
		const MemberStatus status{member.incarnation, member.box, linked,
								  linked ? 0 : _sim.now - _sim.unreachableSince.at(pair), confirmedDead};
		statuses.push_back(status);
	}
	return statuses;
}

/// Updates the table as the daemon does. The answer of the write to the store may be lost.
void updateHomeTable(Simulation& _sim, const std::string& _self)
{
	if (_sim.storeDown)
	{
		return;
	}
	Member& member = _sim.members.at(_self);
	GuardActions actions;
	adoptTable(member.guard, _sim.stored, _sim.now, actions);
	ProposalInput input;
	input.self = {_self, member.box, 0};
	input.suspectAfterUs = 200 * kMsToUs;
	input.wallMs = wallMs(_sim);
	const auto next =
		proposeTable(member.guard, _sim.stored, input, memberStatuses(_sim, _self, _sim.stored));
	if (next)
	{
		_sim.stored = *next;
		if (nextUnit(_sim.random) < 0.8)
		{
			adoptTable(member.guard, *next, _sim.now, actions);
		}
	}
	applyActions(_sim, _self, actions);
}

/// Sends a call with a new or a recent key, either to its home according to some member's table or to any
/// member.
void sendCall(Simulation& _sim)
{
	constexpr size_t kRepeated = 30;
	if (_sim.keys.empty() || nextUnit(_sim.random) < 0.4)
	{
		const bool hasCreationTime = nextUnit(_sim.random) < 0.7;
		_sim.keys.push_back(hasCreationTime ? std::optional<int64_t>(wallMs(_sim)) : std::nullopt);
	}
	const size_t back = randomIndex(_sim, std::min(kRepeated, _sim.keys.size()));
	const size_t number = _sim.keys.size() - 1 - back;
	GuardedCall call;
	call.key = fmt::format("key-{}", number);
	call.bodyHash = "body";
	call.keyCreatedMs = _sim.keys[number];
	call.waiter = {LinkId{1}, _sim.nextAttempt++};
	auto asked = _sim.members.begin();
	std::advance(asked, std::ptrdiff_t(randomIndex(_sim, _sim.members.size())));
	const HomeTable& table = asked->second.guard.table;
	std::string target = asked->first;
	if (!table.members.empty() && nextUnit(_sim.random) < 0.9)
	{
		target = table.members[rankMembers(table.members, call.key)[0]].incarnation;
	}
	if (_sim.members.count(target) != 0)
	{
		_sim.inFlight.push_back({target, target, call});
	}
}

std::string anyMember(Simulation& _sim)
{
	auto at = _sim.members.begin();
	std::advance(at, std::ptrdiff_t(randomIndex(_sim, _sim.members.size())));
	return at->first;
}

/// Kills a member (SIGKILL): its state is lost and a new process starts on the box.
void crash(Simulation& _sim)
{
	const std::string victim = anyMember(_sim);
	const std::string box = _sim.members.at(victim).box;
	_sim.members.erase(victim);
	startMember(_sim, box);
}

void injectFault(Simulation& _sim, double _crashShare)
{
	const double what = nextUnit(_sim.random);
	if (what < _crashShare)
	{
		crash(_sim);
	}
	else if (what < _crashShare + 0.3)
	{
		Member& member = _sim.members.at(anyMember(_sim));
		member.frozen = !member.frozen;
	}
	else if (what < _crashShare + 0.4)
	{
		_sim.storeDown = !_sim.storeDown;
	}
	else if (what < _crashShare + 0.55)
	{
		const std::string from = _sim.members.at(anyMember(_sim)).box;
		const std::string to = _sim.members.at(anyMember(_sim)).box;
		_sim.cuts.insert(std::minmax(from, to));
	}
	else
	{
		_sim.cuts.clear();
		_sim.storeDown = false;
		for (auto& [name, member] : _sim.members)
		{
			member.frozen = false;
		}
	}
}

void stepSimulation(Simulation& _sim, double _crashShare)
{
	_sim.now += TimeUs(randomIndex(_sim, size_t(kStepUs)));
	const double what = nextUnit(_sim.random);
	if (what < 0.6)
	{
		constexpr int kBatch = 8;
		for (int ii = 0; ii < kBatch; ++ii)
		{
			deliverNext(_sim);
		}
	}
	else if (what < 0.85)
	{
		sendCall(_sim);
	}
	else if (what < 0.994)
	{
		const std::string self = anyMember(_sim);
		if (!_sim.members.at(self).frozen)
		{
			GuardActions actions;
			tick(_sim.members.at(self).guard, _sim.now, wallMs(_sim), actions);
			applyActions(_sim, self, actions);
			updateHomeTable(_sim, self);
		}
	}
	else
	{
		injectFault(_sim, _crashShare);
	}
}

Simulation runHistory(uint64_t _seed, const RunOnceLimits& _limits, size_t _steps, double _crashShare)
{
	Simulation sim;
	sim.random.state = _seed;
	sim.limits = _limits;
	for (const char* box : {"a", "b", "c"})
	{
		startMember(sim, box);
	}
	for (size_t ii = 0; ii < _steps; ++ii)
	{
		stepSimulation(sim, _crashShare);
	}
	return sim;
}

int maxExecutions(const Simulation& _sim)
{
	int maxCount = 0;
	for (const auto& [key, count] : _sim.executions)
	{
		maxCount = std::max(maxCount, count);
	}
	return maxCount;
}

TEST(RunOnceHistory, NoKeyRunsTwiceThroughCrashesFreezesCutsAndOutages)
{
	const bool held = rc::check("at most once", [](uint64_t _seed) {
		const Simulation sim = runHistory(_seed, RunOnceLimits{}, 4000, 0.15);
		RC_ASSERT(maxExecutions(sim) <= 1);
	});
	EXPECT_TRUE(held);
}

TEST(RunOnceHistory, NoKeyRunsTwiceWithoutCrashes)
{
	const bool held = rc::check("at most once", [](uint64_t _seed) {
		const Simulation sim = runHistory(_seed, RunOnceLimits{}, 4000, 0.0);
		RC_ASSERT(maxExecutions(sim) <= 1);
	});
	EXPECT_TRUE(held);
}

/// The naive guard records only its own calls. The same histories must show that it runs calls twice.
TEST(RunOnceHistory, NaiveGuardIsCaught)
{
	RunOnceLimits naive;
	naive.replicateIntent = false;
	size_t caught = 0;
	for (uint64_t seed = 1; seed <= 50; ++seed)
	{
		caught += maxExecutions(runHistory(seed, naive, 4000, 0.15)) > 1 ? 1 : 0;
	}
	EXPECT_GT(caught, 25u);
}

/// Guards against histories that pass only because the guard refuses every call.
TEST(RunOnceHistory, CallsAreAnsweredInTheseHistories)
{
	uint64_t answered = 0;
	uint64_t run = 0;
	for (uint64_t seed = 1; seed <= 20; ++seed)
	{
		const Simulation sim = runHistory(seed, RunOnceLimits{}, 4000, 0.05);
		answered += sim.answered;
		run += sim.executions.size();
	}
	EXPECT_GT(answered, 1000u);
	EXPECT_GT(run, 500u);
}

/// Three synced members without a simulated network: the test delivers messages explicitly.
struct Group
{
	Simulation sim;

	Group()
	{
		for (const char* box : {"a", "b", "c"})
		{
			startMember(sim, box);
		}
		sync();
	}

	void sync()
	{
		for (int ii = 0; ii < 40; ++ii)
		{
			sim.now += 100 * kMsToUs;
			std::vector<std::string> names;
			for (const auto& [name, member] : sim.members)
			{
				names.push_back(name);
			}
			for (const std::string& name : names)
			{
				GuardActions actions;
				tick(sim.members.at(name).guard, sim.now, wallMs(sim), actions);
				applyActions(sim, name, actions);
				updateHomeTable(sim, name);
				deliverAll();
			}
		}
	}

	void deliverAll()
	{
		while (!sim.inFlight.empty())
		{
			const Event event = sim.inFlight.front();
			sim.inFlight.pop_front();
			deliver(sim, event);
		}
	}

	std::string primaryOf(const std::string& _key) const
	{
		return sim.stored.members[rankMembers(sim.stored.members, _key)[0]].incarnation;
	}

	GuardActions call(const std::string& _at, const std::string& _key, const std::string& _body = "body",
					  std::optional<int64_t> _createdMs = std::nullopt)
	{
		GuardActions actions;
		beginCall(sim.members.at(_at).guard, {_key, _body, _createdMs, {LinkId{1}, sim.nextAttempt++}},
				  sim.now, wallMs(sim), actions);
		return actions;
	}
};

TEST(RunOnce, GroupFormsAndSettles)
{
	const Group group;
	ASSERT_EQ(group.sim.stored.members.size(), 3u);
	for (const auto& [name, member] : group.sim.members)
	{
		EXPECT_TRUE(isSynced(member.guard)) << name;
	}
}

TEST(RunOnce, DuplicateInFlightJoinsAndBothGetTheSameAnswer)
{
	Group group;
	const std::string home = group.primaryOf("k");
	RunOnceGuard& guard = group.sim.members.at(home).guard;
	const GuardActions first = group.call(home, "k");
	ASSERT_EQ(first.size(), 1u);
	const GuardActions second = group.call(home, "k");
	EXPECT_TRUE(second.empty());
	const auto intent = std::get<SendIntent>(first[0]);
	GuardActions actions;
	const IntentReply reply = handleIntent(group.sim.members.at(intent.to).guard, intent.intent,
										   group.sim.now, wallMs(group.sim), actions);
	ASSERT_TRUE(reply.granted);
	handleIntentReply(guard, intent.to, reply, group.sim.now, actions);
	ASSERT_TRUE(std::holds_alternative<RunCall>(actions.back()));
	GuardActions completed;
	finishCall(guard, "k", {200, "t", "answer", false}, completed);
	size_t replays = 0;
	for (const GuardAction& action : completed)
	{
		const auto* replay = std::get_if<ReplayAnswer>(&action);
		replays += replay != nullptr && replay->answer.body == "answer" ? 1 : 0;
	}
	EXPECT_EQ(replays, 2u);
}

TEST(RunOnce, SuccessorOfACrashedHomeNeverRunsItsKeyAgain)
{
	Group group;
	const std::string home = group.primaryOf("k");
	applyActions(group.sim, home, group.call(home, "k"));
	while (!group.sim.inFlight.empty() && group.sim.executions["k"] == 0)
	{
		const Event event = group.sim.inFlight.front();
		group.sim.inFlight.pop_front();
		deliver(group.sim, event);
	}
	ASSERT_EQ(group.sim.executions["k"], 1);
	group.sim.inFlight.clear(); // The outcome is lost.
	const std::string box = group.sim.members.at(home).box;
	group.sim.members.erase(home);
	startMember(group.sim, box);
	group.sync();
	const GuardActions again = group.call(group.primaryOf("k"), "k");
	ASSERT_EQ(again.size(), 1u);
	const auto refused = std::get<RefuseCall>(again[0]);
	EXPECT_EQ(refused.refusal.code, ErrorCode::InDoubt);
	EXPECT_EQ(refused.refusal.run, RunState::Unknown);
}

TEST(RunOnce, AnswerSurvivesTheHomeThatGaveIt)
{
	Group group;
	const std::string home = group.primaryOf("k");
	group.sim.random.state = 3;
	applyActions(group.sim, home, group.call(home, "k"));
	group.deliverAll();
	const std::string box = group.sim.members.at(home).box;
	group.sim.members.erase(home);
	startMember(group.sim, box);
	group.sync();
	const GuardActions again = group.call(group.primaryOf("k"), "k");
	ASSERT_EQ(again.size(), 1u);
	ASSERT_TRUE(std::holds_alternative<ReplayAnswer>(again[0]));
	EXPECT_EQ(std::get<ReplayAnswer>(again[0]).answer.body, "done");
}

TEST(RunOnce, KeyWithAnotherBodyIsRefused)
{
	Group group;
	const std::string home = group.primaryOf("k");
	applyActions(group.sim, home, group.call(home, "k"));
	group.deliverAll();
	const GuardActions other = group.call(home, "k", "other body");
	EXPECT_EQ(std::get<RefuseCall>(other.at(0)).refusal.code, ErrorCode::KeyReused);
}

TEST(RunOnce, LostRecordsPutOldKeysInDoubtButNotYoungOnes)
{
	Group group;
	// Two members crash at once: records that only they held are lost.
	std::vector<std::string> boxes;
	for (int ii = 0; ii < 2; ++ii)
	{
		const std::string victim = group.sim.members.begin()->first;
		boxes.push_back(group.sim.members.at(victim).box);
		group.sim.members.erase(victim);
	}
	for (const std::string& box : boxes)
	{
		startMember(group.sim, box);
	}
	group.sync();
	ASSERT_GT(group.sim.stored.doubtBeforeMs, 0);
	const std::string home = group.primaryOf("k");
	const GuardActions old = group.call(home, "k");
	EXPECT_EQ(std::get<RefuseCall>(old.at(0)).refusal.code, ErrorCode::InDoubt);
	group.sim.now += 10000 * kMsToUs;
	const GuardActions recent = group.call(home, "k", "body", wallMs(group.sim));
	EXPECT_TRUE(std::holds_alternative<SendIntent>(recent.at(0)));
	const GuardActions future = group.call(home, "k2", "body", wallMs(group.sim) + 60000);
	EXPECT_NE(std::get<RefuseCall>(future.at(0)).refusal.run, RunState::Unknown);
}

/// Calls 100 new keys at their homes. @returns The total number of executions.
uint64_t runNewKeys(Group& _group, const std::string& _prefix)
{
	uint64_t runs = 0;
	for (int ii = 0; ii < 100; ++ii)
	{
		const std::string key = fmt::format("{}-{}", _prefix, ii);
		const std::string home = _group.primaryOf(key);
		applyActions(_group.sim, home, _group.call(home, key));
		_group.deliverAll();
		runs += uint64_t(_group.sim.executions[key]);
	}
	return runs;
}

TEST(RunOnce, FreshKeysRunOnAfterOneDeathAndWithTheStoreDown)
{
	Group group;
	group.sim.storeDown = true;
	uint64_t answered = 0;
	answered += runNewKeys(group, "down");
	EXPECT_EQ(answered, 100u);
	group.sim.storeDown = false;
	group.sim.members.erase(group.sim.members.begin());
	group.sync();
	ASSERT_EQ(group.sim.stored.members.size(), 2u);
	EXPECT_EQ(group.sim.stored.doubtBeforeMs, 0);
	answered += runNewKeys(group, "dead");
	EXPECT_EQ(answered, 200u);
}

TEST(RunOnce, SuccessorWithANewerTableRefuses)
{
	Group group;
	const std::string home = group.primaryOf("k");
	const auto asked = std::get<SendIntent>(group.call(home, "k").at(0));
	RunOnceGuard& successor = group.sim.members.at(asked.to).guard;
	HomeTable newer = successor.table;
	++newer.epoch;
	GuardActions actions;
	adoptTable(successor, newer, group.sim.now, actions);
	const IntentReply reply =
		handleIntent(successor, asked.intent, group.sim.now, wallMs(group.sim), actions);
	EXPECT_FALSE(reply.granted);
	EXPECT_EQ(reply.table.epoch, newer.epoch);
}

TEST(RunOnce, SuccessorRefusesAKeyThatAnotherOwnerMayHaveRun)
{
	Group group;
	const std::string home = group.primaryOf("k");
	const auto asked = std::get<SendIntent>(group.call(home, "k").at(0));
	RunOnceGuard& successor = group.sim.members.at(asked.to).guard;
	GuardActions actions;
	ASSERT_TRUE(handleIntent(successor, asked.intent, group.sim.now, wallMs(group.sim), actions).granted);
	successor.entries.at("k").record.owner = "an-earlier-home";
	const IntentReply reply =
		handleIntent(successor, asked.intent, group.sim.now, wallMs(group.sim), actions);
	EXPECT_FALSE(reply.granted);
	EXPECT_TRUE(reply.known);
}

TEST(RunOnce, UnsafeRemovalNeedsProofOfDeath)
{
	const Group group;
	HomeTable table = group.sim.stored;
	const HomeMember self = table.members[0];
	RunOnceGuard guard = group.sim.members.at(self.incarnation).guard;
	std::vector<MemberStatus> statuses;
	for (const HomeMember& member : table.members)
	{
		statuses.push_back({member.incarnation, member.box,
							member.incarnation != table.members[2].incarnation, 100000 * kMsToUs, false});
	}
	const ProposalInput input{self, false, 200 * kMsToUs, wallMs(group.sim)};
	ASSERT_TRUE(proposeTable(guard, table, input, statuses).has_value())
		<< "all members are synced: a suspicion is enough";
	table.members[1].settledEpoch = 0;
	guard.table = table;
	EXPECT_FALSE(proposeTable(guard, table, input, statuses).has_value())
		<< "a remaining member lacks records";
	statuses[2].confirmedDead = true;
	const auto removed = proposeTable(guard, table, input, statuses);
	ASSERT_TRUE(removed.has_value());
	EXPECT_EQ(removed->members.size(), 2u);
	EXPECT_GT(removed->doubtBeforeMs, 0);
}

TEST(RunOnce, CutOffMemberRemovesNobody)
{
	const Group group;
	const HomeTable& table = group.sim.stored;
	const HomeMember self = table.members[0];
	std::vector<MemberStatus> statuses;
	for (const HomeMember& member : table.members)
	{
		statuses.push_back({member.incarnation, member.box, false, 100000 * kMsToUs, false});
	}
	const ProposalInput input{self, false, 200 * kMsToUs, wallMs(group.sim)};
	EXPECT_FALSE(
		proposeTable(group.sim.members.at(self.incarnation).guard, table, input, statuses).has_value());
}

TEST(RunOnce, KeysForgottenAfterRetention)
{
	Group group;
	const std::string home = group.primaryOf("k");
	applyActions(group.sim, home, group.call(home, "k"));
	group.deliverAll();
	ASSERT_EQ(group.sim.members.at(home).guard.entries.size(), 1u);
	group.sim.now += (kRunOnceRetentionMs + 1000) * kMsToUs;
	GuardActions actions;
	tick(group.sim.members.at(home).guard, group.sim.now, wallMs(group.sim), actions);
	EXPECT_TRUE(group.sim.members.at(home).guard.entries.empty());
}

TEST(RunOnce, BirthOfUuid7)
{
	// RFC 9562, appendix A.6: 017F22E2-79B0-7CC3-98C4-DC0C0C07398F is 2022-02-22T19:22:22Z.
	EXPECT_EQ(keyCreatedMs("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").value(), 1645557742000);
	EXPECT_FALSE(keyCreatedMs("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
	EXPECT_FALSE(keyCreatedMs("order-17"));
	EXPECT_FALSE(keyCreatedMs("zzzzzzzz-79B0-7CC3-98C4-DC0C0C07398F"));
}
} // namespace
} // namespace spanplank
