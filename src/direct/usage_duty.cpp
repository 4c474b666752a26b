/// Counts usage, and reports that of the whole fleet while this router holds the duty.
#include "usage_duty_p.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "direct_router_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "platform/duty_calls_p.h"
#include "serving_p.h"
#include "spanplank/json_text.h"
#include "spanplank/store_position.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kDutyTickMs = 200;
/// Of a report, in each step. Shorter than what the proof behind it leaves of the lease.
constexpr uint32_t kReportTimeoutMs = 1000;

TimeUs wallOf(DirectRouter& _router)
{
	return wallTime(_router.wall, wallNow(), monotonicNow());
}

DutyIdentity selfOf(const DirectRouter& _router)
{
	return {_router.settings.box, _router.usage.writer};
}

std::string encodeRecord(const DutyRecord& _record)
{
	return json{{"holder", _record.holder},
				{"life", _record.incarnation},
				{"era", _record.era},
				{"window", _record.window},
				{"counts", json(_record.counts)}}
		.dump();
}

/// @throws json::exception
DutyRecord decodeRecord(const std::string& _value)
{
	const json value = parseJson(_value);
	DutyRecord record;
	value.at("holder").get_to(record.holder);
	value.at("life").get_to(record.incarnation);
	value.at("era").get_to(record.era);
	value.at("window").get_to(record.window);
	value.at("counts").get_to(record.counts);
	return record;
}

/// @returns Whether this router follows nobody, though it could, and reaches the store.
bool isFirstOfAll(const DirectRouter& _router)
{
	const PeerLinks& peers = _router.peers;
	const bool linked = _router.settings.link.port == 0 || peers.hub != nullptr;
	return linked && peers.parent.empty() && !peers.follow.detached && peers.follow.storeFailures == 0 &&
		   _router.view.listed && !_router.stopping;
}

/// Writes the record under the condition that nobody else has.
/// @throws Failure(StoreUnavailable)
void writeRecord(DirectRouter& _router, const char* _why, uint64_t _window, const AccountCounts& _counts)
{
	DutyState& duty = _router.usageDuty;
	const DutyIdentity self = selfOf(_router);
	const DutyRecord record{self.box, self.incarnation, _router.store.era, _window, _counts};
	const std::string key(kUsageDutyItem);
	const TimeUs sentAt = monotonicNow();
	uint64_t revision = 0;
	const CasResult result = casStore(_router.store, key, encodeRecord(record), duty.revision, revision);
	if (result == CasResult::Done)
	{
		recordDutyWrite(duty, record, revision, sentAt, monotonicNow());
	}
	else
	{
		postponeDuty(duty, monotonicNow());
		takeUsageDutyItem(_router, readStore(_router.store, key));
	}
	logEvent("usage_duty_written", {{"why", _why},
									{"result", name(result)},
									{"window", std::to_string(_window)},
									{"token", std::to_string(duty.token)},
									{"revision", std::to_string(revision)}});
}

/// @throws Failure, HttpFailure
void sendReport(DirectRouter& _router)
{
	DutyState& duty = _router.usageDuty;
	const uint64_t token = duty.token;
	const uint64_t window = duty.record.window;
	HttpCall report = platform::encodeUsageReport(_router.settings.box, token, window, duty.record.counts);
	report.timeoutMs = kReportTimeoutMs;
	_router.dutyCalls.endpoint = _router.settings.duties;
	const int status = call(_router.dutyCalls, report).status;
	const platform::DutyAnswer answer = platform::decodeDutyAnswer(status);
	++_router.stats.usageReports[platform::name(answer)];
	logEvent("usage_reported", {{"window", std::to_string(window)},
								{"token", std::to_string(token)},
								{"accounts", std::to_string(duty.record.counts.size())},
								{"status", std::to_string(status)},
								{"answer", platform::name(answer)}});
	if (duty.token != token || duty.record.window != window)
	{
		return; // The duty went to another router meanwhile.
	}
	switch (answer)
	{
	case platform::DutyAnswer::Accepted:
		duty.reported = true;
		break;
	case platform::DutyAnswer::Fenced:
		resignDuty(duty, monotonicNow());
		break;
	case platform::DutyAnswer::Refused:
		postponeDuty(duty, monotonicNow());
		break;
	}
}

void takeStep(DirectRouter& _router)
{
	DutyState& duty = _router.usageDuty;
	const TimeUs now = monotonicNow();
	const DutyStep step =
		nextDutyStep(duty, selfOf(_router), _router.settings.dutyBounds, wallOf(_router), now);
	const DutyRecord record = duty.record;
	switch (step.action)
	{
	case DutyAction::Wait:
		break;
	case DutyAction::Acquire:
		writeRecord(_router, "take", record.window, record.counts);
		break;
	case DutyAction::BeginReport:
		writeRecord(_router, "begin", step.window, totalUsage(_router.usage, step.window));
		break;
	case DutyAction::Confirm:
		writeRecord(_router, "prove", record.window, record.counts);
		break;
	case DutyAction::SendReport:
		sendReport(_router);
		break;
	}
}
} // namespace

void countBegun(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	if (_serving.account == nullptr || _serving.countedAsBegun || router.settings.duties.port == 0)
	{
		return;
	}
	_serving.countedAsBegun = true;
	countUsage(router.usage, _serving.account->name,
			   usageWindowAt(wallOf(router), router.settings.dutyBounds.window));
}

void takeUsageDutyItem(DirectRouter& _router, const StoreItem& _item)
{
	DutyState& duty = _router.usageDuty;
	if (_item.deleted || _item.revision <= duty.revision)
	{
		return;
	}
	try
	{
		const DutyRecord record = decodeRecord(_item.value);
		if (record.era < eraOf(_item.revision))
		{
			recordDutyStoreRestore(duty, _router.settings.dutyBounds, wallOf(_router));
		}
		applyDutyRecord(duty, selfOf(_router), record, _item.revision, monotonicNow());
	}
	catch (const json::exception& failure)
	{
		++_router.stats.recordsRejected["duty"];
		logEvent("usage_duty_rejected", {{"error", failure.what()}});
	}
}

void doUsageDuty(DirectRouter& _router)
{
	_router.dutyCalls.io = &_router.io;
	while (true)
	{
		noteIteration();
		sleepFor(kDutyTickMs);
		if (_router.settings.duties.port == 0)
		{
			continue;
		}
		expireUsage(_router.usage, usageWindowAt(wallOf(_router), _router.settings.dutyBounds.window));
		recordRootStatus(_router.usageDuty, isFirstOfAll(_router), monotonicNow());
		try
		{
			takeStep(_router);
		}
		catch (const std::exception& failure)
		{
			postponeDuty(_router.usageDuty, monotonicNow());
			logEvent("usage_duty_failed", {{"error", failure.what()}});
		}
	}
}
} // namespace spanplank
