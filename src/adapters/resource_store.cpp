#include "resource_store_p.h"

#include <algorithm>
#include <fmt/format.h>

#include "fiber_runtime_p.h"
#include "spanplank/config.h"
#include "spanplank/json_text.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kReadBackTries = 5;
constexpr uint32_t kReadBackPauseMs = 100;
constexpr uint32_t kBlindTries = 20;

std::string storeKey(const std::string& _kind, const std::string& _name)
{
	return kConfigPrefix + _kind + "/" + _name;
}

/// @returns The resource of an item; without a kind if there is none, or another writer has left something
/// else in its place, which is logged. Its revision is that of the item.
Resource toResource(const StoreItem& _item)
{
	Resource resource;
	if (_item.revision == 0 || _item.deleted)
	{
		return resource;
	}
	try
	{
		resource = parseJson(_item.value).get<Resource>();
		if (storeKey(resource.kind, resource.name) != _item.key)
		{
			noteUnreadable(_item.key, "it is the resource of another key");
			resource = {};
		}
	}
	catch (const json::exception& failure)
	{
		noteUnreadable(_item.key, failure.what());
	}
	resource.revision = _item.revision;
	return resource;
}

ConfigUpdate toUpdate(const StoreList& _list, uint64_t _base)
{
	ConfigUpdate update;
	update.revision = _list.revision;
	update.base = _base;
	for (const StoreItem& item : _list.items)
	{
		Resource resource = toResource(item);
		if (!resource.kind.empty())
		{
			update.changes.push_back(std::move(resource));
		}
	}
	return update;
}

bool holds(const Resource& _resource, const std::string& _op)
{
	return std::find(_resource.ops.begin(), _resource.ops.end(), _op) != _resource.ops.end();
}

/// A version moves forwards only, within one generation.
void checkForwards(const Resource& _old, const ResourceWrite& _write)
{
	if (_write.kind != kKindVersion || _old.kind.empty() || _old.deleted || _write.remove)
	{
		return;
	}
	const auto before = _old.spec.get<Version>();
	const auto after = _write.spec.get<Version>();
	const bool newer = after.generation > before.generation;
	if (after.generation < before.generation || (!newer && after.state < before.state))
	{
		throw Failure(ErrorCode::BadRequest,
					  "spec.state: moves forwards only; raise spec.generation to bring a version back");
	}
}

Resource next(const Resource& _old, const ResourceWrite& _write)
{
	Resource resource;
	resource.kind = _write.kind;
	resource.name = _write.name;
	resource.deleted = _write.remove;
	resource.spec = _write.remove ? json::object() : _write.spec;
	resource.ops = _old.ops;
	resource.ops.push_back(_write.op);
	if (resource.ops.size() > kResourceOps)
	{
		resource.ops.erase(resource.ops.begin());
	}
	return resource;
}

/// The answer to a write was lost: the resource itself tells whether it took effect.
/// @throws Failure(StoreUnavailable, run unknown) if it can't be read either.
Resource readBack(StoreClient& _client, const std::string& _key)
{
	for (uint32_t ii = 0; ii < kReadBackTries; ++ii)
	{
		try
		{
			return toResource(readStore(_client, _key));
		}
		catch (const Failure&)
		{
			// Logged by the store's client when its state changes.
		}
		sleepFor(kReadBackPauseMs);
	}
	throw Failure(
		Refusal{ErrorCode::StoreUnavailable, RunState::Unknown, 1000,
				"the answer of the store was lost; send the write again with the same operation id"});
}

std::shared_ptr<boost::fibers::mutex> turnOf(StoreClient& _client, const std::string& _key)
{
	std::weak_ptr<boost::fibers::mutex>& held = _client.turns[_key];
	std::shared_ptr<boost::fibers::mutex> turn = held.lock();
	if (!turn)
	{
		turn = std::make_shared<boost::fibers::mutex>();
		held = turn;
	}
	return turn;
}

void checkWrite(const ResourceWrite& _write)
{
	if (_write.op.empty())
	{
		throw Failure(ErrorCode::BadRequest, "op: is missing");
	}
	const std::vector<std::string> mistakes =
		validateResource(_write.kind, _write.name, _write.remove ? json::object() : _write.spec);
	if (!_write.remove && !mistakes.empty())
	{
		throw Failure(ErrorCode::BadRequest, fmt::format("{}", fmt::join(mistakes, "; ")));
	}
}
} // namespace

Resource writeResource(StoreClient& _client, const ResourceWrite& _write)
{
	checkWrite(_write);
	const std::string key = storeKey(_write.kind, _write.name);
	// Writers of one resource in one process take turns: the store sees one of them at a time.
	const std::shared_ptr<boost::fibers::mutex> turn = turnOf(_client, key);
	const std::lock_guard<boost::fibers::mutex> lock(*turn);
	Resource old = toResource(readStore(_client, key));
	for (uint32_t ii = 0; ii < kBlindTries; ++ii)
	{
		if (holds(old, _write.op))
		{
			return old; // It took effect at an earlier try.
		}
		const uint64_t seen = old.deleted ? 0 : old.revision;
		if (_write.expected && *_write.expected != seen)
		{
			throw Failure(ErrorCode::RevisionConflict, fmt::format("the resource is at revision {}", seen));
		}
		checkForwards(old, _write);
		Resource resource = next(old, _write);
		const CasResult result =
			casStore(_client, key, json(resource).dump(), old.revision, resource.revision);
		if (result == CasResult::Done)
		{
			return resource;
		}
		old = readBack(_client, key);
	}
	if (holds(old, _write.op))
	{
		return old; // The last try's answer was lost, but it took effect.
	}
	throw Failure(ErrorCode::RevisionConflict, "too many writers at once");
}

ConfigUpdate readConfig(StoreClient& _client)
{
	return toUpdate(listStore(_client, kConfigPrefix), 0);
}

ConfigUpdate watchConfig(StoreClient& _client, uint64_t _after, uint32_t _waitMs)
{
	return toUpdate(watchStore(_client, kConfigPrefix, _after, _waitMs), _after);
}
} // namespace spanplank
