#include <algorithm>
#include <fmt/format.h>

#include "fakes.h"
#include "spanplank/routing.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kSlotPollMs = 1;

struct EngineJob
{
	std::string request;
	std::string version;
	std::string prompt;
	std::string marker; ///< Last word of the prompt: every token of the answer repeats it.
	bool stream = false;
	uint32_t promptTokens = 0;
	uint32_t outputTokens = 0;
	double confidence = 1.0;
	bool bad = false;
};

EngineJob readJob(FakeEngine& _engine, const HttpExchange& _exchange)
{
	const json body = bodyOf(_exchange);
	EngineJob job;
	job.request = std::string(_exchange.request()["X-Spanplank-Request"]);
	job.version = body.value("model", "");
	job.stream = body.value("stream", false);
	for (const json& message : body.value("messages", json::array()))
	{
		job.prompt += message.value("content", "");
	}
	job.marker = job.prompt.substr(job.prompt.rfind(' ') + 1);
	job.promptTokens = uint32_t(job.prompt.size() / kBytesPerToken + 1);
	job.outputTokens = std::max(1u, std::min(body.value("max_tokens", 16u), 100000u));
	job.confidence = double(stableHash(job.marker) % 1000) / 1000.0;
	const auto rate = _engine.badRate.find(job.version);
	job.bad = rate != _engine.badRate.end() && nextUnit(_engine.random) < rate->second;
	return job;
}

/// Time to read the prompt; what the prefix cache holds costs nothing.
double prefillMs(FakeEngine& _engine, const EngineJob& _job)
{
	const std::vector<uint64_t> blocks = prefixBlocks(_job.prompt);
	uint32_t cached = 0;
	for (const uint64_t block : blocks)
	{
		const auto held = std::find(_engine.prefixCache.begin(), _engine.prefixCache.end(), block);
		if (held != _engine.prefixCache.end())
		{
			cached += kPrefixBlockBytes / kBytesPerToken;
			_engine.prefixCache.erase(held);
		}
		_engine.prefixCache.push_back(block);
	}
	while (_engine.prefixCache.size() > _engine.cacheEntries)
	{
		_engine.prefixCache.pop_front();
	}
	return double(_job.promptTokens - std::min(cached, _job.promptTokens)) * _engine.prefillMsPerToken;
}

json usageOf(const FakeEngine& _engine, const EngineJob& _job)
{
	if (!_engine.usage.is_null())
	{
		return _engine.usage;
	}
	return {{"prompt_tokens", _job.promptTokens},
			{"completion_tokens", _job.outputTokens},
			{"confidence", _job.confidence}};
}

void sleepExactly(double _ms)
{
	if (_ms > 0.0)
	{
		boost::this_fiber::sleep_for(std::chrono::microseconds(int64_t(_ms * 1000.0)));
	}
}

/// @returns Whether all tokens were sent.
bool streamTokens(FakeEngine& _engine, HttpExchange& _exchange, const EngineJob& _job)
{
	_exchange.startStream(200, {}, "text/event-stream");
	for (uint32_t ii = 0; ii < _job.outputTokens; ++ii)
	{
		sleepExactly(_engine.tokenMs);
		if (_engine.cutAfterTokens != 0 && ii >= _engine.cutAfterTokens)
		{
			_exchange.abort();
			return false;
		}
		const json event{{"choices", {{{"index", 0}, {"delta", {{"content", _job.marker + " "}}}}}}};
		if (!_exchange.write("data: " + event.dump() + "\n\n") || _exchange.callerGone())
		{
			return false;
		}
	}
	const json last{{"choices", json::array()}, {"usage", usageOf(_engine, _job)}};
	_exchange.write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
	return _exchange.finish();
}

bool answerWhole(FakeEngine& _engine, HttpExchange& _exchange, const EngineJob& _job)
{
	std::string text;
	for (uint32_t ii = 0; ii < _job.outputTokens; ++ii)
	{
		text += _job.marker + " ";
	}
	const double total = _engine.tokenMs * _job.outputTokens;
	constexpr double kLookMs = 50.0;
	for (double slept = 0.0; slept < total; slept += kLookMs)
	{
		sleepExactly(std::min(kLookMs, total - slept));
		if (_exchange.callerGone())
		{
			return false;
		}
	}
	const json message{{"role", "assistant"}, {"content", text}};
	_exchange.respond(
		jsonResponse(200, {{"object", "chat.completion"},
						   {"model", _job.version},
						   {"choices", {{{"index", 0}, {"message", message}, {"finish_reason", "stop"}}}},
						   {"usage", usageOf(_engine, _job)}}));
	return !_exchange.broken();
}

