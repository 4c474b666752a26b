/// Calls of the store, and the protocol of the stand-in.
#include "store_client_p.h"

#include <absl/strings/numbers.h>
#include <algorithm>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/http_status.h"
#include "spanplank/json_text.h"
#include "spanplank/store_position.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

void noteReachable(StoreClient& _client, bool _reachable)
{
	if (_client.reachable != _reachable)
	{
		_client.reachable = _reachable;
		logEvent(_reachable ? "store_reachable" : "store_unreachable", {});
	}
}

/// Earlier eras in a row that may be those of answers which were under way as the store returned.
constexpr uint32_t kLateAnswers = 5;

/// Takes the era that an answer names. One that can't be read counts as the one known before, and so does one
/// that stays lower: the store's word must not make routers deaf to it.
/// @throws Failure(StoreUnavailable) An answer of before the store's return says nothing of the store as it
/// is.
void noteEra(StoreClient& _client, const HttpResponse& _response)
{
	const std::string text = _client.protocol->decodeEra(_response);
	uint64_t era = 0;
	if (text.empty())
	{
		return;
	}
	const bool read = absl::SimpleAtoi(text, &era) && era <= kMaxEra;
	if (read && era >= _client.era)
	{
		_client.era = era;
		_client.lowerEras = 0;
		return;
	}
	logEvent("store_era_rejected", {{"era", text.substr(0, 32)}, {"known", std::to_string(_client.era)}});
	if (read && ++_client.lowerEras <= kLateAnswers)
	{
		throw Failure(
			Refusal{ErrorCode::StoreUnavailable, RunState::Unknown, 0, "the answer is of an earlier era"});
	}
}

void toPositions(const StoreClient& _client, StoreList& _list)
{
	_list.revision = positionOf(_client.era, _list.revision);
	for (StoreItem& item : _list.items)
	{
		item.revision = positionOf(_client.era, item.revision);
	}
}

/// Makes a call and decodes its answer.
template <typename Decode>
auto callStore(StoreClient& _client, HttpClient& _http, HttpCall _call, uint32_t _timeoutMs, Decode&& _decode)
{
	_call.timeoutMs = _timeoutMs;
	try
	{
		const HttpResponse response = call(_http, _call);
		noteEra(_client, response);
		auto result = _decode(response);
		noteReachable(_client, true);
		return result;
	}
	catch (const HttpFailure& failure)
	{
		++_client.stats.failures;
		noteReachable(_client, false);
		const RunState run = failure.sent() ? RunState::Unknown : RunState::No;
		throw Failure(Refusal{ErrorCode::StoreUnavailable, run, 1000, failure.what()});
	}
	catch (const Failure& failure)
	{
		++_client.stats.failures;
		noteReachable(_client, failure.refusal().code != ErrorCode::StoreUnavailable);
		throw;
	}
	catch (const json::exception& failure)
	{
		throw Failure(Refusal{ErrorCode::StoreUnavailable, RunState::Unknown, 1000, failure.what()});
	}
}

