/// Stand-ins of upstreams that reject, cut, pause and leave.
#include "soak_upstreams.h"

#include <algorithm>
#include <fmt/format.h>

#include "ports.h"
#include "soak_checks.h"
#include "soak_endings.h"
#include "soak_load.h"
#include "soak_notices.h"
#include "soak_rollouts.h"

namespace spanplank
{
namespace
{
constexpr int kMisdirected = 421;
constexpr uint64_t kFirstBornMs = 1700000000000; ///< Unix time.
constexpr double kRejectChance = 0.05;           ///< Of an upstream: it has not run the request.
constexpr double kCutChance = 0.02;       ///< Of an upstream: it ran the request and cuts the connection.
constexpr double kCutEventsChance = 0.05; ///< Of an upstream: it cuts a stream at its last event.
constexpr double kPauseChance = 0.2;      ///< Of a stream: its upstream pauses between events.
/// Longer than the share of the route's gap (500 ms) after which a router may ask another upstream.
constexpr uint32_t kPauseLeastMs = 410;
constexpr uint32_t kPauseSpreadMs = 240;
constexpr TimeUs kEndSlack = 100 * kMsToUs; ///< After the faults' end, for one that has just been decided.
constexpr uint32_t kLookMs = 20;            ///< Between looks at whether a router has given up.
constexpr int kPausingLast = 3; ///< Last event of a stream that pauses: it ends within the caller's deadline.

/// Counts an upstream as working on a request while it answers.
struct Working
{
	explicit Working(RequestRecord& _record) : record(_record)
	{
		++record.working;
	}
	~Working()
	{
		--record.working;
		record.workedUntil = monotonicNow();
	}
	Working(const Working&) = delete;
	Working& operator=(const Working&) = delete;

	RequestRecord& record;
};

/// Keeps a run among those that answer with events now.
class StreamMark
{
public:
	StreamMark(RequestRecord& _record, HttpExchange& _exchange) : m_record(_record), m_run(_record.runs)
	{
		m_record.streams[m_run] = &_exchange;
	}

	~StreamMark()
	{
		m_record.streams.erase(m_run);
	}

	StreamMark(const StreamMark&) = delete;
	StreamMark& operator=(const StreamMark&) = delete;

