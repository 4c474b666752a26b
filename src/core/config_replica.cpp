#include "spanplank/config_replica.h"

#include <algorithm>

namespace spanplank
{
namespace
{
template <typename Spec>
void place(std::map<std::string, Spec, std::less<>>& _map, const Resource& _resource)
{
	if (_resource.deleted)
	{
		_map.erase(_resource.name);
		return;
	}
	_map[_resource.name] = _resource.spec.get<Spec>();
}

void placeAccount(ConfigReplica& _replica, const Resource& _resource)
{
	const auto old = _replica.accounts.find(_resource.name);
	if (old != _replica.accounts.end())
	{
		for (const std::string& hash : old->second.keyHashes)
		{
			const auto owner = _replica.accountByKeyHash.find(hash);
			if (owner != _replica.accountByKeyHash.end() && owner->second == _resource.name)
			{
				_replica.accountByKeyHash.erase(owner);
			}
		}
	}
	place(_replica.accounts, _resource);
	const auto placed = _replica.accounts.find(_resource.name);
	if (placed != _replica.accounts.end())
	{
		for (const std::string& hash : placed->second.keyHashes)
		{
			_replica.accountByKeyHash[hash] = _resource.name;
		}
	}
}

void placeVersion(ConfigReplica& _replica, const Resource& _resource)
{
	place(_replica.versions, _resource);
	const auto placed = _replica.versions.find(_resource.name);
	if (placed != _replica.versions.end() && placed->second.state == VersionState::Withdrawn)
	{
		applyHalt(_replica, {_resource.name, placed->second.generation, "withdrawn"});
	}
}

void placeResource(ConfigReplica& _replica, const Resource& _resource)
{
	if (_resource.kind == kKindAccount)
	{
		placeAccount(_replica, _resource);
	}
	else if (_resource.kind == kKindModel)
	{
		place(_replica.models, _resource);
	}
	else if (_resource.kind == kKindVersion)
	{
		placeVersion(_replica, _resource);
	}
	else if (_resource.kind == kKindCascade)
	{
		place(_replica.cascades, _resource);
	}
	else if (_resource.kind == kKindRollout)
	{
		place(_replica.rollouts, _resource);
	}
	else if (_resource.kind == kKindService)
	{
		place(_replica.services, _resource);
	}
}
} // namespace

ApplyResult apply(ConfigReplica& _replica, const ConfigUpdate& _update)
{
	if (_update.base > _replica.revision)
	{
		return ApplyResult::Gap;
	}
	bool news = false;
	for (const Resource& change : _update.changes)
	{
		Resource& held = _replica.resources[{change.kind, change.name}];
		if (change.revision <= held.revision)
		{
			continue;
		}
		held = change;
		placeResource(_replica, held);
		news = true;
	}
	if (_update.revision > _replica.revision)
	{
		_replica.revision = _update.revision;
		news = true;
	}
	return news ? ApplyResult::Applied : ApplyResult::Known;
}

bool applyHalt(ConfigReplica& _replica, const Halt& _halt)
{
	uint32_t& generation = _replica.haltedGeneration[_halt.version];
	if (_halt.generation <= generation)
	{
		return false;
	}
	generation = _halt.generation;
	return true;
}

ConfigUpdate updateSince(const ConfigReplica& _replica, uint64_t _since)
{
	ConfigUpdate update;
	update.revision = _replica.revision;
	update.base = _since;
	for (const auto& [key, resource] : _replica.resources)
	{
		if (resource.revision > _since)
		{
			update.changes.push_back(resource);
		}
	}
	std::sort(update.changes.begin(), update.changes.end(),
			  [](const Resource& _a, const Resource& _b) { return _a.revision < _b.revision; });
	return update;
}

bool mayServe(const ConfigReplica& _replica, std::string_view _version, bool _session)
{
	const auto version = _replica.versions.find(_version);
	if (version == _replica.versions.end())
	{
		return false;
	}
	const auto halted = _replica.haltedGeneration.find(_version);
	if (halted != _replica.haltedGeneration.end() && halted->second >= version->second.generation)
	{
		return false;
	}
	switch (version->second.state)
	{
	case VersionState::Candidate:
	case VersionState::Serving:
		return true;
	case VersionState::Retiring:
		return _session;
	case VersionState::Withdrawn:
		return false;
	}
	return false;
}

bool allowsName(const ConfigReplica& _replica, std::string_view _account, std::string_view _name)
{
	const auto account = _replica.accounts.find(_account);
	if (account == _replica.accounts.end())
	{
		return false;
	}
	const std::vector<std::string>& allowed = account->second.allowed;
	return std::find(allowed.begin(), allowed.end(), _name) != allowed.end();
}

bool allowsVersion(const ConfigReplica& _replica, std::string_view _account, std::string_view _version)
{
	const auto version = _replica.versions.find(_version);
	if (version == _replica.versions.end())
	{
		return false;
	}
	return allowsName(_replica, _account, _version) || allowsName(_replica, _account, version->second.model);
}

const Rollout* rolloutOf(const ConfigReplica& _replica, std::string_view _version)
{
	for (const auto& [rolloutName, rollout] : _replica.rollouts)
	{
		if (rollout.candidate == _version)
		{
			return &rollout;
		}
	}
	return nullptr;
}
} // namespace spanplank
