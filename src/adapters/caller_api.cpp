/// Adapter to the callers: OpenAI-shaped chat completions, plain services, typed refusals.
#include <fmt/format.h>
#include <optional>
#include <utility>

#include "log_p.h"
#include "router_p.h"
#include "spanplank/json_text.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kMaxDeadlineMs = 24u * 3600 * 1000;
constexpr size_t kMaxKeyBytes = 256;
constexpr auto kCallerPoll = std::chrono::milliseconds(500);
constexpr auto kStoppingPoll = std::chrono::milliseconds(50); ///< The same in a planned stop.

std::string headerOf(const HttpRequest& _request, const char* _name)
{
	return std::string(_request[_name]);
}

uint32_t deadlineMs(const HttpRequest& _request)
{
	const std::string text = headerOf(_request, "X-Spanplank-Deadline-Ms");
	if (text.empty())
	{
		return kDefaultDeadlineMs;
	}
	const bool digits = text.find_first_not_of("0123456789") == std::string::npos && text.size() <= 9;
	if (!digits || std::stoul(text) > kMaxDeadlineMs)
	{
		throw Failure(ErrorCode::BadRequest, "X-Spanplank-Deadline-Ms: must be milliseconds, at most a day");
	}
	return uint32_t(std::stoul(text));
}

/// @param[in] _since The earliest time at which the request can have come.
CallerRequest commonRequest(const HttpRequest& _request, TimeUs _since)
{
	CallerRequest caller;
	caller.bearer = bearerOf(_request);
	caller.kind = headerOf(_request, "X-Spanplank-Kind");
	caller.session = headerOf(_request, "X-Spanplank-Session");
	caller.key = headerOf(_request, "Idempotency-Key");
	caller.contentType = headerOf(_request, "Content-Type");
	caller.body = _request.body();
	caller.deadline = _since + TimeUs(deadlineMs(_request)) * kMsToUs;
	if (caller.key.size() > kMaxKeyBytes)
	{
		throw Failure(ErrorCode::BadRequest, "Idempotency-Key: at most 256 characters");
	}
	return caller;
}

/// Leading text of all messages, which is what engines cache prefixes of.
std::string promptOf(const json& _messages)
{
	std::string prompt;
	for (const json& message : _messages)
	{
		if (message.is_object() && message.contains("content") && message["content"].is_string())
		{
			prompt += message.value("role", "user");
			prompt += '\n';
			prompt += message["content"].get_ref<const std::string&>();
			prompt += '\n';
		}
	}
	return prompt;
}

/// @returns Hashes of the messages before the last one.
std::vector<std::string> sharedParts(const json& _messages)
{
	std::vector<std::string> parts;
	for (size_t ii = 0; ii + 1 < _messages.size() && ii < kMaxJudgedParts; ++ii)
	{
		const std::string text = _messages[ii].dump(-1, ' ', false, json::error_handler_t::replace);
		parts.push_back(fmt::format("{:016x}", stableHash(text)));
	}
	return parts;
}

CallerRequest chatRequest(const HttpRequest& _request, TimeUs _since)
{
	CallerRequest caller = commonRequest(_request, _since);
	const json body = readJson(caller.body);
	if (!body.is_object())
	{
		throw Failure(ErrorCode::BadRequest, "the body is not a JSON object");
	}
	const bool hasModel = body.contains("model") && body["model"].is_string();
	const bool hasMessages =
		body.contains("messages") && body["messages"].is_array() && !body["messages"].empty();
	if (!hasModel || !hasMessages)
	{
		throw Failure(ErrorCode::BadRequest, "the body needs model and messages");
	}
	const json& stream = body.value("stream", json(false));
	const json& most = body.value("max_tokens", json(256));
	if (!stream.is_boolean() || !most.is_number_integer() || most.get<int64_t>() < 1 ||
		most.get<int64_t>() > 1000000)
	{
		throw Failure(ErrorCode::BadRequest, "stream must be true or false, max_tokens from 1 to 1000000");
	}
	caller.model = body["model"];
	caller.stream = stream;
	caller.maxTokens = most;
	caller.prompt = promptOf(body["messages"]);
	caller.parts = sharedParts(body["messages"]);
	caller.promptTokens = uint32_t(caller.prompt.size() / kBytesPerToken + 1);
	return caller;
}