/// Makes a call that writes. @param[out] _revision The new revision when done, as the store counts.
/// @throws Failure(StoreUnavailable) if the store certainly did not take it.
CasResult callWrite(StoreClient& _client, const HttpCall& _call, uint64_t& _revision)
{
	++_client.stats.writes;
	try
	{
		return callStore(_client, _client.http, _call, kStoreTimeoutMs, [&](const HttpResponse& _response) {
			return _client.protocol->decodeWrite(_response, _revision);
		});
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

constexpr TimeUs kUnreadableLogPause = 1000 * kMsToUs;

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

HttpCall postCall(const char* _path, const json& _body)
{
	HttpCall request;
	request.target = _path;
	request.body = _body.dump();
	return request;
}

json okBody(const HttpResponse& _response)
{
	if (_response.status != status::kOk)
	{
		throw Failure(ErrorCode::StoreUnavailable, "the store answered " + std::to_string(_response.status));
	}
	return parseJson(_response.body);
}

HttpCall encodeRead(const std::string& _key)
{
	return postCall("/kv/get", {{"key", _key}});
}

HttpCall encodeList(const std::string& _prefix, const std::string&, ListAge)
{
	return postCall("/kv/list", {{"prefix", _prefix}}); // The stand-in answers with the whole list.
}

HttpCall encodeWatch(const std::string& _prefix, uint64_t _after, uint32_t _waitMs)
{
	return postCall("/kv/watch", {{"prefix", _prefix}, {"after", _after}, {"wait_ms", _waitMs}});
}

HttpCall encodeWrite(const std::string& _key, const std::string& _value, uint64_t _expected, uint64_t _lease)
{
	return postCall("/kv/cas",
					{{"key", _key}, {"value", _value}, {"expected", _expected}, {"lease", _lease}});
}

HttpCall encodeLease(uint64_t _lease, uint32_t _ttlMs)
{
	return postCall("/kv/lease", {{"lease", _lease}, {"ttl_ms", _ttlMs}});
}

StoreItem decodeRead(const HttpResponse& _response)
{
	return toItem(okBody(_response));
}

StoreList decodeList(const HttpResponse& _response)
{
	return toList(okBody(_response));
}

CasResult decodeWrite(const HttpResponse& _response, uint64_t& _revision)
{
	const json answer = okBody(_response);
	_revision = answer.value("revision", uint64_t(0));
	return answer.value("ok", false) ? CasResult::Done : CasResult::Conflict;
}

uint64_t decodeLease(const HttpResponse& _response, uint64_t)
{
	const json answer = okBody(_response);
	return answer.value("ok", false) ? answer.value("lease", uint64_t(0)) : 0;
}

std::string decodeEra(const HttpResponse&)
{
	return ""; // This store does not come back from copies.
}
} // namespace

void noteUnreadable(const std::string& _key, const std::string& _error)
{
	static TimeUs s_loggedAt = 0;
	const TimeUs now = monotonicNow();
	if (s_loggedAt == 0 || now - s_loggedAt >= kUnreadableLogPause)
	{
		s_loggedAt = now;
		logEvent("record_rejected", {{"key", _key}, {"error", _error}});
	}
}

const char* name(CasResult _result)
{
	switch (_result)
	{
	case CasResult::Done:
		return "done";
	case CasResult::Conflict:
		return "conflict";
	case CasResult::Lost:
		break;
	}
	return "lost";
}

const StoreProtocol& standInStoreProtocol()
{
	static const StoreProtocol s_protocol = {encodeRead, encodeList,  encodeWatch, encodeWrite,
											 nullptr,    encodeLease, decodeRead,  decodeList,
											 decodeList, decodeWrite, decodeLease, decodeEra};
	return s_protocol;
}

StoreItem readStore(StoreClient& _client, const std::string& _key)
{
	++_client.stats.reads;
	StoreItem item = callStore(_client, _client.http, _client.protocol->encodeRead(_key), kStoreTimeoutMs,
							   _client.protocol->decodeRead);
	item.revision = positionOf(_client.era, item.revision);
	return item;
}

StoreList listStore(StoreClient& _client, const std::string& _prefix, ListAge _age)
{
	StoreList list;
	std::string after;
	do
	{
		++_client.stats.reads;
		StoreList page = callStore(_client, _client.http, _client.protocol->encodeList(_prefix, after, _age),
								   kStoreTimeoutMs, _client.protocol->decodeList);
		toPositions(_client, page);
		// Pages are no snapshot, and of old ones a later page may be the older one: a watch from the lowest
		// revision brings what changed since.
		list.revision = after.empty() ? page.revision : std::min(list.revision, page.revision);
		after = page.more && !page.items.empty() ? page.items.back().key : "";
		list.skipped += page.skipped;
		list.items.insert(list.items.end(), page.items.begin(), page.items.end());
	} while (!after.empty());
	return list;
}

StoreList watchStore(StoreClient& _client, const std::string& _prefix, uint64_t _after, uint32_t _waitMs,
					 uint32_t _patienceMs)
{
	++_client.stats.watches;
	const HttpCall watch = _client.protocol->encodeWatch(_prefix, revisionOf(_after), _waitMs);
	StoreList changes =
		callStore(_client, _client.watchHttp, watch, _waitMs + _patienceMs, _client.protocol->decodeWatch);
	// Else the revision may have been given out again, with other changes up to it.
	if (eraOf(_after) < _client.era)
	{
		throw Failure(ErrorCode::NotFound, "the store has come back from an older copy");
	}
	toPositions(_client, changes);
	return changes;
}

CasResult casStore(StoreClient& _client, const std::string& _key, const std::string& _value,
				   uint64_t _expected, uint64_t& _revision, uint64_t _lease)
{
	if (_expected != 0 && eraOf(_expected) < _client.era)
	{
		return CasResult::Conflict;
	}
	const HttpCall write = _client.protocol->encodeWrite(_key, _value, revisionOf(_expected), _lease);
	const CasResult result = callWrite(_client, write, _revision);
	_revision = positionOf(_client.era, _revision);
	const bool returned = _expected != 0 && eraOf(_expected) < _client.era;
	return returned && result == CasResult::Done ? CasResult::Conflict : result; // Of another history.
}

CasResult writeAllStore(StoreClient& _client, absl::Span<const StoreWrite> _writes, uint64_t _lease)
{
	uint64_t revision = 0;
	return callWrite(_client, _client.protocol->encodeWriteAll(_writes, _lease), revision);
}

uint64_t leaseStore(StoreClient& _client, uint64_t _lease, uint32_t _ttlMs)
{
	++_client.stats.writes;
	return callStore(
		_client, _client.http, _client.protocol->encodeLease(_lease, _ttlMs), kStoreTimeoutMs,
		[&](const HttpResponse& _response) { return _client.protocol->decodeLease(_response, _lease); });
}
} // namespace spanplank
