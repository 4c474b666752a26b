/// The agent's run-once group: its table in the store, and what is seen of the other members.
#include <fmt/format.h>

#include "agent_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

std::string tableKey(const Agent& _agent)
{
	return "homes/" + _agent.settings.pool;
}

HomeTable readTable(Agent& _agent, uint64_t& _revision)
{
	const StoreItem item = readStore(_agent.node.store, tableKey(_agent));
	_revision = item.revision;
	HomeTable table;
	if (item.revision != 0 && !item.deleted)
	{
		table = readRecord<HomeTable>(item);
	}
	table.pool = _agent.settings.pool;
	return table;
}

std::vector<MemberStatus> sightsOf(Agent& _agent, const HomeTable& _table)
{
	LinkHub& hub = *_agent.node.hub;
	const TimeUs now = monotonicNow();
	std::vector<MemberStatus> sights;
	for (const HomeMember& member : _table.members)
	{
		MemberStatus sight;
		sight.incarnation = member.incarnation;
		sight.box = member.box;
		sight.linked =
			member.incarnation == _agent.node.incarnation || isValid(hub.linkTo(member.incarnation));
		if (sight.linked)
		{
			_agent.memberLostAt.erase(member.incarnation);
		}
		else
		{
			const TimeUs lostAt = _agent.memberLostAt.emplace(member.incarnation, now).first->second;
			sight.unreachableFor = now - lostAt;
		}
		for (const LinkId link : hub.openLinks())
		{
			const PeerInfo* peer = hub.peer(link);
			sight.confirmedDead =
				sight.confirmedDead || (peer->box == member.box && peer->incarnation != member.incarnation);
		}
		sights.push_back(sight);
	}
	return sights;
}

ProposalInput proposeInput(const Agent& _agent)
{
	ProposalInput input;
	input.self = {_agent.node.incarnation, _agent.settings.common.box, 0};
	input.leaving = _agent.core.draining;
	input.wallMs = wallNowMs();
	return input;
}

/// @returns Whether nothing is to be done about the group: all members are linked and settled, none leaves.
bool isQuiet(const Agent& _agent, const HomeTable& _table, const std::vector<MemberStatus>& _sights)
{
	bool quiet = _table.epoch != 0 && !_agent.core.draining && isHome(_agent);
	for (const HomeMember& member : _table.members)
	{
		quiet = quiet && member.settledEpoch == _table.epoch;
	}
	for (const MemberStatus& sight : _sights)
	{
		quiet = quiet && sight.linked && !sight.confirmedDead;
	}
	return quiet;
}
} // namespace

bool isHome(const Agent& _agent)
{
	return isMember(_agent.core.guard.table, _agent.node.incarnation);
}

void stepHomes(Agent& _agent)
{
	const HomeTable& held = _agent.core.guard.table;
	const bool resigned = _agent.core.draining && held.epoch != 0 && !isHome(_agent);
	if (resigned || isQuiet(_agent, held, sightsOf(_agent, held)))
	{
		return;
	}
	uint64_t revision = 0;
	const HomeTable current = readTable(_agent, revision);
	AgentActions actions;
	onTable(_agent.core, current, monotonicNow(), wallNowMs(), actions);
	perform(_agent, actions);
	const std::optional<HomeTable> next =
		proposeTable(_agent.core.guard, current, proposeInput(_agent), sightsOf(_agent, current));
	if (!next)
	{
		return;
	}
	_agent.core.guard.resigned = _agent.core.draining; // Before the write: its answer may be lost.
	const CasResult result =
		casStore(_agent.node.store, tableKey(_agent), json(*next).dump(), revision, revision);
	if (result == CasResult::Done)
	{
		AgentActions adopted;
		onTable(_agent.core, *next, monotonicNow(), wallNowMs(), adopted);
		perform(_agent, adopted);
	}
}
} // namespace spanplank
