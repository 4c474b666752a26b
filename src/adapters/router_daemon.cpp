/// The router process: joins the router's core to callers, operators, links and the store.
#include <algorithm>
#include <fmt/format.h>

#include "log_p.h"
#include "metrics_p.h"
#include "router_p.h"
#include "spanplank/daemons.h"
#include "spanplank/planned_stop.h"

namespace spanplank
{
namespace
{
constexpr uint32_t kTickMs = 25;      ///< While requests are in flight.
constexpr uint32_t kIdleTickMs = 200; ///< While requests are in flight.
constexpr uint32_t kWatchMs = 10000;
constexpr uint32_t kStoreRetryMs = 300;

RouterInit coreInit(const RouterSettings& _settings, const std::string& _incarnation)
{
	RouterInit init;
	init.box = _settings.common.box;
	init.incarnation = _incarnation;
	init.hall = _settings.common.hall;
	init.sessionKeys = _settings.sessionKeys;
	init.kindPriority = _settings.kinds;
	init.seed = stableHash(_incarnation);
	init.loadAware = _settings.routing == "load";
	return init;
}

// ---- Actions ---------------------------------------------------------------------------------------------

LinkId linkOf(const Router& _router, UpstreamId _upstream)
{
	const auto found = _router.linkOfUpstream.find(_upstream.idx);
	return found == _router.linkOfUpstream.end() ? LinkId{} : found->second;
}

struct Performer
{
	Router& router;

