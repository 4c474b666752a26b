/// The agent's versions: ratings, exposure credits, automatic halts and promotions.
#include <fmt/format.h>

#include "agent_p.h"
#include "resource_store_p.h"
#include "spanplank/json_text.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

void readRatings(Agent& _agent, const std::string& _version, RatingFeed& _feed)
{
	HttpCall request;
	request.method = "GET";
	request.target = fmt::format("/ratings?version={}&after={}", _version, _feed.cursor);
	request.timeoutMs = 1000;
	const HttpResponse response = call(_agent.ratings, request);
	const json answer = readJson(response.body);
	if (response.status != 200 || !answer.is_object())
	{
		return;
	}
	_feed.cursor = answer.value("next", _feed.cursor);
	_feed.tally.good += answer.value("good", uint64_t(0));
	_feed.tally.bad += answer.value("bad", uint64_t(0));
}

std::string exposureKey(const std::string& _version, uint32_t _generation)
{
	return fmt::format("exposure/{}/{}", _version, _generation);
}

/// Takes credits for a candidate out of the shared ledger, by compare-and-swap.
void takeCredits(Agent& _agent, const std::string& _version, const Rollout& _rollout, RatingFeed& _feed)
{
	ExposureCredits& credits = _agent.core.credits[_version];
	if (credits.generation != _feed.generation)
	{
		credits = ExposureCredits{};
		credits.generation = _feed.generation;
	}
	const bool wanted = credits.remaining == 0 && credits.refused > 0; // Nobody asks here: nothing to take.
	if (!wanted)
	{
		return;
	}
	const std::string key = exposureKey(_version, _feed.generation);
	const StoreItem item = readStore(_agent.node.store, key);
	ExposureLedger ledger;
	if (item.revision != 0)
	{
		ledger = readRecord<ExposureLedger>(item);
	}
	ledger.version = _version;
	ledger.generation = _feed.generation;
	const uint64_t credit = grantableCredits(ledger, _feed.tally, _rollout, _agent.core.init.grantSize);
	if (credit == 0)
	{
		return;
	}
	const uint64_t seq = _feed.grants + 1;
	addGrant(ledger, _agent.node.incarnation, seq, credit);
	uint64_t revision = 0;
	CasResult result = casStore(_agent.node.store, key, json(ledger).dump(), item.revision, revision);
	if (result == CasResult::Lost)
	{
		const auto held = readJson(readStore(_agent.node.store, key).value);
		const bool took =
			held.is_object() && held.get<ExposureLedger>().grantSeq[_agent.node.incarnation] == seq;
		result = took ? CasResult::Done : CasResult::Conflict;
	}
	if (result == CasResult::Done)
	{
		_feed.grants = seq;
		credits.remaining += credit;
		credits.refused = 0;
	}
}

/// Writes a version's next state; the operation id makes it the same write from every agent.
void writeState(Agent& _agent, const std::string& _version, uint32_t _generation, VersionState _state)
{
	const auto held = _agent.core.config.versions.find(_version);
	if (held == _agent.core.config.versions.end() || held->second.generation != _generation ||
		held->second.state >= _state)
	{
		return;
	}
	Version version = held->second;
	version.state = _state;
	ResourceWrite write;
	write.kind = kKindVersion;
	write.name = _version;
	write.spec = version;
	write.op = fmt::format("rollout-{}-{}-{}", _version, _generation, int(_state));
	write.expected = _agent.core.config.resources.at({kKindVersion, _version}).revision;
	try
	{
		writeResource(_agent.node.store, write);
		noteEvent(_agent.node, "version_state", _version, json(_state).get<std::string>());
	}
	catch (const Failure& failure)
	{
		if (failure.refusal().code != ErrorCode::RevisionConflict)
		{
			throw;
		}
	}
}

/// The feed of a version, started anew for a new generation.
RatingFeed& feedOf(Agent& _agent, const std::string& _name, uint32_t _generation)
{
	RatingFeed& feed = _agent.feeds[_name];
	if (feed.generation != _generation)
	{
		const uint64_t cursor = feed.cursor; // Ratings of the earlier generation don't count for this one.
		feed = RatingFeed{};
		feed.generation = _generation;
		feed.cursor = cursor;
	}
	return feed;
}

void stepRollout(Agent& _agent, const std::string& _name)
{
	const Rollout* rollout = rolloutOf(_agent.core.config, _name);
	if (rollout == nullptr)
	{
		return;
	}
	const Rollout declared = *rollout;
	RatingFeed& feed = feedOf(_agent, _name, _agent.core.config.versions.at(_name).generation);
	readRatings(_agent, _name, feed);
	AgentActions actions;
	const RolloutVerdict verdict = onRatings(_agent.core, _name, feed.tally, actions);
	perform(_agent, actions);
	if (verdict == RolloutVerdict::Serve)
	{
		writeState(_agent, _name, feed.generation, VersionState::Serving);
	}
	else if (verdict == RolloutVerdict::Undecided && !declared.paused)
	{
		takeCredits(_agent, _name, declared, feed);
	}
}

/// A version that serves may turn bad at any time.
void stepDrift(Agent& _agent, const std::string& _name, uint32_t _generation)
{
	if (!watchesRatings(_agent.core, _name))
	{
		return;
	}
	RatingFeed& feed = feedOf(_agent, _name, _generation);
	const RatingTally before = feed.tally;
	readRatings(_agent, _name, feed);
	AgentActions actions;
	onDrift(_agent.core, _name, {feed.tally.good - before.good, feed.tally.bad - before.bad}, actions);
	perform(_agent, actions);
}
} // namespace

void stepRatings(Agent& _agent, const std::string& _name)
{
	const auto version = _agent.core.config.versions.find(_name);
	if (version == _agent.core.config.versions.end() || !mayServe(_agent.core.config, _name, true))
	{
		return;
	}
	if (version->second.state == VersionState::Candidate)
	{
		stepRollout(_agent, _name);
		return;
	}
	stepDrift(_agent, _name, version->second.generation);
}

void writeHalts(Agent& _agent)
{
	while (!_agent.unwrittenHalts.empty())
	{
		const Halt halt = _agent.unwrittenHalts.front();
		writeState(_agent, halt.version, halt.generation, VersionState::Withdrawn);
		_agent.unwrittenHalts.erase(_agent.unwrittenHalts.begin());
	}
}
} // namespace spanplank