CallerRequest serviceRequest(const HttpRequest& _request, const Target& _target, TimeUs _since)
{
	CallerRequest caller = commonRequest(_request, _since);
	caller.service = _target.path[2];
	caller.method = std::string(_request.method_string());
	const std::string_view whole(_request.target().data(), _request.target().size());
	const size_t after = whole.find('/', whole.find("/services/") + 10);
	caller.path = after == std::string_view::npos ? "" : std::string(whole.substr(after + 1));
	return caller;
}

std::vector<HttpHeader> headersOf(const AnswerHead& _head)
{
	std::vector<HttpHeader> headers = {{"X-Spanplank-Version", _head.version},
									   {"X-Spanplank-Request", _head.requestId}};
	if (!_head.session.empty())
	{
		headers.push_back({"X-Spanplank-Session", _head.session});
	}
	if (_head.replayed)
	{
		headers.push_back({"X-Spanplank-Replayed", "true"});
	}
	return headers;
}

/// Writes one event to the caller.
struct EventWriter
{
	HttpExchange& exchange;

	/// @returns Whether the answer is complete.
	bool operator()(const CompleteAnswer& _event) const
	{
		HttpResponse response;
		response.status = _event.head.status;
		response.headers = headersOf(_event.head);
		response.headers.push_back({"X-Spanplank-Cost", fmt::format("{:.6f}", _event.cost)});
		response.headers.push_back({"Content-Type", _event.head.contentType});
		response.body = _event.body;
		exchange.respond(response);
		return true;
	}
	bool operator()(const StartAnswer& _event) const
	{
		exchange.startStream(_event.head.status, headersOf(_event.head), _event.head.contentType);
		return false;
	}
	bool operator()(const ForwardPart& _event) const
	{
		exchange.write(_event.data);
		return false;
	}
	bool operator()(const EndAnswer& _event) const
	{
		exchange.write(fmt::format(": spanplank cost={:.6f}\n\n", _event.cost));
		exchange.finish();
		return true;
	}
	bool operator()(const RefuseRequest& _event) const
	{
		exchange.respond(refusalResponse(_event.refusal, _event.requestId));
		return true;
	}
	/// The caller gets a typed error and then a cut, never an end mark.
	bool operator()(const AbortAnswer& _event) const
	{
		const HttpResponse error = refusalResponse(_event.refusal, "");
		exchange.write(fmt::format("event: error\ndata: {}\n\n", error.body));
		exchange.abort();
		return true;
	}
};

/// Joins the parts that are ready, so that a burst costs one system call.
CallerEvent joinParts(CallerEvents& _events, CallerEvent _event)
{
	auto* part = std::get_if<ForwardPart>(&_event);
	FiberQueue<CallerEvent>& queue = _events.queue;
	while (part != nullptr && !queue.empty() && std::holds_alternative<ForwardPart>(queue.front()))
	{
		part->data += std::get<ForwardPart>(*queue.pop(std::chrono::steady_clock::now())).data;
	}
	if (part != nullptr)
	{
		const size_t left = _events.heldBytes - part->data.size();
		recordHeld(_events.buffers, std::exchange(_events.heldBytes, left), left);
	}
	return _event;
}

/// @returns Whether this process ends before an answer can be awaited any longer.
bool endsUnanswered(const Router& _router, const HttpExchange& _exchange)
{
	const PlannedStop& stop = _router.stop;
	return stop.since != 0 && monotonicNow() >= stop.endsAt - kAnswerReserveUs && !_exchange.answered();
}

/// Ends a request whose caller has left, or whose answer this process can't await.
/// @param[in] _gone The caller has left.
void endUnanswered(Router& _router, HttpExchange& _exchange, RequestId _id, bool _gone)
{
	RouterActions left;
	callerDisconnected(_router.core, _id, left);
	perform(_router, left);
	if (_gone)
	{
		_exchange.abort();
		return;
	}
	logEvent("request_cut", {{"number", std::to_string(_id.idx)}});
	_exchange.respond(
		refusalResponse({ErrorCode::UpstreamFailed, RunState::Unknown, 0,
						 "the router stops, and no answer came in time; the request may have run"},
						""));
}

