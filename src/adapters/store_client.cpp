#include "store_client_p.h"

#include "log_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kStoreTimeoutMs = 1000;

void noteReachable(StoreClient& _client, bool _reachable)
{
	if (_client.reachable != _reachable)
	{
		_client.reachable = _reachable;
		logEvent(_reachable ? "store_reachable" : "store_unreachable", {});
	}
}

json callStore(StoreClient& _client, HttpClient& _http, const char* _path, const json& _body,
			   uint32_t _timeoutMs)
{
	HttpCall request;
	request.target = _path;
	request.body = _body.dump();
	request.timeoutMs = _timeoutMs;
	try
	{
		const HttpResponse response = call(_http, request);
		if (response.status != 200)
		{
			++_client.stats.failures;
			noteReachable(_client, false);
			throw Failure(ErrorCode::StoreUnavailable,
						  "the store answered " + std::to_string(response.status));
		}
		noteReachable(_client, true);
		return json::parse(response.body);
	}
	catch (const HttpFailure& failure)
	{
		++_client.stats.failures;
		noteReachable(_client, false);
		const RunState run = failure.sent() ? RunState::Unknown : RunState::No;
		throw Failure(Refusal{ErrorCode::StoreUnavailable, run, 1000, failure.what()});
	}
	catch (const json::exception& failure)
	{
		throw Failure(Refusal{ErrorCode::StoreUnavailable, RunState::Unknown, 1000, failure.what()});
	}
}

StoreItem toItem(const json& _json)
{
	return {_json.value("key", ""), _json.value("value", ""), _json.value("revision", uint64_t(0)),
			_json.value("deleted", false)};
}

StoreList toList(const json& _json)
{
	StoreList list;
	list.revision = _json.value("revision", uint64_t(0));
	for (const json& item : _json.at("items"))
	{
		list.items.push_back(toItem(item));
	}
	return list;
}
} // namespace

StoreItem readStore(StoreClient& _client, const std::string& _key)
{
	++_client.stats.reads;
	return toItem(callStore(_client, _client.http, "/kv/get", {{"key", _key}}, kStoreTimeoutMs));
}

StoreList listStore(StoreClient& _client, const std::string& _prefix)
{
	++_client.stats.reads;
	return toList(callStore(_client, _client.http, "/kv/list", {{"prefix", _prefix}}, kStoreTimeoutMs));
}

StoreList watchStore(StoreClient& _client, const std::string& _prefix, uint64_t _after, uint32_t _waitMs)
{
	++_client.stats.watches;
	const json body{{"prefix", _prefix}, {"after", _after}, {"wait_ms", _waitMs}};
	return toList(callStore(_client, _client.watchHttp, "/kv/watch", body, _waitMs + kStoreTimeoutMs));
}

CasResult casStore(StoreClient& _client, const std::string& _key, const std::string& _value,
				   uint64_t _expected, uint64_t& _revision)
{
	++_client.stats.writes;
	try
	{
		const json answer =
			callStore(_client, _client.http, "/kv/cas",
					  {{"key", _key}, {"value", _value}, {"expected", _expected}}, kStoreTimeoutMs);
		_revision = answer.value("revision", uint64_t(0));
		return answer.value("ok", false) ? CasResult::Done : CasResult::Conflict;
	}
	catch (const Failure& failure)
	{
		if (failure.refusal().run == RunState::Unknown)
		{
			return CasResult::Lost;
		}
		throw;
	}
}
} // namespace spanplank
