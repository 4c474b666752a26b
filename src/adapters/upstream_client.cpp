#include "upstream_client_p.h"

#include <nlohmann/json.hpp>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/event_stream.h"
#include "spanplank/json_text.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr size_t kTailBytes = 4096; ///< The engine's usage comes in the last events of a stream.
constexpr size_t kMostLoggedUsage = 200;

HttpCall engineCall(const Submit& _submit)
{
	HttpCall request;
	request.target = "/v1/chat/completions";
	json body = readJson(_submit.body);
	if (body.is_object())
	{
		body["model"] = _submit.version;
		body["stream"] = _submit.stream;
		body["priority"] = _submit.priority;
	}
	request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
	request.headers.push_back({"Content-Type", "application/json"});
	return request;
}

HttpCall serviceCall(const Submit& _submit)
{
	HttpCall request;
	request.method = _submit.method;
	request.target = "/" + _submit.path;
	request.body = _submit.body;
	if (!_submit.contentType.empty())
	{
		request.headers.push_back({"Content-Type", _submit.contentType});
	}
	if (!_submit.key.empty())
	{
		request.headers.push_back({"Idempotency-Key", _submit.key});
	}
	return request;
}

constexpr uint64_t kMostTokens = 100000000; ///< Of one answer; larger figures are wrong.
constexpr double kConfident = 1.0;          ///< Of an engine that tells no confidence.

/// @returns A count of tokens; 0 if the engine tells none.
uint32_t readTokens(const json& _usage, const char* _name, bool& _valid)
{
	const auto found = _usage.find(_name);
	if (found == _usage.end())
	{
		return 0;
	}
	const bool valid = found->is_number_unsigned() && found->get<uint64_t>() <= kMostTokens;
	_valid = _valid && valid;
	return valid ? found->get<uint32_t>() : 0;
}

double readConfidence(const json& _usage, bool& _valid)
{
	const auto found = _usage.find("confidence");
	if (found == _usage.end())
	{
		return kConfident;
	}
	_valid = _valid && found->is_number();
	return found->is_number() ? found->get<double>() : kConfident;
}

/// Reads what an engine tells of an answer. What can't be read counts as not told, and is logged.
void readUsage(const json& _answer, AnswerSummary& _end)
{
	const bool told = _answer.is_object() && _answer.contains("usage");
	if (!told)
	{
		return;
	}
	const json& usage = _answer["usage"];
	bool valid = usage.is_object();
	if (valid)
	{
		_end.promptTokens = readTokens(usage, "prompt_tokens", valid);
		_end.outputTokens = readTokens(usage, "completion_tokens", valid);
		_end.confidence = readConfidence(usage, valid);
	}
	if (!valid)
	{
		logEvent("usage_rejected",
				 {{"usage",
				   usage.dump(-1, ' ', false, json::error_handler_t::replace).substr(0, kMostLoggedUsage)}});
	}
}

/// The last event of a stream that holds the usage.
void readStreamUsage(const std::string& _tail, AnswerSummary& _end)
{
	const size_t usage = _tail.rfind("\"usage\"");
	if (usage == std::string::npos)
	{
		return;
	}
	const size_t start = _tail.rfind("data: ", usage);
	const size_t end = _tail.find("\n\n", usage);
	if (start != std::string::npos && end != std::string::npos)
	{
		const size_t from = start + 6;
		readUsage(readJson(std::string_view(_tail).substr(from, end - from)), _end);
	}
}

std::string contentTypeOf(const HttpResponse& _response)
{
	for (const HttpHeader& header : _response.headers)
	{
		if (boost::beast::iequals(header.name, "content-type"))
		{
			return header.value;
		}
	}
	return "application/octet-stream";
}
} // namespace

AnswerSummary forwardWork(HttpClient& _client, const Submit& _submit, uint32_t _timeoutMs,
						  const UpstreamHandlers& _handlers, HttpCancel& _cancel)
{
	HttpCall request = _submit.service.empty() ? engineCall(_submit) : serviceCall(_submit);
	request.timeoutMs = _timeoutMs;
	request.headers.push_back({"X-Spanplank-Request", _submit.request});
	request.headers.push_back({"X-Spanplank-Account", _submit.account});
	const TimeUs begin = monotonicNow();
	bool started = false;
	std::string tail;
	const HttpResponse response = call(
		_client, request,
		[&](const HttpResponse& _head, std::string_view _part) {
			if (!started)
			{
				started = true;
				_handlers.onStart(_head.status, contentTypeOf(_head));
			}
			tail.append(_part);
			const bool whole = !_submit.stream && tail.size() <= (1u << 20);
			if (!whole && tail.size() > kTailBytes)
			{
				tail.erase(0, tail.size() - kTailBytes);
			}
			_handlers.onPart(std::string(_part));
		},
		&_cancel);
	if (!started)
	{
		_handlers.onStart(response.status, contentTypeOf(response));
	}
	if (_submit.stream && response.endsWithConnection && !endsBetweenEvents(tail))
	{
		throw HttpFailure("the stream ended inside an event", true);
	}
	if (response.endsWithConnection && refusesConnections(_client))
	{
		throw HttpFailure("the upstream ended with its answer", true);
	}
	AnswerSummary end;
	end.endsWithConnection = response.endsWithConnection;
	end.seconds = double(monotonicNow() - begin) * 1e-6;
	if (_submit.service.empty())
	{
		if (_submit.stream)
		{
			readStreamUsage(tail, end);
		}
		else
		{
			readUsage(readJson(tail), end);
		}
	}
	return end;
}
} // namespace spanplank
