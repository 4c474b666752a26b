/// Applies updates and halts to a replica of the configuration, and answers look-ups in it.
#include "spanplank/config_replica.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// @throws nlohmann::json::exception if the specification is not one of this kind.
template <typename Spec>
void applySpec(std::map<std::string, Spec, std::less<>>& _map, const Resource& _resource)
{
	if (_resource.deleted)
	{
		_map.erase(_resource.name);
		return;
	}
	_map[_resource.name] = _resource.spec.get<Spec>(); // Read before anything changes.
}

/// @returns An account that holds a key; null if none does.
const std::string* holderOf(const ConfigReplica& _replica, const std::string& _hash)
{
	for (const auto& [name, account] : _replica.accounts)
	{
		if (std::find(account.keyHashes.begin(), account.keyHashes.end(), _hash) != account.keyHashes.end())
		{
			return &name;
		}
	}
	return nullptr;
}

void applyAccount(ConfigReplica& _replica, const Resource& _resource)
{
	const auto old = _replica.accounts.find(_resource.name);
	const std::vector<std::string> before =
		old == _replica.accounts.end() ? std::vector<std::string>() : old->second.keyHashes;
	applySpec(_replica.accounts, _resource);
	for (const std::string& hash : before)
	{
		const auto owner = _replica.accountByKeyHash.find(hash);
		if (owner == _replica.accountByKeyHash.end() || owner->second != _resource.name)
		{
			continue;
		}
		_replica.accountByKeyHash.erase(owner);
		if (const std::string* other = holderOf(_replica, hash)) // It may be moving from one to another.
		{
			_replica.accountByKeyHash[hash] = *other;
		}
	}
	const auto applied = _replica.accounts.find(_resource.name);
	if (applied != _replica.accounts.end())
	{
		for (const std::string& hash : applied->second.keyHashes)
		{
			_replica.accountByKeyHash[hash] = _resource.name;
		}
	}
}

void applyVersion(ConfigReplica& _replica, const Resource& _resource)
{
	applySpec(_replica.versions, _resource);
	const auto applied = _replica.versions.find(_resource.name);
	if (applied != _replica.versions.end() && applied->second.state == VersionState::Withdrawn)
	{
		applyHalt(_replica, {_resource.name, applied->second.generation, "withdrawn"});
	}
}

/// @throws nlohmann::json::exception without any change if the resource can't be read.
void applyResource(ConfigReplica& _replica, const Resource& _resource)
{
	if (_resource.kind == kKindAccount)
	{
		applyAccount(_replica, _resource);
	}
	else if (_resource.kind == kKindModel)
	{
		applySpec(_replica.models, _resource);
	}
	else if (_resource.kind == kKindVersion)
	{
		applyVersion(_replica, _resource);
	}
	else if (_resource.kind == kKindCascade)
	{
		applySpec(_replica.cascades, _resource);
	}
	else if (_resource.kind == kKindRollout)
	{
		applySpec(_replica.rollouts, _resource);
	}
	else if (_resource.kind == kKindService)
	{
		applySpec(_replica.services, _resource);
	}
}
} // namespace

ApplyResult apply(ConfigReplica& _replica, const ConfigUpdate& _update)
{
	if (_update.base > _replica.revision)
	{
		return ApplyResult::Gap;
	}
	bool changed = false;
	for (const Resource& change : _update.changes)
	{
		const auto stored = _replica.resources.find({change.kind, change.name});
		if (stored != _replica.resources.end() && change.revision <= stored->second.revision)
		{
			continue;
		}
		try
		{
			applyResource(_replica, change);
		}
		catch (const nlohmann::json::exception&)
		{
			++_replica.rejected; // The last one that could be read holds.
			continue;
		}
		_replica.resources[{change.kind, change.name}] = change;
		changed = true;
	}
	if (_update.revision > _replica.revision)
	{
		_replica.revision = _update.revision;
		changed = true;
	}
	return changed ? ApplyResult::Applied : ApplyResult::Unchanged;
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
