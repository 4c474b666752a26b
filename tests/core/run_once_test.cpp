/// Run-once guard: histories with loss, crashes, freezes and races, against the naive guard.
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

/// A message or a forward that is under way in the modelled world.
struct Event
{
	std::string to;   ///< Incarnation.
	std::string from; ///< Incarnation.
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

/// Members, a store, callers that repeat keys, and everything that goes wrong between them.
struct World
{
	Random random;
	RunOnceLimits limits;
	TimeUs now = 1000 * kMsToUs;
	std::map<std::string, Member> members; ///< By incarnation.
	HomeTable stored;
	bool storeDown = false;
	std::deque<Event> flying;
	std::vector<std::optional<int64_t>> keys;           ///< Births of the keys that callers have made.
	std::map<std::string, int> executions;              ///< By key.
	std::map<std::string, TimeUs> lostSince;            ///< By pair of incarnations.
	std::set<std::pair<std::string, std::string>> cuts; ///< Pairs of boxes that can't reach one another.
	uint64_t nextIncarnation = 1;
	uint64_t nextAttempt = 1;
	uint64_t answered = 0;
	uint64_t refused = 0;
};

int64_t wallMs(const World& _world)
{
	return kWallStartMs + _world.now / kMsToUs;
}

size_t draw(World& _world, size_t _count)
{
	return size_t(nextRandom(_world.random) % _count);
}

void startMember(World& _world, const std::string& _box)
{
	Member member;
	member.box = _box;
	member.guard.self = fmt::format("{}.{}", _box, _world.nextIncarnation++);
	member.guard.limits = _world.limits;
	_world.members.emplace(member.guard.self, std::move(member));
}

bool reaches(const World& _world, const std::string& _from, const std::string& _to)
{
	const auto from = _world.members.find(_from);
	const auto to = _world.members.find(_to);
	return from != _world.members.end() && to != _world.members.end() &&
		   _world.cuts.count(std::minmax(from->second.box, to->second.box)) == 0;
}

void carryOut(World& _world, const std::string& _self, const GuardActions& _actions)
{
	for (const GuardAction& action : _actions)
	{
		if (const auto* intent = std::get_if<SendIntent>(&action))
		{
			_world.flying.push_back({intent->to, _self, intent->intent});
		}
		else if (const auto* outcome = std::get_if<SendOutcome>(&action))
		{
			_world.flying.push_back({outcome->to, _self, outcome->outcome});
		}
		else if (const auto* ask = std::get_if<AskRecords>(&action))
		{
			_world.flying.push_back({ask->to, _self, ask->request});
		}
		else if (const auto* run = std::get_if<RunCall>(&action))
		{
			_world.flying.push_back({_self, _self, *run}); // Forwarded later: a freeze may come between.
		}
		else if (std::holds_alternative<TableAdopted>(action))
		{
			for (const auto& [name, member] : _world.members)
			{
				_world.flying.push_back({name, _self, _world.members.at(_self).guard.table});
			}
		}
		else if (std::holds_alternative<ReplayAnswer>(action))
		{
			++_world.answered;
		}
		else if (std::holds_alternative<RefuseCall>(action))
		{
			++_world.refused;
		}
	}
}

/// The forward itself: what the daemon does some time after the guard has agreed.
void forward(World& _world, Member& _member, const RunCall& _run, GuardActions& _actions)
{
	++_world.executions[_run.key];
	if (nextUnit(_world.random) < 0.9)
	{
		finish(_member.guard, _run.key, {200, "text/plain", "done", false}, _actions);
	}
}

void deliver(World& _world, Event _event)
{
	const auto found = _world.members.find(_event.to);
	if (found == _world.members.end())
	{
		return;
	}
	Member& member = found->second;
	RunOnceGuard& guard = member.guard;
	GuardActions actions;
	if (const auto* intent = std::get_if<Intent>(&_event.what))
	{
		const IntentReply reply = handleIntent(guard, *intent, _world.now, wallMs(_world), actions);
		_world.flying.push_back({_event.from, _event.to, reply});
	}
	else if (const auto* reply = std::get_if<IntentReply>(&_event.what))
	{
		handleIntentReply(guard, _event.from, *reply, _world.now, actions);
	}
	else if (const auto* outcome = std::get_if<Outcome>(&_event.what))
	{
		handleOutcome(guard, *outcome);
	}
	else if (const auto* request = std::get_if<RecordsRequest>(&_event.what))
	{
		_world.flying.push_back({_event.from, _event.to, recordsFor(guard, *request)});
	}
	else if (const auto* records = std::get_if<RecordsMessage>(&_event.what))
	{
		handleRecords(guard, _event.from, *records);
	}
	else if (const auto* table = std::get_if<HomeTable>(&_event.what))
	{
		adoptTable(guard, *table, _world.now, actions);
	}
	else if (const auto* call = std::get_if<GuardedCall>(&_event.what))
	{
		begin(guard, *call, _world.now, wallMs(_world), actions);
	}
	else if (const auto* run = std::get_if<RunCall>(&_event.what))
	{
		forward(_world, member, *run, actions);
	}
	carryOut(_world, _event.to, actions);
}

void deliverSome(World& _world)
{
	if (_world.flying.empty())
	{
		return;
	}
	const size_t at = draw(_world, std::min<size_t>(4, _world.flying.size())); // Some reordering.
	const Event event = _world.flying[at];
	const auto to = _world.members.find(event.to);
	if (to != _world.members.end() && to->second.frozen)
	{
		return; // It waits in the socket until the member wakes.
	}
	_world.flying.erase(_world.flying.begin() + std::ptrdiff_t(at));
	const bool own = std::holds_alternative<RunCall>(event.what);
	const bool lost = !own && (nextUnit(_world.random) < 0.05 || !reaches(_world, event.from, event.to));
	if (!lost)
	{
		deliver(_world, event);
	}
}

std::vector<MemberSight> sightsOf(World& _world, const std::string& _self, const HomeTable& _table)
{
	std::vector<MemberSight> sights;
	for (const HomeMember& member : _table.members)
	{
		const auto found = _world.members.find(member.incarnation);
		const bool linked = found != _world.members.end() && !found->second.frozen &&
							reaches(_world, _self, member.incarnation);
		const std::string pair = _self + "/" + member.incarnation;
		if (linked)
		{
			_world.lostSince.erase(pair);
		}
		else
		{
			_world.lostSince.emplace(pair, _world.now);
		}
		const bool gone = found == _world.members.end(); // Its box runs another incarnation.
		const MemberSight sight{member.incarnation, member.box, linked,
								linked ? 0 : _world.now - _world.lostSince.at(pair), gone};
		sights.push_back(sight);
	}
	return sights;
}

/// A member looks after the table, as the daemon does. Its write's answer may be lost.
void stepHomes(World& _world, const std::string& _self)
{
	if (_world.storeDown)
	{
		return;
	}
	Member& member = _world.members.at(_self);
	GuardActions actions;
	adoptTable(member.guard, _world.stored, _world.now, actions);
	ProposeInput input;
	input.self = {_self, member.box, 0};
	input.deadAfterUs = 200 * kMsToUs;
	input.wallMs = wallMs(_world);
	const auto next =
		proposeTable(member.guard, _world.stored, input, sightsOf(_world, _self, _world.stored));
	if (next)
	{
		_world.stored = *next;
		if (nextUnit(_world.random) < 0.8)
		{
			adoptTable(member.guard, *next, _world.now, actions);
		}
	}
	carryOut(_world, _self, actions);
}

/// A caller sends a new key or repeats a young one, to its home by some member's table, or to anyone.
void callSomewhere(World& _world)
{
	constexpr size_t kRepeated = 30;
	if (_world.keys.empty() || nextUnit(_world.random) < 0.4)
	{
		const bool born = nextUnit(_world.random) < 0.7;
		_world.keys.push_back(born ? std::optional<int64_t>(wallMs(_world)) : std::nullopt);
	}
	const size_t back = draw(_world, std::min(kRepeated, _world.keys.size()));
	const size_t number = _world.keys.size() - 1 - back;
	GuardedCall call;
	call.key = fmt::format("key-{}", number);
	call.bodyHash = "body";
	call.birthMs = _world.keys[number];
	call.waiter = {LinkId{1}, _world.nextAttempt++};
	auto asked = _world.members.begin();
	std::advance(asked, std::ptrdiff_t(draw(_world, _world.members.size())));
	const HomeTable& table = asked->second.guard.table;
	std::string target = asked->first;
	if (!table.members.empty() && nextUnit(_world.random) < 0.9)
	{
		target = table.members[rankMembers(table.members, call.key)[0]].incarnation;
	}
	if (_world.members.count(target) != 0)
	{
		_world.flying.push_back({target, target, call});
	}
}

std::string anyMember(World& _world)
{
	auto at = _world.members.begin();
	std::advance(at, std::ptrdiff_t(draw(_world, _world.members.size())));
	return at->first;
}

/// Kill -9: the memory is gone, a blank process takes the box.
void crash(World& _world)
{
	const std::string victim = anyMember(_world);
	const std::string box = _world.members.at(victim).box;
	_world.members.erase(victim);
	startMember(_world, box);
}

void misfortune(World& _world, double _crashShare)
{
	const double what = nextUnit(_world.random);
	if (what < _crashShare)
	{
		crash(_world);
	}
	else if (what < _crashShare + 0.3)
	{
		Member& member = _world.members.at(anyMember(_world));
		member.frozen = !member.frozen;
	}
	else if (what < _crashShare + 0.4)
	{
		_world.storeDown = !_world.storeDown;
	}
	else if (what < _crashShare + 0.55)
	{
		const std::string from = _world.members.at(anyMember(_world)).box;
		const std::string to = _world.members.at(anyMember(_world)).box;
		_world.cuts.insert(std::minmax(from, to));
	}
	else
	{
		_world.cuts.clear();
		_world.storeDown = false;
		for (auto& [name, member] : _world.members)
		{
			member.frozen = false;
		}
	}
}

void stepWorld(World& _world, double _crashShare)
{
	_world.now += TimeUs(draw(_world, size_t(kStepUs)));
	const double what = nextUnit(_world.random);
	if (what < 0.6)
	{
		constexpr int kBatch = 8;
		for (int ii = 0; ii < kBatch; ++ii)
		{
			deliverSome(_world);
		}
	}
	else if (what < 0.85)
	{
		callSomewhere(_world);
	}
	else if (what < 0.994)
	{
		const std::string self = anyMember(_world);
		if (!_world.members.at(self).frozen)
		{
			GuardActions actions;
			tick(_world.members.at(self).guard, _world.now, wallMs(_world), actions);
			carryOut(_world, self, actions);
			stepHomes(_world, self);
		}
	}
	else
	{
		misfortune(_world, _crashShare);
	}
}

World runHistory(uint64_t _seed, const RunOnceLimits& _limits, size_t _steps, double _crashShare)
{
	World world;
	world.random.state = _seed;
	world.limits = _limits;
	for (const char* box : {"a", "b", "c"})
	{
		startMember(world, box);
	}
	for (size_t ii = 0; ii < _steps; ++ii)
	{
		stepWorld(world, _crashShare);
	}
	return world;
}

int mostExecutions(const World& _world)
{
	int most = 0;
	for (const auto& [key, count] : _world.executions)
	{
		most = std::max(most, count);
	}
	return most;
}

TEST(RunOnceHistory, NoKeyRunsTwiceThroughCrashesFreezesCutsAndOutages)
{
	const bool held = rc::check("at most once", [](uint64_t _seed) {
		const World world = runHistory(_seed, RunOnceLimits{}, 4000, 0.15);
		RC_ASSERT(mostExecutions(world) <= 1);
	});
	EXPECT_TRUE(held);
}

TEST(RunOnceHistory, NoKeyRunsTwiceWithoutCrashes)
{
	const bool held = rc::check("at most once", [](uint64_t _seed) {
		const World world = runHistory(_seed, RunOnceLimits{}, 4000, 0.0);
		RC_ASSERT(mostExecutions(world) <= 1);
	});
	EXPECT_TRUE(held);
}

/// The naive guard remembers only what it ran itself: the same histories must catch it.
TEST(RunOnceHistory, NaiveGuardIsCaught)
{
	RunOnceLimits naive;
	naive.askSuccessor = false;
	size_t caught = 0;
	for (uint64_t seed = 1; seed <= 50; ++seed)
	{
		caught += mostExecutions(runHistory(seed, naive, 4000, 0.15)) > 1 ? 1 : 0;
	}
	EXPECT_GT(caught, 25u);
}

/// The histories mean nothing if the guard just refuses.
TEST(RunOnceHistory, CallsAreAnsweredInTheseHistories)
{
	uint64_t answered = 0;
	uint64_t run = 0;
	for (uint64_t seed = 1; seed <= 20; ++seed)
	{
		const World world = runHistory(seed, RunOnceLimits{}, 4000, 0.05);
		answered += world.answered;
		run += world.executions.size();
	}
	EXPECT_GT(answered, 1000u);
	EXPECT_GT(run, 500u);
}

/// Three settled members without a network between them: messages are handed over by hand.
struct Group
{
	World world;

