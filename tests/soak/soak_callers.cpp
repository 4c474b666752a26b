/// Callers that use their connections often, and callers that keep them through pauses.
#include "soak_callers.h"

#include <algorithm>
#include <fmt/format.h>

#include "soak_checks.h"
#include "soak_load.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kCallTimeoutMs = 8000; ///< Of a caller: far over every deadline, also on a busy machine.
constexpr uint32_t kCallsOnOne = 20;      ///< Requests on one connection, before the next router is called.
constexpr double kNewKeyChance = 0.3;     ///< Of a caller: it uses the key that may be removed.
constexpr double kPressChance = 0.5;      ///< Of a pause: it ends with a limit, or just before it.
/// Longest time from the moment in which a caller chooses to use a connection, until the router has the
/// request: a fifth of the shortest limit would be allowed.
constexpr uint32_t kFlightMostMs = 100;
constexpr uint32_t kRetryMs = 50; ///< After a connection that could not be opened.

std::vector<HttpHeader> headersOf(const std::string& _id, const std::string& _key)
{
	return {{"Host", kHost},
			{"Request-Id", _id},
			{"Deadline-Remaining", std::to_string(kDeadlineMs)},
			{"Key", _key}};
}

/// @param[in] _subject Its second part. @param[in] _own Its last one.
void addPrompt(HttpCall& _call, const std::string& _subject, const std::string& _own)
{
	_call.headers.push_back({"Model", "*"});
	_call.headers.push_back({"Token-Counts", "900,40"});
	_call.headers.push_back({"Prompt-Prefix", fmt::format("aa:500,{}:300,{}:100", _subject, _own)});
}

HttpCall requestFor(Soak& _soak, const std::string& _id, RequestRecord& _record)
{
	const uint32_t kind = below(_soak, 3);
	_record.path = kind == 0 ? "/plain/" : kind == 1 ? "/once/" : "/chat/";
	if (happens(_soak, kNewKeyChance) && _record.key == kKeptKey &&
		_soak.config["tenants"][0]["api_keys"].size() > 1)
	{
		_record.key = _soak.config["tenants"][0]["api_keys"].back();
	}
	_record.sentAt = monotonicNow();
	_record.heldUpThen = _soak.heldUp;
	HttpCall call;
	call.method = kind == 0 ? "GET" : "POST";
	call.target = _record.path + "x";
	call.body = kind == 0 ? "" : std::string(1 + below(_soak, 20000), 'b');
	call.timeoutMs = kCallTimeoutMs;
	call.headers = headersOf(_id, _record.key);
	if (kind == 2)
	{
		addPrompt(call, fmt::format("b{}", below(_soak, 5)), "c");
	}
	return call;
}

/// Opens a connection to any router. @returns That router; null: it could not be opened.
SoakRouter* openAny(Soak& _soak, CallerConnection& _connection)
{
	SoakRouter& router = *_soak.routers[below(_soak, uint32_t(_soak.routers.size()))];
	if (openConnection(_connection, parseEndpoint(router.process->listen()), kCallTimeoutMs))
	{
		return &router;
	}
	++_soak.outcomes["no connection"];
	sleepFor(kRetryMs);
	return nullptr;
}

/// Sends one request and checks what became of it. @param[in] _number Of this caller.
void callOnce(Soak& _soak, SoakRouter& _router, CallerConnection& _connection, uint32_t _caller,
			  uint64_t _number, bool _allowed, TimeUs _chosenAt)
{
	constexpr double kDeafChance = 0.02;
	const std::string id = fmt::format("r-{}-{}", _caller, _number);
	RequestRecord& record = _soak.requests[id];
	record.router = &_router;
	record.allowed = _allowed;
	record.chosenAt = _chosenAt;
	const uint32_t others = absl::GetFlag(FLAGS_callers);
	const bool large = _caller >= others && _caller < others + absl::GetFlag(FLAGS_large);
	record.key = large ? kLargeKey : kKeptKey;
	const HttpCall request = requestFor(_soak, id, record);
	_connection.deaf = isMutant("lost") && happens(_soak, kDeafChance);
	const CallResult result = sendOn(_connection, request);
	++_soak
		  .outcomes[(large ? "large " : "") +
					(result.end == CallEnd::Whole ? std::to_string(result.answer.status) : name(result.end))];
	if (result.end != CallEnd::NotSent)
	{
		checkEnd(_soak, id, record, result);
	}
}

/// @returns How long a caller may leave a connection idle, as it knows the limit from the store.
TimeUs longestIdle(const Soak& _soak, const CallerConnection& _connection)
{
	constexpr uint32_t kOverstay = 4;
	const TimeUs limit =
		TimeUs(_soak.idleLimits.back().second) * kMsToUs * (isMutant("idle") ? kOverstay : 1);
	const TimeUs most = TimeUs(double(limit) * kIdleShare);
	return _connection.keepAlive > 0 ? std::min(most, _connection.keepAlive) : most;
}

void sleepUntil(TimeUs _at)
{
	sleepFor(uint32_t(std::max<TimeUs>(0, _at - monotonicNow()) / kMsToUs));
}

