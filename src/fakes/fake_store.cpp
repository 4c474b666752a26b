#include "fakes.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr size_t kMaxHistory = 200000;
constexpr size_t kMaxValueBytes = 1u << 20;
constexpr uint32_t kWatchPollMs = 10;

json shown(const std::string& _key, const std::string& _value, uint64_t _revision, bool _deleted)
{
	return {{"key", _key}, {"value", _value}, {"revision", _revision}, {"deleted", _deleted}};
}

bool startsWith(const std::string& _text, const std::string& _prefix)
{
	return _text.compare(0, _prefix.size(), _prefix) == 0;
}

void change(FakeStore& _store, const std::string& _key, const std::string& _value, uint64_t _lease,
			bool _deleted)
{
	FakeStore::Item& item = _store.items[_key];
	item = {_value, ++_store.revision, _deleted, _lease};
	_store.history.push_back({_key, _value, item.revision});
	if (_store.history.size() > kMaxHistory)
	{
		_store.history.pop_front();
	}
}

void expireLeases(FakeStore& _store)
{
	const TimeUs now = monotonicNow();
	for (auto it = _store.leases.begin(); it != _store.leases.end();)
	{
		if (it->second > now)
		{
			++it;
			continue;
		}
		const uint64_t lapsed = it->first;
		it = _store.leases.erase(it);
		std::vector<std::string> keys;
		for (const auto& [key, item] : _store.items)
		{
			if (item.lease == lapsed && !item.deleted)
			{
				keys.push_back(key);
			}
		}
		for (const std::string& key : keys)
		{
			change(_store, key, "", 0, true);
		}
	}
}

json readItem(FakeStore& _store, const json& _request)
{
	++_store.reads;
	const std::string key = _request.value("key", "");
	const auto found = _store.items.find(key);
	if (found == _store.items.end() || found->second.deleted)
	{
		return shown(key, "", 0, false);
	}
	return shown(key, found->second.value, found->second.revision, false);
}

json listItems(FakeStore& _store, const json& _request)
{
	++_store.reads;
	const std::string prefix = _request.value("prefix", "");
	json items = json::array();
	for (const auto& [key, item] : _store.items)
	{
		if (startsWith(key, prefix) && !item.deleted)
		{
			items.push_back(shown(key, item.value, item.revision, false));
		}
	}
	return {{"revision", _store.revision}, {"items", items}};
}

json casItem(FakeStore& _store, const json& _request)
{
	++_store.writes;
	const std::string key = _request.value("key", "");
	const std::string value = _request.value("value", "");
	const auto found = _store.items.find(key);
	const bool present = found != _store.items.end() && !found->second.deleted;
	const uint64_t held = present ? found->second.revision : 0;
	const uint64_t lease = _request.value("lease", uint64_t(0));
	const bool leaseHolds = lease == 0 || _store.leases.count(lease) != 0;
	if (held != _request.value("expected", uint64_t(0)) || value.size() > kMaxValueBytes || !leaseHolds)
	{
		return {{"ok", false}, {"revision", held}};
	}
	change(_store, key, value, lease, _request.value("delete", false));
	return {{"ok", true}, {"revision", _store.revision}};
}

json changesAfter(const FakeStore& _store, const std::string& _prefix, uint64_t _after)
{
	json items = json::array();
	const auto first = std::lower_bound(
		_store.history.begin(), _store.history.end(), _after + 1,
		[](const FakeStore::Change& _change, uint64_t _rev) { return _change.revision < _rev; });
	for (auto it = first; it != _store.history.end(); ++it)
	{
		if (startsWith(it->key, _prefix))
		{
			items.push_back(shown(it->key, it->value, it->revision, false));
		}
	}
	return items;
}

json watchItems(FakeStore& _store, const json& _request)
{
	++_store.watches;
	const std::string prefix = _request.value("prefix", "");
	const uint64_t after = _request.value("after", uint64_t(0));
	const TimeUs until = monotonicNow() + TimeUs(_request.value("wait_ms", 10000u)) * kMsToUs;
	uint64_t looked = UINT64_MAX;
	json items = json::array();
	while (items.empty() && !_store.down && monotonicNow() < until)
	{
		if (looked != _store.revision)
		{
			looked = _store.revision;
			items = changesAfter(_store, prefix, after);
		}
		if (items.empty())
		{
			sleepFor(kWatchPollMs);
		}
	}
	return {{"revision", _store.revision}, {"items", items}};
}

json grantLease(FakeStore& _store, const json& _request)
{
	++_store.writes;
	uint64_t lease = _request.value("lease", uint64_t(0));
	if (lease != 0 && _store.leases.count(lease) == 0)
	{
		return {{"ok", false}};
	}
	lease = lease == 0 ? _store.nextLease++ : lease;
	_store.leases[lease] = monotonicNow() + TimeUs(_request.value("ttl_ms", 1000u)) * kMsToUs;
	return {{"ok", true}, {"lease", lease}};
}

/// @returns Whether the call is over the rate that the service bears.
bool overRate(FakeStore& _store)
{
	const TimeUs now = monotonicNow();
	if (now - _store.secondStart >= 1000 * kMsToUs)
	{
		_store.secondStart = now;
		_store.callsThisSecond = 0;
	}
	++_store.callsThisSecond;
	_store.peakCalls = std::max(_store.peakCalls, _store.callsThisSecond);
	return _store.maxCallsPerSecond != 0 && _store.callsThisSecond > _store.maxCallsPerSecond;
}
} // namespace

json bodyOf(const HttpExchange& _exchange)
{
	const json body = json::parse(_exchange.request().body(), nullptr, false);
	return body.is_object() ? body : json::object();
}

bool answerStore(FakeStore& _store, HttpExchange& _exchange, const std::string& _path)
{
	if (!startsWith(_path, "kv/"))
	{
		return false;
	}
	if (_store.down)
	{
		_exchange.abort();
		return true;
	}
	if (overRate(_store))
	{
		++_store.limited;
		_exchange.respond(jsonResponse(429, {{"error", "rate"}}));
		return true;
	}
	if (_store.slowMs > 0)
	{
		sleepFor(_store.slowMs);
	}
	expireLeases(_store);
	const json request = bodyOf(_exchange);
	json answer;
	const bool write = _path == "kv/cas" || _path == "kv/lease";
	if (_path == "kv/get")
	{
		answer = readItem(_store, request);
	}
	else if (_path == "kv/list")
	{
		answer = listItems(_store, request);
	}
	else if (_path == "kv/cas")
	{
		answer = casItem(_store, request);
	}
	else if (_path == "kv/watch")
	{
		answer = watchItems(_store, request);
	}
	else if (_path == "kv/lease")
	{
		answer = grantLease(_store, request);
	}
	const bool lost = write && nextUnit(_store.random) < _store.loseAnswers;
	if (lost || _store.down)
	{
		_exchange.abort();
		return true;
	}
	_exchange.respond(jsonResponse(200, answer));
	return true;
}
} // namespace spanplank