	void operator()(SendSubmit& _action) const
	{
		router.node.hub->send(linkOf(router, _action.to), MessageType::Submit, _action.submit);
	}
	void operator()(SendCancel& _action) const
	{
		router.node.hub->send(linkOf(router, _action.to), MessageType::CancelAttempt,
							  CancelAttempt{_action.attempt});
	}
	/// Ends an answer that comes faster than its caller reads it once no memory is left for it.
	void operator()(ForwardPart& _event) const
	{
		const auto caller = router.callers.find(_event.request.idx);
		if (caller == router.callers.end() || pushPart(*caller->second, std::move(_event)))
		{
			return;
		}
		logEvent("answer_unread", {{"number", std::to_string(caller->first)},
								   {"held_bytes", std::to_string(caller->second->heldBytes)}});
		RouterActions left;
		callerDisconnected(router.core, RequestId{caller->first}, left);
		perform(router, left);
		caller->second->queue.push(
			AbortAnswer{RequestId{caller->first},
						{ErrorCode::UpstreamFailed, RunState::Unknown, 0, "the answer was read too slowly"}});
	}
	template <typename Event>
	void operator()(Event& _event) const
	{
		const auto caller = router.callers.find(_event.request.idx);
		if (caller != router.callers.end())
		{
			caller->second->queue.push(std::move(_event));
		}
	}
};

// ---- Links -----------------------------------------------------------------------------------------------

Heartbeat heartbeatOf(Router& _router)
{
	return {_router.core.config.revision, false, _router.node.stopping,
			stamp(_router.node.timeline.clock, wallNow())};
}

Halts allHalts(const Router& _router)
{
	Halts halts;
	for (const auto& [version, generation] : _router.core.config.haltedGeneration)
	{
		halts.halts.push_back({version, generation, "told on link"});
	}
	return halts;
}

void onLinkOpen(Router& _router, LinkId _link, const PeerInfo& _peer)
{
	if (_peer.role != "agent")
	{
		_router.node.hub->close(_link);
		return;
	}
	const UpstreamId upstream = linkUp(_router.core, _peer);
	_router.upstreamOfLink[_link.idx] = upstream;
	_router.linkOfUpstream[upstream.idx] = _link;
	noteEvent(_router.node, "upstream_linked", _peer.box, _peer.incarnation);
	// Everything that the agent must know comes before the first work on the same link.
	_router.node.hub->send(_link, MessageType::Config, updateSince(_router.core.config, 0));
	_router.node.hub->send(_link, MessageType::Halts, allHalts(_router));
	_router.node.hub->send(_link, MessageType::Heartbeat, heartbeatOf(_router));
}

void onLinkClose(Router& _router, LinkId _link)
{
	const auto found = _router.upstreamOfLink.find(_link.idx);
	if (found == _router.upstreamOfLink.end())
	{
		return;
	}
	const UpstreamId upstream = found->second;
	_router.upstreamOfLink.erase(found);
	if (!(linkOf(_router, upstream) == _link))
	{
		return; // Replaced by a newer link already.
	}
	_router.linkOfUpstream.erase(upstream.idx);
	noteEvent(_router.node, "upstream_lost", _router.core.upstreams[upstream.idx].info.box, "");
	RouterActions actions;
	linkDown(_router.core, upstream, monotonicNow(), wallNowMs(), actions);
	perform(_router, actions);
}

void onPeerHeartbeat(Router& _router, LinkId _from, UpstreamId _upstream, const Heartbeat& _heartbeat)
{
	receiveTimestamp(_router.node.timeline.clock, _heartbeat.hybridTime);
	onHeartbeat(_router.core, _upstream, _heartbeat);
	LinkHub& hub = *_router.node.hub;
	if (_heartbeat.revision > _router.core.config.revision)
	{
		hub.send(_from, MessageType::ConfigRequest, ConfigRequest{_router.core.config.revision});
	}
	else if (_heartbeat.revision < _router.core.config.revision)
	{
		hub.send(_from, MessageType::Config, updateSince(_router.core.config, _heartbeat.revision));
	}
}

void onMessage(Router& _router, LinkId _from, const LinkMessage& _message)
{
	const auto known = _router.upstreamOfLink.find(_from.idx);
	if (known == _router.upstreamOfLink.end())
	{
		return;
	}
	const UpstreamId upstream = known->second;
	RouterCore& core = _router.core;
	const TimeUs now = monotonicNow();
	RouterActions actions;
	switch (_message.type)
	{
	case MessageType::Heartbeat:
		onPeerHeartbeat(_router, _from, upstream, _message.body.get<Heartbeat>());
		break;
	case MessageType::Config:
		takeConfig(_router, _message.body.get<ConfigUpdate>());
		break;
	case MessageType::ConfigRequest:
		_router.node.hub->send(_from, MessageType::Config,
							   updateSince(core.config, _message.body.get<ConfigRequest>().since));
		break;
	case MessageType::Halts:
		takeHalts(_router, _message.body.get<Halts>());
		break;
	case MessageType::Suspects:
		onSuspects(core, _message.body.get<Suspects>(), now, actions);
		tellSuspects(_router.node, core.suspects); // Other agents hear of it by their routers.
		break;
	case MessageType::Report:
		onReport(core, upstream, _message.body.get<LoadReport>(), now);
		break;
	case MessageType::Table:
		onTable(core, _message.body.get<HomeTableMessage>().table);
		break;
	case MessageType::AnswerStart:
		onStart(core, upstream, _message.body.get<AnswerStart>(), actions);
		break;
	case MessageType::AnswerPart:
		onPart(core, upstream, _message.body.get<AnswerPart>(), wallNowMs(), actions);
		break;
	case MessageType::AnswerEnd:
		onEnd(core, upstream, _message.body.get<AnswerEnd>(), now, wallNowMs(), actions);
		break;
	case MessageType::AnswerRefused:
		onRefused(core, upstream, _message.body.get<AnswerRefused>(), now, wallNowMs(), actions);
		break;
	default:
		break;
	}
	perform(_router, actions);
}

// ---- Configuration ---------------------------------------------------------------------------------------

/// A few routers of a hall watch the store; the rest hear of changes from the agents that they share.
bool shouldWatch(const Router& _router)
{
	const CommonSettings& self = _router.settings.common;
	const uint64_t own = stableHash(self.box, stableHash(self.hall));
	size_t ahead = 0;
	for (const BoxEntry& entry : _router.node.boxes)
	{
		const bool rival = entry.role == "router" && entry.hall == self.hall && entry.state == "live" &&
						   entry.box != self.box;
		if (rival && stableHash(entry.box, stableHash(self.hall)) > own)
		{
			++ahead;
		}
	}
	return ahead < _router.settings.watchers;
}

void followConfig(Router& _router)
{
	while (true)
	{
		noteIteration();
		bool failed = false;
		try
		{
			_router.watching = shouldWatch(_router);
			if (!_router.fromStore)
			{
				takeConfig(_router, readConfig(_router.node.store));
				_router.fromStore = true;
			}
			else if (_router.watching)
			{
				takeConfig(_router, watchConfig(_router.node.store, _router.core.config.revision, kWatchMs));
			}
			else
			{
				sleepFor(kBoxListPollMs);
			}
		}
		catch (const Failure&)
		{
			failed = true; // The store adapter has logged the change of state.
		}
		if (failed)
		{
			sleepFor(kStoreRetryMs);
		}
	}
}

// ---- Bills -----------------------------------------------------------------------------------------------

bool flushOwnBills(Router& _router)
{
	const std::string& owner = _router.node.incarnation;
	const BillBatch batch = pendingBatch(_router.core.bills, owner);
	if (batch.bills.empty() && batch.voids.empty())
	{
		return true;
	}
	if (!flushBills(_router.node, owner, batch))
	{
		return false;
	}
	dropBatch(_router.core.bills, owner, batch);
	BillsFlushed flushed;
	flushed.owner = owner;
	for (const Bill& bill : batch.bills)
	{
		flushed.seqs.push_back(bill.seq);
	}
	flushed.seqs.insert(flushed.seqs.end(), batch.voids.begin(), batch.voids.end());
	_router.node.hub->sendAll(MessageType::BillsFlushed, flushed);
	return true;
}

// ---- The process -----------------------------------------------------------------------------------------

/// Whether this router is among the few that link an agent: each agent has `routersPerAgent` of them, by rank
/// over the live routers, so that no router needs a link to every agent.
bool isOurs(const Router& _router, const BoxEntry& _agent)
{
	const uint32_t most = _router.settings.routersPerAgent;
	const uint64_t agent = stableHash(_agent.box);
	const uint64_t own = stableHash(_router.settings.common.box, agent);
	uint32_t ahead = 0;
	for (const BoxEntry& entry : _router.node.boxes)
	{
		const bool rival =
			entry.role == "router" && entry.state == "live" && entry.box != _router.settings.common.box;
		ahead += rival && stableHash(entry.box, agent) > own ? 1 : 0;
	}
	return most == 0 || ahead < most;
}

void linkAgents(Router& _router)
{
	const auto routers = std::count_if(_router.node.boxes.begin(), _router.node.boxes.end(),
									   [](const BoxEntry& _entry) { return _entry.role == "router"; });
	_router.core.routers = uint32_t(std::max<std::ptrdiff_t>(1, routers));
	for (const BoxEntry& entry : _router.node.boxes)
	{
		if (entry.role != "agent")
		{
			continue;
		}
		if (entry.state == "leaving")
		{
			markDraining(_router.core, entry.box, "");
		}
		if (isOurs(_router, entry))
		{
			_router.node.hub->connect(entry.link);
		}
		else
		{
			_router.node.hub->disconnect(entry.link); // Links that are open stay; they are not opened anew.
		}
	}
}

std::string metricsPage(Router& _router)
{
	MetricsPage page;
	const RouterStats& stats = _router.core.stats;
	addCounter(page, "requests_total", "Requests of callers.", double(stats.requests));
	addCounter(page, "answered_total", "Requests answered whole.", double(stats.answered));
	addCounter(page, "refused_total", "Requests refused.", double(stats.refused));
	addCounter(page, "broken_total", "Answers broken after their start.", double(stats.aborted));
	addCounter(page, "retries_total", "Attempts beyond the first.", double(stats.retries));
	addCounter(page, "escalations_total", "Cascade steps beyond the first.", double(stats.escalations));
	addCounter(page, "stale_frames_total", "Frames of attempts given up.", double(stats.staleFrames));
	addGauge(page, "in_flight", "Requests in flight.", double(_router.core.requests.size()));
	addGauge(page, "connections", "Callers' connections.", double(_router.node.http.connections));
	addGauge(page, "config_revision", "Configuration revision in force.",
			 double(_router.core.config.revision));
	addCounter(page, "resources_rejected_total", "Resources that could not be read.",
			   double(_router.core.config.rejected));
	addGauge(page, "bills_kept", "Bills not yet in the ledger.", double(_router.core.bills.count));
	addProcessMetrics(page, _router.node.hub->stats(), _router.node.store.stats);
	return serialize(page);
}

bool isReady(const Router& _router)
{
	return !_router.node.stopping && _router.core.config.revision > 0 && !_router.linkOfUpstream.empty();
}

void answerHttp(Router& _router, HttpExchange& _exchange)
{
	if (answerCommon(_router.node, _exchange, isReady(_router), [&_router] { return metricsPage(_router); }))
	{
		return;
	}
	const Target target = parseTarget(std::string_view(_exchange.request().target()));
	if (!answerCaller(_router, _exchange, target) && !answerOperator(_router, _exchange, target))
	{
		_exchange.respond(refusalResponse({ErrorCode::NotFound, RunState::No, 0, "no such path"}, ""));
	}
}

void startLinks(Router& _router)
{
	LinkInit init;
	init.self = {
		"router", _router.settings.common.box, _router.node.incarnation, _router.settings.common.hall, "", {},
		{}};
	init.keys = _router.settings.common.linkKeys;
	init.handlers.onOpen = [&_router](LinkId _link, const PeerInfo& _peer) {
		onLinkOpen(_router, _link, _peer);
	};
	init.handlers.onMessage = [&_router](LinkId _link, const LinkMessage& _message) {
		onMessage(_router, _link, _message);
	};
	init.handlers.onClose = [&_router](LinkId _link) {
		_router.node.toldSuspects.erase(_link.idx);
		onLinkClose(_router, _link);
	};
	_router.node.hub = std::make_unique<LinkHub>(_router.node.io, init);
}

void start(Router& _router)
{
	startLinks(_router);
	_router.node.http.limits.bodyBytes = _router.settings.maxBodyBytes;
	_router.node.http.limits.headerBytes = kMaxHeaderBytes;
	_router.node.http.limits.slowMs = _router.settings.slowCallerMs;
	_router.node.http.limits.headerMs = _router.settings.slowCallerMs;
	_router.node.http.limits.idleMs = _router.settings.slowCallerMs;
	_router.node.http.handler = [&_router](HttpExchange& _exchange) {
		answerHttp(_router, _exchange);
	};
	startHttpServer(_router.node.io, _router.node.http, _router.settings.common.listen);
	noteEvent(_router.node, "started", _router.settings.common.box, _router.node.incarnation);
	followBoxList(_router.node, [&_router] { linkAgents(_router); });
	keepRunning("config", [&_router] { followConfig(_router); });
	keepRunning("heartbeat", [&_router] {
		while (true)
		{
			noteIteration();
			logStalledFibers();
			_router.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_router));
			expireSuspects(_router.core.suspects, monotonicNow());
			tellSuspects(_router.node, _router.core.suspects);
			sleepFor(kHeartbeatMs);
		}
	});
	keepRunning("tick", [&_router] {
		while (true)
		{
			noteIteration();
			RouterActions actions;
			tick(_router.core, monotonicNow(), actions);
			perform(_router, actions);
			sleepFor(_router.core.requests.empty() ? kIdleTickMs : kTickMs);
		}
	});
	keepRunning("bills", [&_router] {
		while (true)
		{
			noteIteration();
			flushOwnBills(_router);
			sleepFor(std::max(kBillFlushMs, kBillFlushPerRouterMs * _router.core.routers));
		}
	});
}

