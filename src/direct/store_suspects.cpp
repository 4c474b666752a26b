/// Refused requests in the platform's store, for routers that start blank while no other one knows them.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/json_text.h"
#include "store_items_p.h"
#include "suspects_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kSuspectTickMs = 200;
/// A record goes with its lease, which the store grants for ten minutes at most.
constexpr uint32_t kSuspectLeaseMs = 600 * 1000;
constexpr TimeUs kOthersWrite = 1500 * kMsToUs; ///< How long a router that only heard of it leaves the write.
constexpr TimeUs kWriteAgain = 1000 * kMsToUs;  ///< After a write that failed.

std::string encodeSuspect(const SuspectUpdate& _news)
{
	return json{{"at", wallNowMs()}, {"suspect", _news}}.dump();
}

/// @throws json::exception
SuspectUpdate decodeSuspect(const std::string& _value)
{
	const json value = parseJson(_value);
	auto news = value.at("suspect").get<SuspectUpdate>();
	const TimeUs age = std::max<TimeUs>(0, wallNowMs() - value.at("at").get<int64_t>()) * kMsToUs;
	news.suspect.refusedAt += age;
	for (ObservedCrash& crash : news.suspect.crashes)
	{
		crash.at += age;
	}
	return news;
}

/// @returns Whether the store says less of a suspect than this router knows.
bool isWanted(const CrashSuspect& _suspect, const StoredSuspect& _stored)
{
	const bool told = _stored.revision != 0;
	const bool cleared = told && _suspect.epoch > _stored.episode;
	return cleared || (_suspect.refusals > 0 && (!told || _suspect.refusals > _stored.refusals));
}

/// @throws Failure(StoreUnavailable)
void writeSuspect(DirectRouter& _router, const RequestDigest& _digest)
{
	const SuspectUpdate news = suspectUpdateOf(_router.suspects, _digest, monotonicNow());
	const std::string key = std::string(kSuspectPrefix) + digestToHex(_digest);
	const uint64_t lease = leaseStore(_router.store, 0, kSuspectLeaseMs);
	const uint64_t expected = _router.storedSuspects[_digest].revision;
	uint64_t revision = 0;
	const CasResult result = casStore(_router.store, key, encodeSuspect(news), expected, revision, lease);
	logEvent("suspect_written", {{"digest", digestToHex(_digest)}, {"result", name(result)}});
	if (result == CasResult::Done)
	{
		_router.storedSuspects[_digest] = {revision, news.suspect.epoch, news.suspect.refusals, 0};
		return;
	}
	const StoreItem item = readStore(_router.store, key);
	if (item.revision != 0)
	{
		takeSuspectItem(_router, item);
	}
	_router.storedSuspects[_digest].writeAfter = monotonicNow() + kWriteAgain;
}

void writeSuspects(DirectRouter& _router)
{
	const TimeUs now = monotonicNow();
	std::vector<RequestDigest> wanted;
	for (const auto& [digest, suspect] : _router.suspects.suspects)
	{
		StoredSuspect& stored = _router.storedSuspects[digest];
		if (!isWanted(suspect, stored))
		{
			continue;
		}
		if (stored.writeAfter == 0)
		{
			stored.writeAfter = now + (suspect.refusedByPeer ? kOthersWrite : 0);
		}
		if (now >= stored.writeAfter)
		{
			wanted.push_back(digest);
		}
	}
	for (const RequestDigest& digest : wanted)
	{
		if (_router.suspects.suspects.count(digest) == 0)
		{
			continue; // Forgotten while another one was written.
		}
		try
		{
			writeSuspect(_router, digest);
		}
		catch (const std::exception& failure) // What fails for one is to hold up no other.
		{
			_router.storedSuspects[digest].writeAfter = monotonicNow() + kWriteAgain;
			logEvent("suspect_not_written", {{"digest", digestToHex(digest)}, {"error", failure.what()}});
		}
	}
}

void forgetStored(DirectRouter& _router)
{
	auto& stored = _router.storedSuspects;
	for (auto at = stored.begin(); at != stored.end();)
	{
		at = _router.suspects.suspects.count(at->first) == 0 ? stored.erase(at) : std::next(at);
	}
}
} // namespace

void takeSuspectItem(DirectRouter& _router, const StoreItem& _item)
{
	const std::optional<RequestDigest> digest = digestFromHex(afterPrefix(_item.key, kSuspectPrefix));
	if (_item.deleted)
	{
		if (digest)
		{
			_router.storedSuspects.erase(*digest);
		}
		return;
	}
	try
	{
		const SuspectUpdate news = decodeSuspect(_item.value);
		_router.storedSuspects[news.digest] = {_item.revision, news.suspect.epoch, news.suspect.refusals, 0};
		takePeerSuspects(_router, {news});
	}
	catch (const std::exception& failure)
	{
		++_router.stats.recordsRejected["suspect"];
		logEvent("suspect_rejected", {{"key", _item.key}, {"error", failure.what()}});
	}
}

void keepSuspectsStored(DirectRouter& _router)
{
	while (true)
	{
		noteIteration();
		sleepFor(kSuspectTickMs);
		decideParts(_router);
		writeSuspects(_router);
		forgetStored(_router);
	}
}
} // namespace spanplank
