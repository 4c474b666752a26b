/// Simulates random fleets in which upstreams end as they begin to answer on one prompt part, end by
/// themselves, or are lost with their hall, under prompts that share their other parts.
#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "spanplank/abandoned_attempts.h"
#include "spanplank/suspect_subjects.h"
#include "suspect_links.h"

namespace spanplank
{
namespace
{
constexpr TimeUs kStep = 10 * kMsToUs;
constexpr TimeUs kSecond = 1000 * kMsToUs;
constexpr TimeUs kDuration = 30 * kSecond;
constexpr TimeUs kCalmTime = 3 * kSecond;         ///< Without crashes, at the start.
constexpr TimeUs kReplaceTime = 2 * kSecond;      ///< Until an upstream that ended is replaced.
constexpr TimeUs kUpdateInterval = 120 * kMsToUs; ///< Between two exchanges over a link.
constexpr TimeUs kContact = 3 * kSecond;          ///< Until connected routers know of a crash.
constexpr uint32_t kAttempts = 3;
constexpr uint32_t kHalls = 3;
constexpr size_t kFoundAt = 5;    ///< Crashes from which on `kContact` counts.
constexpr uint32_t kMostLate = 3; ///< Prompts with the part that may reach upstreams after that.
const std::string kGuilty = "guilty";
const std::string kCompanion = "companion"; ///< Always beside the guilty part at first.

struct Prompt
{
	uint64_t id = 0;
	std::vector<std::string> parts;
	std::string account;
	uint32_t router = 0;
	uint32_t upstream = 0;
	uint32_t attempt = 1;
	bool retried = true;
	TimeUs sentAt = 0;
	TimeUs beginsAt = 0; ///< The answer begins.
	TimeUs leavesAt = 0; ///< The caller leaves, which the upstream does not notice; 0: it stays.
	TimeUs endsAt = 0;   ///< The answer is whole, or the upstream ends.
};

struct Scenario
{
	uint32_t upstreams = 12;
	uint32_t routers = 3;
	uint32_t subjects = 8; ///< Second parts of sound prompts; the first half is used three times as often.
	double soundRate = 40; ///< Prompts a second.
	TimeUs soundWait = 200 * kMsToUs;
	TimeUs soundLength = 500 * kMsToUs;
	double endsBySelf = 0.0; ///< Upstreams a second.
	bool hallIsLost = false;
	TimeUs guiltyEvery = 0; ///< Between prompts with the guilty part; 0: there are none.
	TimeUs guiltyWait = 100 * kMsToUs;
	bool guiltyIsFirst = false;
	bool guiltyIsRetried = true;
	double leaves = 0.0;        ///< Share of prompts whose callers leave as the answer begins.
	bool withCompanion = false; ///< The companion comes alone too, from the middle on.
	uint32_t accounts = 3;
};

struct Outcome
{
	uint32_t soundSent = 0;
	uint32_t soundRefused = 0;    ///< For a part.
	uint32_t requestsRefused = 0; ///< Sound prompts refused for their own content.
	uint32_t crashes = 0;         ///< Under the guilty part.
	uint32_t late = 0;            ///< Prompts with it that reached upstreams too late.
	uint32_t companionServed = 0;
};

struct Fleet
{
	Scenario scenario;
	Random random;
	std::vector<SuspectTable> suspects;
	std::vector<AbandonedAttempts> abandoned; ///< By router.
	SuspectLinks links;
	std::vector<Prompt> running;
	std::vector<uint32_t> incarnation;
	std::vector<TimeUs> backAt;
	std::vector<TimeUs> crashes; ///< Under the guilty part.
	TimeUs begin = 100000 * kMsToUs;
	TimeUs now = 100000 * kMsToUs;
	uint64_t next = 0;
	Outcome outcome;
};

bool isGuilty(const Prompt& _prompt)
{
	return std::find(_prompt.parts.begin(), _prompt.parts.end(), kGuilty) != _prompt.parts.end();
}

SuspectSubjects subjectsOf(const Prompt& _prompt)
{
	const std::string body = std::to_string(_prompt.id);
	return makeSubjects({_prompt.account, "host", "POST", "/x", body}, "service",
						{_prompt.parts.begin(), _prompt.parts.end()});
}

double draw(Fleet& _fleet)
{
	return nextUnit(_fleet.random);
}

void send(Fleet& _fleet, Prompt _prompt)
{
	const SuspectMatch match =
		matchSuspects(_fleet.suspects[_prompt.router], subjectsOf(_prompt), _fleet.now);
	if (match.state == SuspectState::Refused)
	{
		const bool byPart = _fleet.suspects[_prompt.router].refusedParts.count(match.digest) != 0;
		_fleet.outcome.soundRefused += !isGuilty(_prompt) && byPart ? 1 : 0;
		_fleet.outcome.requestsRefused += !isGuilty(_prompt) && !byPart ? 1 : 0;
		return;
	}
	const auto first = uint32_t(nextRandom(_fleet.random) % _fleet.scenario.upstreams);
	for (uint32_t ii = 0; ii < _fleet.scenario.upstreams; ++ii)
	{
		_prompt.upstream = (first + ii) % _fleet.scenario.upstreams;
		if (_fleet.now < _fleet.backAt[_prompt.upstream])
		{
			continue;
		}
		const bool guilty = isGuilty(_prompt);
		const bool known = _fleet.crashes.size() >= kFoundAt;
		_fleet.outcome.late +=
			guilty && known && _fleet.now > _fleet.crashes[kFoundAt - 1] + kContact ? 1 : 0;
		const TimeUs wait = guilty ? _fleet.scenario.guiltyWait : _fleet.scenario.soundWait;
		const double length = guilty ? double(100 * kMsToUs) : double(_fleet.scenario.soundLength);
		_prompt.sentAt = _fleet.now;
		_prompt.beginsAt = _fleet.now + TimeUs(draw(_fleet) * 2.0 * double(wait));
		_prompt.endsAt = _prompt.beginsAt + TimeUs((0.2 + draw(_fleet)) * length);
		const bool leaves = _fleet.scenario.leaves > 0.0 && draw(_fleet) < _fleet.scenario.leaves;
		_prompt.leavesAt = leaves ? _prompt.beginsAt + TimeUs(draw(_fleet) * double(50 * kMsToUs)) : 0;
		_fleet.running.push_back(_prompt);
		return;
	}
}

UpstreamKey keyOf(const Fleet& _fleet, uint32_t _upstream)
{
	return UpstreamKey(_upstream * 1000 + _fleet.incarnation[_upstream]);
}

bool hasLeft(const Prompt& _prompt, TimeUs _now)
{
	return _prompt.leavesAt != 0 && _now >= _prompt.leavesAt;
}

void crash(Fleet& _fleet, uint32_t _upstream)
{
	const UpstreamKey key = keyOf(_fleet, _upstream);
	++_fleet.incarnation[_upstream];
	_fleet.backAt[_upstream] = _fleet.now + kReplaceTime;
	std::vector<Prompt> aborted;
	const auto here = [_upstream](const Prompt& _prompt) {
		return _prompt.upstream == _upstream;
	};
	std::copy_if(_fleet.running.begin(), _fleet.running.end(), std::back_inserter(aborted), here);
	_fleet.running.erase(std::remove_if(_fleet.running.begin(), _fleet.running.end(), here),
						 _fleet.running.end());
	for (const Prompt& prompt : aborted)
	{
		if (hasLeft(prompt, _fleet.now))
		{
			recordInterrupted(_fleet.suspects[prompt.router],
							  takeAtEnd(_fleet.abandoned[prompt.router], key, _fleet.now), _fleet.now);
			continue;
		}
		ObservedCrash seen{key, _fleet.now, _fleet.now - prompt.sentAt, _fleet.scenario.upstreams, 0};
		seen.writingFor = std::max<TimeUs>(0, _fleet.now - prompt.beginsAt);
		recordInterrupted(_fleet.suspects[prompt.router], subjectsOf(prompt), "", seen, _fleet.now);
	}
	for (Prompt& prompt : aborted)
	{
		if (prompt.retried && !hasLeft(prompt, _fleet.now) && prompt.attempt++ < kAttempts)
		{
			send(_fleet, prompt);
		}
	}
}

/// Closes the attempts whose callers have left.
void closeLeft(Fleet& _fleet)
{
	for (const Prompt& prompt : _fleet.running)
	{
		if (prompt.leavesAt != 0 && prompt.leavesAt <= _fleet.now && prompt.leavesAt > _fleet.now - kStep)
		{
			recordAbandoned(_fleet.abandoned[prompt.router], keyOf(_fleet, prompt.upstream),
							{subjectsOf(prompt), "", "", prompt.sentAt, prompt.beginsAt, _fleet.now,
							 _fleet.scenario.upstreams});
		}
	}
}

/// Ends the answers that are whole, and the upstreams that end under the guilty part.
void endAnswers(Fleet& _fleet)
{
	closeLeft(_fleet);
	std::set<uint32_t> ended;
	for (auto at = _fleet.running.begin(); at != _fleet.running.end();)
	{
		if (_fleet.now < at->endsAt)
		{
			++at;
		}
		else if (isGuilty(*at))
		{
			ended.insert(at->upstream);
			++at;
		}
		else
		{
			const SuspectSubjects subjects = subjectsOf(*at);
			SuspectTable& table = _fleet.suspects[at->router];
			if (!hasLeft(*at, _fleet.now))
			{
				recordAnswered(table, subjects.request, _fleet.now);
				recordHarmlessParts(table, subjects, _fleet.now);
			}
			const std::string last = at->parts.back();
			_fleet.outcome.companionServed += last == kCompanion ? 1 : 0;
			at = _fleet.running.erase(at);
		}
	}
	for (const uint32_t upstream : ended)
	{
		_fleet.crashes.push_back(_fleet.now);
		crash(_fleet, upstream);
	}
}

/// Exchanges updates; all routers follow the first.
void exchange(Fleet& _fleet)
{
	exchangeSuspects(_fleet.suspects, _fleet.links, _fleet.now);
	// Refused prompts that are under way end.
	_fleet.running.erase(
		std::remove_if(_fleet.running.begin(), _fleet.running.end(),
					   [&](const Prompt& _prompt) {
						   const SuspectTable& table = _fleet.suspects[_prompt.router];
						   return isGuilty(_prompt) &&
								  matchSuspects(table, subjectsOf(_prompt), _fleet.now).state ==
									  SuspectState::Refused;
					   }),
		_fleet.running.end());
}

Prompt newPrompt(Fleet& _fleet)
{
	Prompt prompt;
	prompt.id = ++_fleet.next;
	prompt.account = std::to_string(nextRandom(_fleet.random) % _fleet.scenario.accounts);
	prompt.router = uint32_t(nextRandom(_fleet.random) % _fleet.scenario.routers);
	return prompt;
}

std::string subject(Fleet& _fleet)
{
	const uint32_t subjects = _fleet.scenario.subjects;
	const uint64_t range = draw(_fleet) < 0.75 ? std::max(1u, subjects / 2) : subjects;
	return fmt::format("subject {}", nextRandom(_fleet.random) % range);
}

void arrivals(Fleet& _fleet)
{
	const Scenario& scenario = _fleet.scenario;
	const double perStep = scenario.soundRate * double(kStep) / double(kSecond);
	if (draw(_fleet) < perStep)
	{
		Prompt prompt = newPrompt(_fleet);
		prompt.parts = {"first", subject(_fleet)};
		const bool alone = scenario.withCompanion && _fleet.now > _fleet.begin + kDuration / 2;
		if (alone && draw(_fleet) < 0.1)
		{
			prompt.parts.push_back(kCompanion);
		}
		++_fleet.outcome.soundSent;
		send(_fleet, prompt);
	}
	const TimeUs since = _fleet.now - _fleet.begin - kCalmTime;
	if (scenario.guiltyEvery != 0 && since >= 0 && since % scenario.guiltyEvery < kStep)
	{
		Prompt prompt = newPrompt(_fleet);
		prompt.retried = scenario.guiltyIsRetried;
		prompt.parts = {"first", subject(_fleet)};
		if (scenario.withCompanion)
		{
			prompt.parts.push_back(kCompanion);
		}
		prompt.parts.insert(scenario.guiltyIsFirst ? prompt.parts.begin() : prompt.parts.end(), kGuilty);
		send(_fleet, prompt);
	}
}

Outcome simulate(const Scenario& _scenario, uint64_t _seed)
{
	Fleet fleet;
	fleet.scenario = _scenario;
	fleet.random.state = _seed;
	fleet.suspects.resize(_scenario.routers);
	fleet.abandoned.resize(_scenario.routers);
	fleet.links = makeSuspectLinks(_scenario.routers);
	fleet.incarnation.resize(_scenario.upstreams, 1);
	fleet.backAt.resize(_scenario.upstreams, 0);
	for (; fleet.now < fleet.begin + kDuration; fleet.now += kStep)
	{
		endAnswers(fleet);
		arrivals(fleet);
		const bool trouble = fleet.now >= fleet.begin + kCalmTime;
		if (trouble && draw(fleet) < _scenario.endsBySelf * double(kStep) / double(kSecond))
		{
			const auto upstream = uint32_t(nextRandom(fleet.random) % _scenario.upstreams);
			if (fleet.now >= fleet.backAt[upstream])
			{
				crash(fleet, upstream);
			}
		}
		if (_scenario.hallIsLost && fleet.now == fleet.begin + kDuration / 2)
		{
			for (uint32_t ii = 0; ii < _scenario.upstreams; ii += kHalls)
			{
				crash(fleet, ii);
			}
		}
		if ((fleet.now - fleet.begin) % kUpdateInterval == 0)
		{
			for (uint32_t ii = 0; ii < _scenario.routers; ++ii)
			{
				const std::vector<AbandonedAtCrash> closed =
					takeAtKnownCrashes(fleet.abandoned[ii], fleet.suspects[ii], fleet.now);
				recordInterrupted(fleet.suspects[ii], closed, fleet.now);
				decidePendingParts(fleet.suspects[ii], fleet.now);
			}
			exchange(fleet);
		}
	}
	fleet.outcome.crashes = uint32_t(fleet.crashes.size());
	return fleet.outcome;
}

Scenario randomScenario(Random& _random)
{
	Scenario scenario;
	constexpr uint32_t kUpstreams[] = {8, 20, 60};
	constexpr uint32_t kRouters[] = {1, 3, 23};
	scenario.upstreams = kUpstreams[nextRandom(_random) % 3];
	scenario.routers = kRouters[nextRandom(_random) % 3];
	scenario.subjects = 1 + uint32_t(nextRandom(_random) % 60);
	scenario.soundRate = 5.0 + nextUnit(_random) * 90.0;
	scenario.soundWait = TimeUs(10 + nextRandom(_random) % 800) * kMsToUs;
	scenario.soundLength = TimeUs(50 + nextRandom(_random) % 3000) * kMsToUs;
	scenario.guiltyWait = TimeUs(10 + nextRandom(_random) % 800) * kMsToUs;
	scenario.guiltyIsFirst = nextRandom(_random) % 2 == 0;
	scenario.withCompanion = nextRandom(_random) % 3 == 0;
	scenario.accounts = 1 + uint32_t(nextRandom(_random) % 4);
	return scenario;
}

uint32_t scenarioCount()
{
	const char* requested = std::getenv("SPANPLANK_FLEETS");
	return requested != nullptr ? uint32_t(std::stoul(requested)) : 24;
}

std::string describe(const Scenario& _scenario, const Outcome& _outcome)
{
	return fmt::format(
		"{} crashes, {} late, {} of {} sound refused, {} by themselves, {} alone served: upstreams {} "
		"routers {} "
		"subjects {} rate {:.0f} wait {} length {}; guilty every {} wait {} first {} companion {} "
		"accounts {} by self {:.2f} hall {}",
		_outcome.crashes, _outcome.late, _outcome.soundRefused, _outcome.soundSent, _outcome.requestsRefused,
		_outcome.companionServed, _scenario.upstreams, _scenario.routers, _scenario.subjects,
		_scenario.soundRate, _scenario.soundWait / kMsToUs, _scenario.soundLength / kMsToUs,
		_scenario.guiltyEvery / kMsToUs, _scenario.guiltyWait / kMsToUs, _scenario.guiltyIsFirst,
		_scenario.withCompanion, _scenario.accounts, _scenario.endsBySelf, _scenario.hallIsLost);
}

// Prompts with the part come one after the other and are not retried: nothing else explains three crashes.
TEST(PartProperty, APartThatEndsUpstreamsIsRefusedAtItsThirdCrash)
{
	Random random{21};
	uint32_t third = 0;
	for (uint32_t ii = 0; ii < scenarioCount(); ++ii)
	{
		Scenario scenario = randomScenario(random);
		scenario.guiltyEvery = 2 * kSecond + 10 * kStep;
		scenario.guiltyWait = 100 * kMsToUs;
		scenario.guiltyIsRetried = false;
		scenario.accounts = 1;
		const Outcome outcome = simulate(scenario, nextRandom(random));
		EXPECT_EQ(outcome.crashes, 3u) << "fleet " << ii << ": " << describe(scenario, outcome);
		EXPECT_EQ(outcome.soundRefused, 0u) << "fleet " << ii << ": " << describe(scenario, outcome);
		third += outcome.crashes == 3 ? 1 : 0;
	}
	fmt::print("{} of {} parts were refused at their third crash\n", third, scenarioCount());
}

/// Plays random fleets with a part that ends upstreams: it is refused within the bound, and no other is.
/// @param[in] _shape Makes a scenario of its kind; may draw from the generator.
void expectRefusedWithinBound(uint64_t _seed, const std::function<void(Scenario&, Random&)>& _shape)
{
	Random random{_seed};
	uint32_t refused = 0;
	uint32_t sent = 0;
	uint32_t found = 0;
	for (uint32_t ii = 0; ii < scenarioCount(); ++ii)
	{
		Scenario scenario = randomScenario(random);
		scenario.guiltyEvery = TimeUs(10 + nextRandom(random) % 100) * kStep;
		_shape(scenario, random);
		const Outcome outcome = simulate(scenario, nextRandom(random));
		EXPECT_LE(outcome.late, kMostLate) << "fleet " << ii << ": " << describe(scenario, outcome);
		EXPECT_EQ(outcome.soundRefused, 0u) << "fleet " << ii << ": " << describe(scenario, outcome);
		found += outcome.crashes <= kFoundAt ? 1 : 0;
		refused += outcome.soundRefused;
		sent += outcome.soundSent;
	}
	fmt::print(
		"{} of {} sound prompts were refused for a part; {} of {} parts were found by the fifth crash\n",
		refused, sent, found, scenarioCount());
}

// Each second caller leaves as its answer begins.
TEST(PartProperty, APartWhoseCallersLeaveIsRefusedWithinTheBoundAndNoOther)
{
	expectRefusedWithinBound(24, [](Scenario& _scenario, Random&) { _scenario.leaves = 0.5; });
}

// With retries, while upstreams also end by themselves or with their hall.
TEST(PartProperty, APartThatEndsUpstreamsIsRefusedWithinTheBoundAndNoOther)
{
	expectRefusedWithinBound(22, [](Scenario& _scenario, Random& _random) {
		_scenario.endsBySelf = nextUnit(_random) * 0.3 * double(_scenario.upstreams) / 8.0;
		_scenario.hallIsLost = nextRandom(_random) % 2 == 0;
	});
}

TEST(PartProperty, HarmlessPartsAreNotRefused)
{
	Random random{23};
	uint32_t refused = 0;
	uint32_t sent = 0;
	for (uint32_t ii = 0; ii < scenarioCount(); ++ii)
	{
		Scenario scenario = randomScenario(random);
		scenario.endsBySelf = nextUnit(random) * 0.6 * double(scenario.upstreams) / 8.0;
		scenario.hallIsLost = true;
		const Outcome outcome = simulate(scenario, nextRandom(random));
		EXPECT_EQ(outcome.soundRefused, 0u) << "fleet " << ii << ": " << describe(scenario, outcome);
		refused += outcome.soundRefused;
		sent += outcome.soundSent;
	}
	fmt::print("{} of {} sound prompts were refused for a part\n", refused, sent);
}
} // namespace
} // namespace spanplank