/// Polls until a condition holds or a time is over.
void pollUntil(TimeUs _until, const std::function<bool()>& _condition)
{
	constexpr uint32_t kPollMs = 20;
	while (!_condition() && monotonicNow() < _until)
	{
		sleepFor(kPollMs);
	}
}

/// A planned stop: the balancer sees it, what is in flight ends, the bills are flushed.
void stop(Router& _router)
{
	constexpr uint32_t kLastFramesMs = 20; ///< Lets the last frames leave.
	HttpServer& http = _router.node.http;
	const TimeUs begin = monotonicNow();
	const TimeUs until = begin + TimeUs(_router.settings.common.drainMs) * kMsToUs;
	_router.stop = {begin, until, TimeUs(_router.settings.common.balancerMs) * kMsToUs};
	sleepFor(_router.settings.common.balancerMs);
	http.draining = true;
	stopListening(http);
	// From the first byte on: a request that is still being read would be cut without an answer.
	pollUntil(until, [&] { return http.busy == 0; });
	closeIdle(http);
	pollUntil(until, [&] { return http.connections == 0; });
	noteCut(http);
	while (!flushOwnBills(_router) && monotonicNow() < until)
	{
		sleepFor(kStoreRetryMs);
	}
	noteEvent(_router.node, "drained", _router.settings.common.box,
			  fmt::format("{} cut, {} bills kept", http.busy, _router.core.bills.count));
	sleepFor(kLastFramesMs);
}
} // namespace

