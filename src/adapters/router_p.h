/// The router process's parts: its state, the callers' side, the operators' side.
#ifndef SPANPLANK_ROUTER_P_H_HEADER_GUARD
#define SPANPLANK_ROUTER_P_H_HEADER_GUARD

#include <map>
#include <memory>
#include <unordered_map>

#include "fiber_runtime_p.h"
#include "node_p.h"
#include "resource_store_p.h"
#include "spanplank/planned_stop.h"
#include "spanplank/router_core.h"

namespace spanplank
{
/// What the fiber of a caller's connection gets of its answer.
using CallerEvent =
	std::variant<CompleteAnswer, StartAnswer, ForwardPart, EndAnswer, RefuseRequest, AbortAnswer>;

/// The events of one answer that its caller has not been sent yet.
struct CallerEvents
{
	explicit CallerEvents(AnswerBuffers& _buffers) : buffers(_buffers)
	{
	}

	~CallerEvents()
	{
		recordHeld(buffers, heldBytes, 0);
	}

	CallerEvents(const CallerEvents&) = delete;
	CallerEvents& operator=(const CallerEvents&) = delete;

	FiberQueue<CallerEvent> queue;
	AnswerBuffers& buffers;
	size_t heldBytes = 0; ///< Of the parts in the queue.
};

/// @returns Whether memory is left for the part; if not, it is dropped.
bool pushPart(CallerEvents& _events, ForwardPart _part);

struct Router
{
	explicit Router(const RouterSettings& _settings);

	RouterSettings settings;
	Node node;
	RouterCore core;
	std::map<uint32_t, UpstreamId> upstreamOfLink;
	std::map<uint32_t, LinkId> linkOfUpstream;
	std::unordered_map<uint64_t, CallerEvents*> callers;
	uint64_t nextRequest = 1;
	bool fromStore = false; ///< The configuration was read from the store, not only from peers.
	bool watching = false;
	PlannedStop stop; ///< What has no answer when its reserve begins gets one that says that it may have run.
};

/// Carries out what the core decided.
void perform(Router& _router, RouterActions& _actions);

/// Answers a caller's path.
/// @returns Whether it was one.
bool answerCaller(Router& _router, HttpExchange& _exchange, const Target& _target);

/// Answers an operator's path.
/// @returns Whether it was one.
bool answerOperator(Router& _router, HttpExchange& _exchange, const Target& _target);

/// Applies an update and passes on what is new.
void takeConfig(Router& _router, const ConfigUpdate& _update);

/// Obeys halts and passes on what is new.
void takeHalts(Router& _router, const Halts& _halts);

/// @returns The bearer token of a request, or an empty text.
std::string bearerOf(const HttpRequest& _request);
} // namespace spanplank

#endif // SPANPLANK_ROUTER_P_H_HEADER_GUARD