	Group()
	{
		for (const char* box : {"a", "b", "c"})
		{
			startMember(world, box);
		}
		settle();
	}

	void settle()
	{
		for (int ii = 0; ii < 40; ++ii)
		{
			world.now += 100 * kMsToUs;
			std::vector<std::string> names;
			for (const auto& [name, member] : world.members)
			{
				names.push_back(name);
			}
			for (const std::string& name : names)
			{
				GuardActions actions;
				tick(world.members.at(name).guard, world.now, wallMs(world), actions);
				carryOut(world, name, actions);
				stepHomes(world, name);
				drain();
			}
		}
	}

	void drain()
	{
		while (!world.flying.empty())
		{
			const Event event = world.flying.front();
			world.flying.pop_front();
			deliver(world, event);
		}
	}

	std::string primaryOf(const std::string& _key) const
	{
		return world.stored.members[rankMembers(world.stored.members, _key)[0]].incarnation;
	}

	GuardActions call(const std::string& _at, const std::string& _key, const std::string& _body = "body",
					  std::optional<int64_t> _birth = std::nullopt)
	{
		GuardActions actions;
		begin(world.members.at(_at).guard, {_key, _body, _birth, {LinkId{1}, world.nextAttempt++}}, world.now,
			  wallMs(world), actions);
		return actions;
	}
};

TEST(RunOnce, GroupFormsAndSettles)
{
	const Group group;
	ASSERT_EQ(group.world.stored.members.size(), 3u);
	for (const auto& [name, member] : group.world.members)
	{
		EXPECT_TRUE(isSettled(member.guard)) << name;
	}
}

TEST(RunOnce, DuplicateInFlightJoinsAndBothGetTheSameAnswer)
{
	Group group;
	const std::string home = group.primaryOf("k");
	RunOnceGuard& guard = group.world.members.at(home).guard;
	const GuardActions first = group.call(home, "k");
	ASSERT_EQ(first.size(), 1u);
	const GuardActions second = group.call(home, "k");
	EXPECT_TRUE(second.empty());
	const auto intent = std::get<SendIntent>(first[0]);
	GuardActions actions;
	const IntentReply reply = handleIntent(group.world.members.at(intent.to).guard, intent.intent,
										   group.world.now, wallMs(group.world), actions);
	ASSERT_TRUE(reply.granted);
	handleIntentReply(guard, intent.to, reply, group.world.now, actions);
	ASSERT_TRUE(std::holds_alternative<RunCall>(actions.back()));
	GuardActions ended;
	finish(guard, "k", {200, "t", "answer", false}, ended);
	size_t replays = 0;
	for (const GuardAction& action : ended)
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
	carryOut(group.world, home, group.call(home, "k"));
	while (!group.world.flying.empty() && group.world.executions["k"] == 0)
	{
		const Event event = group.world.flying.front();
		group.world.flying.pop_front();
		deliver(group.world, event);
	}
	ASSERT_EQ(group.world.executions["k"], 1);
	group.world.flying.clear(); // The outcome never arrives.
	const std::string box = group.world.members.at(home).box;
	group.world.members.erase(home);
	startMember(group.world, box);
	group.settle();
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
	group.world.random.state = 3;
	carryOut(group.world, home, group.call(home, "k"));
	group.drain();
	const std::string box = group.world.members.at(home).box;
	group.world.members.erase(home);
	startMember(group.world, box);
	group.settle();
	const GuardActions again = group.call(group.primaryOf("k"), "k");
	ASSERT_EQ(again.size(), 1u);
	ASSERT_TRUE(std::holds_alternative<ReplayAnswer>(again[0]));
	EXPECT_EQ(std::get<ReplayAnswer>(again[0]).answer.body, "done");
}

TEST(RunOnce, KeyWithAnotherBodyIsRefused)
{
	Group group;
	const std::string home = group.primaryOf("k");
	carryOut(group.world, home, group.call(home, "k"));
	group.drain();
	const GuardActions other = group.call(home, "k", "other body");
	EXPECT_EQ(std::get<RefuseCall>(other.at(0)).refusal.code, ErrorCode::KeyReused);
}

TEST(RunOnce, LostRecordsPutOldKeysInDoubtButNotYoungOnes)
{
	Group group;
	// Two members die at once: what only they knew is lost.
	std::vector<std::string> boxes;
	for (int ii = 0; ii < 2; ++ii)
	{
		const std::string victim = group.world.members.begin()->first;
		boxes.push_back(group.world.members.at(victim).box);
		group.world.members.erase(victim);
	}
	for (const std::string& box : boxes)
	{
		startMember(group.world, box);
	}
	group.settle();
	ASSERT_GT(group.world.stored.doubtBeforeMs, 0);
	const std::string home = group.primaryOf("k");
	const GuardActions old = group.call(home, "k");
	EXPECT_EQ(std::get<RefuseCall>(old.at(0)).refusal.code, ErrorCode::InDoubt);
	group.world.now += 10000 * kMsToUs;
	const GuardActions young = group.call(home, "k", "body", wallMs(group.world));
	EXPECT_TRUE(std::holds_alternative<SendIntent>(young.at(0)));
	const GuardActions unborn = group.call(home, "k2", "body", wallMs(group.world) + 60000);
	EXPECT_NE(std::get<RefuseCall>(unborn.at(0)).refusal.run, RunState::Unknown);
}

/// Calls 100 fresh keys at their homes. @returns How often they ran in all.
uint64_t runFresh(Group& _group, const std::string& _prefix)
{
	uint64_t runs = 0;
	for (int ii = 0; ii < 100; ++ii)
	{
		const std::string key = fmt::format("{}-{}", _prefix, ii);
		const std::string home = _group.primaryOf(key);
		carryOut(_group.world, home, _group.call(home, key));
		_group.drain();
		runs += uint64_t(_group.world.executions[key]);
	}
	return runs;
}

TEST(RunOnce, FreshKeysRunOnAfterOneDeathAndWithTheStoreDown)
{
	Group group;
	group.world.storeDown = true;
	uint64_t answered = 0;
	answered += runFresh(group, "down");
	EXPECT_EQ(answered, 100u);
	group.world.storeDown = false;
	group.world.members.erase(group.world.members.begin());
	group.settle();
	ASSERT_EQ(group.world.stored.members.size(), 2u);
	EXPECT_EQ(group.world.stored.doubtBeforeMs, 0);
	answered += runFresh(group, "dead");
	EXPECT_EQ(answered, 200u);
}

TEST(RunOnce, SuccessorWithANewerTableRefuses)
{
	Group group;
	const std::string home = group.primaryOf("k");
	const auto asked = std::get<SendIntent>(group.call(home, "k").at(0));
	RunOnceGuard& successor = group.world.members.at(asked.to).guard;
	HomeTable newer = successor.table;
	++newer.epoch;
	GuardActions actions;
	adoptTable(successor, newer, group.world.now, actions);
	const IntentReply reply =
		handleIntent(successor, asked.intent, group.world.now, wallMs(group.world), actions);
	EXPECT_FALSE(reply.granted);
	EXPECT_EQ(reply.table.epoch, newer.epoch);
}

TEST(RunOnce, SuccessorRefusesAKeyThatAnotherOwnerMayHaveRun)
{
	Group group;
	const std::string home = group.primaryOf("k");
	const auto asked = std::get<SendIntent>(group.call(home, "k").at(0));
	RunOnceGuard& successor = group.world.members.at(asked.to).guard;
	GuardActions actions;
	ASSERT_TRUE(handleIntent(successor, asked.intent, group.world.now, wallMs(group.world), actions).granted);
	successor.entries.at("k").record.owner = "an-earlier-home";
	const IntentReply reply =
		handleIntent(successor, asked.intent, group.world.now, wallMs(group.world), actions);
	EXPECT_FALSE(reply.granted);
	EXPECT_TRUE(reply.known);
}

TEST(RunOnce, UnsafeRemovalNeedsProofOfDeath)
{
	const Group group;
	HomeTable table = group.world.stored;
	const HomeMember self = table.members[0];
	RunOnceGuard guard = group.world.members.at(self.incarnation).guard;
	std::vector<MemberSight> sights;
	for (const HomeMember& member : table.members)
	{
		sights.push_back({member.incarnation, member.box, member.incarnation != table.members[2].incarnation,
						  100000 * kMsToUs, false});
	}
	const ProposeInput input{self, false, 200 * kMsToUs, wallMs(group.world)};
	ASSERT_TRUE(proposeTable(guard, table, input, sights).has_value())
		<< "all settled: a suspicion is enough";
	table.members[1].settledEpoch = 0;
	guard.table = table;
	EXPECT_FALSE(proposeTable(guard, table, input, sights).has_value()) << "a survivor lacks records";
	sights[2].gone = true;
	const auto proved = proposeTable(guard, table, input, sights);
	ASSERT_TRUE(proved.has_value());
	EXPECT_EQ(proved->members.size(), 2u);
	EXPECT_GT(proved->doubtBeforeMs, 0);
}

TEST(RunOnce, CutOffMemberRemovesNobody)
{
	const Group group;
	const HomeTable& table = group.world.stored;
	const HomeMember self = table.members[0];
	std::vector<MemberSight> sights;
	for (const HomeMember& member : table.members)
	{
		sights.push_back({member.incarnation, member.box, false, 100000 * kMsToUs, false});
	}
	const ProposeInput input{self, false, 200 * kMsToUs, wallMs(group.world)};
	EXPECT_FALSE(
		proposeTable(group.world.members.at(self.incarnation).guard, table, input, sights).has_value());
}

TEST(RunOnce, KeysForgottenAfterRetention)
{
	Group group;
	const std::string home = group.primaryOf("k");
	carryOut(group.world, home, group.call(home, "k"));
	group.drain();
	ASSERT_EQ(group.world.members.at(home).guard.entries.size(), 1u);
	group.world.now += (kRunOnceRetentionMs + 1000) * kMsToUs;
	GuardActions actions;
	tick(group.world.members.at(home).guard, group.world.now, wallMs(group.world), actions);
	EXPECT_TRUE(group.world.members.at(home).guard.entries.empty());
}

TEST(RunOnce, BirthOfUuid7)
{
	// RFC 9562, appendix A.6: 017F22E2-79B0-7CC3-98C4-DC0C0C07398F is 2022-02-22T19:22:22Z.
	EXPECT_EQ(keyBirthMs("017F22E2-79B0-7CC3-98C4-DC0C0C07398F").value(), 1645557742000);
	EXPECT_FALSE(keyBirthMs("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
	EXPECT_FALSE(keyBirthMs("order-17"));
	EXPECT_FALSE(keyBirthMs("zzzzzzzz-79B0-7CC3-98C4-DC0C0C07398F"));
}
} // namespace
} // namespace spanplank