Router::Router(const RouterSettings& _settings)
	: settings(_settings), node(_settings.common),
	  core(createRouterCore(coreInit(_settings, node.incarnation)))
{
	core.buffers.limitBytes = answerBufferBytes(_settings.common.memoryMb);
}

std::string bearerOf(const HttpRequest& _request)
{
	const std::string value(_request["Authorization"]);
	constexpr std::string_view kBearer = "Bearer ";
	const bool bearer = value.size() > kBearer.size() &&
						boost::beast::iequals(value.substr(0, kBearer.size()), std::string(kBearer));
	return bearer ? value.substr(kBearer.size()) : "";
}

void perform(Router& _router, RouterActions& _actions)
{
	for (RouterAction& action : _actions)
	{
		std::visit(Performer{_router}, action);
	}
}

void takeConfig(Router& _router, const ConfigUpdate& _update)
{
	const uint64_t before = _router.core.config.revision;
	const uint64_t rejected = _router.core.config.rejected;
	const ApplyResult result = apply(_router.core.config, _update);
	if (_router.core.config.rejected != rejected)
	{
		logEvent("resources_rejected", {{"count", std::to_string(_router.core.config.rejected - rejected)},
										{"revision", std::to_string(_update.revision)}});
	}
	if (result != ApplyResult::Applied)
	{
		return;
	}
	if (_router.core.config.revision != before)
	{
		recordEvent(_router.node.timeline, wallNow(), "config_in_force", "config",
					fmt::format("revision {}", _router.core.config.revision));
	}
	_router.node.hub->sendAll(MessageType::Config, _update);
}

void takeHalts(Router& _router, const Halts& _halts)
{
	Halts news;
	for (const Halt& halt : _halts.halts)
	{
		if (applyHalt(_router.core.config, halt))
		{
			noteEvent(_router.node, "halt_obeyed", halt.version, halt.reason);
			news.halts.push_back(halt);
		}
	}
	if (!news.halts.empty())
	{
		_router.node.hub->sendAll(MessageType::Halts, news);
	}
}

int runRouter(const std::string& _settingsFile)
{
	if (isDirect(_settingsFile))
	{
		return runDirectRouter(_settingsFile);
	}
	static Router* s_router = nullptr; // Lives as long as the process: fibers refer to it to the end.
	s_router = new Router(loadRouterSettings(_settingsFile));
	return runNode(
		s_router->node, [] { start(*s_router); }, [] { stop(*s_router); });
}

void checkRouterSettings(const std::string& _settingsFile)
{
	if (isDirect(_settingsFile))
	{
		loadDirectSettings(_settingsFile);
		return;
	}
	loadRouterSettings(_settingsFile);
}
} // namespace spanplank