/// Pauses for a time that the limit in force allows. At times, if that limit has become longer meanwhile,
/// until just before the end of the shorter one: a router that still goes by it closes while the request is
/// on its way.
void pauseIdle(Soak& _soak, const CallerConnection& _connection, uint32_t _flightMs)
{
	const TimeUs limit = TimeUs(_soak.idleLimits.back().second) * kMsToUs;
	const TimeUs most = longestIdle(_soak, _connection);
	if (!happens(_soak, kPressChance))
	{
		sleepFor(below(_soak, uint32_t(most / kMsToUs)));
		return;
	}
	sleepUntil(_connection.idleSince + std::min(most, TimeUs(double(limit) * kIdleShare)));
	if (longestIdle(_soak, _connection) >= limit)
	{
		sleepUntil(_connection.idleSince + limit - below(_soak, _flightMs + 1) * kMsToUs);
	}
}
} // namespace

void callOften(Soak& _soak, uint32_t _caller)
{
	const std::string body = fmt::format("caller-{}", _caller);
	CallerConnection connection;
	uint64_t number = 0;
	while (monotonicNow() < _soak.until)
	{
		drawAs(_soak, body, ++number);
		SoakRouter* const router = openAny(_soak, connection);
		for (uint32_t ii = 0; router != nullptr && ii < kCallsOnOne && monotonicNow() < _soak.until; ++ii)
		{
			if (!isOpen(connection))
			{
				break;
			}
			drawAs(_soak, body, ++number);
			callOnce(_soak, *router, connection, _caller, number, true, monotonicNow());
			sleepFor(below(_soak, 40));
		}
	}
}

void callRarely(Soak& _soak, uint32_t _caller)
{
	CallerConnection connection;
	SoakRouter* router = nullptr;
	for (uint64_t number = 0; monotonicNow() < _soak.until; ++number)
	{
		drawAs(_soak, fmt::format("caller-{}", _caller), number);
		const TimeUs idle = monotonicNow() - connection.idleSince;
		const uint32_t flightMs = below(_soak, kFlightMostMs);
		TimeUs chosenAt = monotonicNow();
		bool allowed = true;
		if (router == nullptr || !isOpen(connection) || idle > longestIdle(_soak, connection))
		{
			router = openAny(_soak, connection);
			chosenAt = connection.idleSince;
		}
		else
		{
			allowed = mayIdle(_soak, idle, monotonicNow()) || isMutant("idle");
			sleepFor(flightMs);
		}
		if (router != nullptr)
		{
			callOnce(_soak, *router, connection, _caller, number, allowed, chosenAt);
			pauseIdle(_soak, connection, flightMs);
		}
	}
}

namespace
{
/// Sends a request whose caller leaves as its upstream begins.
void sendAndLeave(CallerConnection& _connection, const HttpCall& _request)
{
	constexpr uint32_t kLeaveMs = 10;
	bool over = false;
	boost::fibers::fiber leaving([&] {
		sleepFor(kLeaveMs);
		if (!over)
		{
			boost::system::error_code ignored;
			_connection.stream->socket().close(ignored);
		}
	});
	sendOn(_connection, _request);
	over = true;
	leaving.join();
}
} // namespace

void sendEnding(Soak& _soak, const std::string& _path)
{
	constexpr uint64_t kLeaves = 3; // Each third caller of a prompt.
	CallerConnection connection;
	SoakRouter* const router = openAny(_soak, connection);
	if (router == nullptr)
	{
		return;
	}
	const uint64_t number = _soak.nextRequest++;
	const std::string id = fmt::format("r-ending-{}", number);
	RequestRecord& record = _soak.requests[id];
	record.router = router;
	record.chosenAt = connection.idleSince;
	record.sentAt = monotonicNow();
	record.heldUpThen = _soak.heldUp;
	record.path = _path;
	record.key = kKeptKey;
	record.ending = true;
	HttpCall request;
	request.method = _path == "/plain/" ? "GET" : "POST";
	request.target = _path + (isMutant("alike") ? "x" : _soak.ending.name);
	request.target += isMutant("unlike") || _soak.ending.isPart ? std::to_string(number) : "";
	request.timeoutMs = kCallTimeoutMs;
	request.headers = headersOf(id, kKeptKey);
	if (_soak.ending.isPart)
	{
		const std::string part = isMutant("alike") ? "b0" : _soak.ending.name;
		addPrompt(request, part + (isMutant("unlike") ? std::to_string(number) : ""), std::to_string(number));
	}
	if (_soak.ending.isPart && number % kLeaves == 0)
	{
		sendAndLeave(connection, request);
		return;
	}
	const CallResult result = sendOn(connection, request);
	if (result.end != CallEnd::NotSent)
	{
		checkEnd(_soak, id, record, result);
	}
}

bool isServed(Soak& _soak, SoakRouter& _router, const char* _path)
{
	CallerConnection connection;
	if (!openConnection(connection, parseEndpoint(_router.process->listen()), kCallTimeoutMs))
	{
		return false;
	}
	const uint64_t number = _soak.nextRequest++;
	drawAs(_soak, "end", number);
	const std::string id = fmt::format("r-end-{}", number);
	RequestRecord& record = _soak.requests[id];
	record.router = &_router;
	record.chosenAt = connection.idleSince;
	HttpCall request = requestFor(_soak, id, record);
	record.path = _path;
	record.key = kKeptKey;
	request.target = record.path + "x";
	request.headers = headersOf(id, kKeptKey);
	const CallResult result = sendOn(connection, request);
	if (result.end != CallEnd::NotSent)
	{
		checkEnd(_soak, id, record, result);
	}
	return result.answer.status == kOk && result.end == CallEnd::Whole;
}
} // namespace spanplank