	/// @returns Whether the router waits for no later run, so that the answer was this one's to end.
	bool isLastWanted() const
	{
		return std::all_of(m_record.streams.upper_bound(m_run), m_record.streams.end(),
						   [](const auto& _stream) { return _stream.second->callerGone(); });
	}

private:
	RequestRecord& m_record;
	uint32_t m_run;
};

void streamAs(Soak& _soak, SoakUpstream& _end, HttpExchange& _exchange, RequestRecord& _record)
{
	const bool cut = happens(_soak, kCutEventsChance);
	const double confidence = double(below(_soak, 101));
	const bool pauses = happens(_soak, kPauseChance);
	const uint32_t firstMs = (1 + below(_soak, 15)) * slownessOf(_end);
	const int last = pauses ? kPausingLast : int(5 + below(_soak, 20));
	const uint32_t pauseMs = pauses ? kPauseLeastMs + below(_soak, kPauseSpreadMs) : firstMs;
	const StreamMark mark(_record, _exchange);
	noteTold(_end, _record);
	const bool ended =
		answerEvents(*_end.upstream, _exchange, last, pauseMs, cut || isMutant("cut"), confidence, firstMs);
	// One that the router still waits for may go on with the answer.
	_record.brokeOff = _record.brokeOff || (ended && cut && mark.isLastWanted() && !isMutant("cut"));
}

/// Draws nothing without the flag: what earlier seeds play stays as it was.
bool keepsSilent(Soak& _soak)
{
	const double chance = absl::GetFlag(FLAGS_silent);
	return chance > 0.0 && happens(_soak, chance);
}

/// Answers nothing until the router has given up.
void awaitLeaving(HttpExchange& _exchange)
{
	const TimeUs until = monotonicNow() + 2 * TimeUs(kDeadlineMs) * kMsToUs;
	while (!_exchange.callerGone() && monotonicNow() < until)
	{
		sleepFor(kLookMs);
	}
	_exchange.abort();
}

void answerAs(Soak& _soak, SoakUpstream& _end, HttpExchange& _exchange)
{
	const HttpRequest& request = _exchange.request();
	if (std::string(request["Expect-Instance"]) != _end.upstream->id)
	{
		_exchange.respond({kMisdirected, {{"Instance-Id", _end.upstream->id}}, ""});
		return;
	}
	const std::string id(request["Request-Id"]);
	const auto found = _soak.requests.find(id);
	if (found == _soak.requests.end())
	{
		breach(_soak, fmt::format("a request came that no caller sent: {} at {}", id, _end.upstream->id));
		return;
	}
	RequestRecord& record = found->second;
	drawAs(_soak, "answers to " + id, record.arrivals++);
	noteRetry(_soak, record);
	checkArrival(_soak, _end, record);
	checkNotices(_soak, _end, record);
	noteTrialArrival(_soak, _end, record);
	if ((happens(_soak, kRejectChance) && !isMutant("twice")) || _end.rests)
	{
		answerNotRun(_exchange, _end.upstream->notices);
		noteRejected(_soak, _end, record);
		return;
	}
	checkRun(_soak, _end, record);
	const Working working(record);
	if (record.ending)
	{
		endUnder(_soak, _end, record);
		if (_soak.ending.isPart)
		{
			answerEvents(*_end.upstream, _exchange, 0, kDeadlineMs, true);
			return;
		}
		sleepFor(kDeadlineMs); // Its upstream ends before.
		_exchange.abort();
		return;
	}
	if (isMutant("twice") && happens(_soak, kRejectChance))
	{
		answerNotRun(_exchange, _end.upstream->notices);
		noteRejected(_soak, _end, record);
		return;
	}
	if (record.path == "/once/" && keepsSilent(_soak))
	{
		awaitLeaving(_exchange);
		return;
	}
	if (happens(_soak, kCutChance))
	{
		record.brokeOff = true;
		_exchange.abort();
		return;
	}
	if (answerBadly(_soak, _end, _exchange))
	{
		record.brokeOff = true; // A stream that has begun elsewhere ends there, if that was its last attempt.
		return;
	}
	if (record.path == "/chat/")
	{
		streamAs(_soak, _end, _exchange, record);
		return;
	}
	sleepFor(1 + below(_soak, 30));
	answerWell(*_end.upstream, _exchange, "answer to " + id);
	noteTold(_end, record);
}

/// @returns The start that an upstream states; its clock is now ahead, now behind.
uint64_t statedStart(uint32_t _starts)
{
	return _starts % 2 == 0 ? kFirstBornMs + _starts : kFirstBornMs - _starts;
}

void registerEnd(Soak& _soak, const SoakUpstream& _end, const char* _state)
{
	setItem(_soak.store, "servers/" + _end.upstream->id,
			nlohmann::json{{"service", _end.upstream->service},
						   {"address", _end.proxy.address},
						   {"zone", _end.upstream->hall},
						   {"version", _end.upstream->version},
						   {"slots", 16},
						   {"state", _state},
						   {"born", _end.upstream->born},
						   {"cold_remaining_ms", 0},
						   {"sequence", 1}}
				.dump());
}
} // namespace

void addEnd(Soak& _soak, const std::string& _service, const std::string& _version)
{
	_soak.upstreams.push_back(std::make_unique<StandInUpstream>());
	_soak.ends.push_back(std::make_unique<SoakUpstream>());
	SoakUpstream& end = *_soak.ends.back();
	end.upstream = _soak.upstreams.back().get();
	end.upstream->id = fmt::format("u-{}", _soak.nextUpstream++);
	end.upstream->service = _service;
	end.upstream->version = _version;
	end.upstream->hall = _soak.nextUpstream % 2 == 0 ? "hall-a" : "hall-b";
	end.upstream->born = kFirstBornMs;
	end.upstream->http.handler = [&_soak, &end](HttpExchange& _exchange) {
		answerAs(_soak, end, _exchange);
	};
	end.upstream->address = loopback(startHttpServer(testIo(), end.upstream->http, {loopbackIp(), 0}));
	startProxy(end.proxy, end.upstream->address);
	registerEnd(_soak, end, "ready");
}

void startAgain(Soak& _soak, SoakUpstream& _end)
{
	note(_soak, fmt::format("{} starts again under its id", _end.upstream->id));
	for (auto& [id, record] : _soak.requests) // Its process ends, and with it what it worked on.
	{
		record.brokeOff = record.brokeOff || (record.working > 0 && record.lastEnd == &_end);
	}
	resetConnections(_end.proxy);
	_end.upstream->born = statedStart(++_end.starts);
	_end.leaving = {};
	forgetNotices(_end);
	registerEnd(_soak, _end, "ready");
}

void comeBack(Soak& _soak, SoakUpstream& _end)
{
	startProxy(_end.proxy, _end.upstream->address);
	_end.upstream->born = statedStart(++_end.starts);
	forgetNotices(_end);
	_end.down = false;
	if (_end.leaving.since == 0)
	{
		registerEnd(_soak, _end, "ready");
	}
}

void leave(Soak& _soak, SoakUpstream& _end, bool _says)
{
	constexpr uint32_t kServesOnMs = 3000; ///< Over the bound, before its entry goes.
	if (monotonicNow() > _soak.until + kEndSlack)
	{
		breach(_soak, fmt::format("{} leaves after the faults have ended", _end.upstream->id));
	}
	note(_soak,
		 fmt::format("{} {}", _end.upstream->id, _says ? "says that it leaves" : "is gone from the store"));
	_end.leaving = noticeNow(_soak);
	if (isMutant("drain"))
	{
		return;
	}
	if (!_says)
	{
		removeItem(_soak.store, "servers/" + _end.upstream->id);
		return;
	}
	registerEnd(_soak, _end, "draining");
	const uint64_t born = _end.upstream->born;
	spawnFiber([&_soak, &_end, born] {
		sleepFor(kLeaveMs + kServesOnMs);
		if (_end.upstream->born != born)
		{
			return; // The entry is that of its new start.
		}
		removeItem(_soak.store, "servers/" + _end.upstream->id);
	});
}
} // namespace spanplank