void rate(FakeEngine& _engine, const EngineJob& _job)
{
	FakeRatings& ratings = _engine.platform->ratings;
	if (nextUnit(ratings.random) < ratings.coverage)
	{
		const TimeUs due = monotonicNow() + TimeUs(ratings.delayMs) * kMsToUs;
		ratings.byVersion[_job.version].push_back({due, !_job.bad});
	}
}

void complete(FakeEngine& _engine, HttpExchange& _exchange)
{
	const EngineJob job = readJob(_engine, _exchange);
	while (_engine.running >= _engine.slots)
	{
		sleepFor(kSlotPollMs);
	}
	++_engine.running;
	sleepExactly(prefillMs(_engine, job));
	const bool whole =
		job.stream ? streamTokens(_engine, _exchange, job) : answerWhole(_engine, _exchange, job);
	--_engine.running;
	if (!whole)
	{
		++_engine.cancelled;
		return;
	}
	++_engine.runsByRequest[job.request];
	++_engine.runsByVersion[job.version];
	_engine.badByVersion[job.version] += job.bad ? 1 : 0;
	rate(_engine, job);
}

void setFaults(FakeEngine& _engine, const json& _faults)
{
	_engine.tokenMs = _faults.value("token_ms", _engine.tokenMs);
	_engine.prefillMsPerToken = _faults.value("prefill_ms", _engine.prefillMsPerToken);
	_engine.cutAfterTokens = _faults.value("cut_after_tokens", _engine.cutAfterTokens);
	_engine.slots = _faults.value("slots", _engine.slots);
	_engine.usage = _faults.value("usage", _engine.usage);
	if (_faults.contains("bad_rate"))
	{
		_engine.badRate = _faults["bad_rate"].get<std::map<std::string, double>>();
	}
}

void answerEngine(FakeEngine& _engine, HttpExchange& _exchange)
{
	const Target target = parseTarget(std::string_view(_exchange.request().target()));
	const std::string path = fmt::format("{}", fmt::join(target.path, "/"));
	if (path == "v1/chat/completions")
	{
		complete(_engine, _exchange);
	}
	else if (path == "fault")
	{
		setFaults(_engine, bodyOf(_exchange));
		_exchange.respond(jsonResponse(200, json::object()));
	}
	else if (path == "counts")
	{
		_exchange.respond(jsonResponse(200, {{"runs_by_version", _engine.runsByVersion},
											 {"bad_by_version", _engine.badByVersion},
											 {"runs_by_request", _engine.runsByRequest},
											 {"cancelled", _engine.cancelled}}));
	}
	else
	{
		_exchange.respond(jsonResponse(404, json::object()));
	}
}

void answerService(FakeService& _service, HttpExchange& _exchange)
{
	const Target target = parseTarget(std::string_view(_exchange.request().target()));
	const std::string path = fmt::format("{}", fmt::join(target.path, "/"));
	if (path == "fault")
	{
		_service.workMs = bodyOf(_exchange).value("work_ms", _service.workMs);
		_exchange.respond(jsonResponse(200, json::object()));
		return;
	}
	if (path == "counts")
	{
		_exchange.respond(jsonResponse(200, {{"runs", _service.runs}, {"runs_by_key", _service.runsByKey}}));
		return;
	}
	const std::string key(_exchange.request()["Idempotency-Key"]);
	++_service.runs;
	++_service.runsByKey[key]; // The effect comes first: a lost answer does not undo it.
	sleepFor(_service.workMs);
	_exchange.respond(
		jsonResponse(200, {{"done", path}, {"key", key}, {"body", _exchange.request().body()}}));
}
} // namespace

uint16_t startFakeEngine(boost::asio::io_context& _io, FakeEngine& _engine, const Endpoint& _endpoint)
{
	_engine.http.limits.bodyBytes = 8u << 20;
	_engine.http.handler = [&_engine](HttpExchange& _exchange) {
		answerEngine(_engine, _exchange);
	};
	return startHttpServer(_io, _engine.http, _endpoint);
}

uint16_t startFakeService(boost::asio::io_context& _io, FakeService& _service, const Endpoint& _endpoint)
{
	_service.http.handler = [&_service](HttpExchange& _exchange) {
		answerService(_service, _exchange);
	};
	return startHttpServer(_io, _service.http, _endpoint);
}
} // namespace spanplank