/// @throws Failure(Stopping) This process ends before the request could.
void refuseAtStop(Router& _router, const HttpExchange& _exchange, TimeUs _deadline)
{
	const TimeUs now = monotonicNow();
	if (!acceptsRequest(_router.stop, _deadline, now))
	{
		const uint32_t retryAfterMs =
			retryAfterStopMs(_router.stop, _exchange.connectedAt(), now, nextUnit(_router.core.random));
		throw Failure(Refusal{ErrorCode::Stopping, RunState::No, retryAfterMs,
							  "this router stops before the request could end"});
	}
}

void serve(Router& _router, HttpExchange& _exchange, const CallerRequest& _request)
{
	refuseAtStop(_router, _exchange, _request.deadline);
	const RequestId id{_router.nextRequest++};
	CallerEvents events(_router.core.buffers);
	_router.callers[id.idx] = &events;
	RouterActions actions;
	onRequest(_router.core, id, _request, monotonicNow(), wallNowMs(), actions);
	perform(_router, actions);
	bool done = false;
	while (!done)
	{
		const auto poll = _router.stop.since != 0 ? kStoppingPoll : kCallerPoll;
		std::optional<CallerEvent> event = events.queue.pop(std::chrono::steady_clock::now() + poll);
		if (event)
		{
			done = std::visit(EventWriter{_exchange}, joinParts(events, std::move(*event)));
		}
		const bool gone = event ? _exchange.broken() : _exchange.callerGone();
		if (!done && (gone || endsUnanswered(_router, _exchange)))
		{
			endUnanswered(_router, _exchange, id, gone);
			done = true;
		}
	}
	_router.callers.erase(id.idx);
}

void listModels(Router& _router, HttpExchange& _exchange)
{
	const std::string account = authenticate(_router.core.config, bearerOf(_exchange.request()));
	json data = json::array();
	for (const std::string& name : modelsFor(_router.core.config, account))
	{
		data.push_back({{"id", name}, {"object", "model"}, {"owned_by", "spanplank"}});
	}
	_exchange.respond(jsonResponse(200, {{"object", "list"}, {"data", data}}));
}

void refuseBusy(const Router& _router)
{
	if (_router.core.bills.count >= kMaxUnflushedBills)
	{
		throw Failure(Refusal{ErrorCode::BillsFull, RunState::No, 5000, "no room for another bill"});
	}
	if (_router.core.config.revision == 0)
	{
		throw Failure(Refusal{ErrorCode::ConfigBehind, RunState::No, 1000, "no configuration yet"});
	}
}
} // namespace

bool pushPart(CallerEvents& _events, ForwardPart _part)
{
	const size_t bytes = _events.heldBytes + _part.data.size();
	if (!mayHold(_events.buffers, _events.heldBytes, bytes))
	{
		return false;
	}
	recordHeld(_events.buffers, std::exchange(_events.heldBytes, bytes), bytes);
	_events.queue.push(std::move(_part));
	return true;
}

bool answerCaller(Router& _router, HttpExchange& _exchange, const Target& _target)
{
	const HttpRequest& request = _exchange.request();
	const bool post = request.method() == boost::beast::http::verb::post;
	const std::vector<std::string>& path = _target.path;
	const bool chat = path.size() == 3 && path[1] == "chat" && path[2] == "completions";
	const bool models = path.size() == 2 && path[1] == "models";
	const bool service = path.size() >= 3 && path[1] == "services";
	if (path.empty() || path[0] != "v1" || !(chat || models || service))
	{
		return false;
	}
	std::optional<Refusal> refusal;
	try
	{
		refuseBusy(_router);
		if (models)
		{
			listModels(_router, _exchange);
		}
		else if (chat && !post)
		{
			throw Failure(ErrorCode::BadRequest, "use POST");
		}
		else
		{
			const TimeUs since = _exchange.requestSince();
			serve(_router, _exchange,
				  chat ? chatRequest(request, since) : serviceRequest(request, _target, since));
		}
	}
	catch (const Failure& failure)
	{
		refusal = failure.refusal();
	}
	if (refusal)
	{
		_exchange.respond(refusalResponse(*refusal, ""));
	}
	return true;
}
} // namespace spanplank
