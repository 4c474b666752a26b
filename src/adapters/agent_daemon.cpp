/// The agent process: joins the agent's core to links, the upstream, the store and the rating service.
#include <fmt/format.h>
#include <optional>

#include "agent_p.h"
#include "log_p.h"
#include "metrics_p.h"
#include "spanplank/daemons.h"
#include "upstream_client_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kTickMs = 50; ///< While there is work.
constexpr uint32_t kIdleTickMs = 200;
constexpr uint32_t kHomesMs = 200;
constexpr uint32_t kRatingsMs = 400;
constexpr TimeUs kOwnerLostUs = 5000 * kMsToUs; ///< A router gone for this long has its bills flushed here.

AgentInit coreInit(const AgentSettings& _settings, const std::string& _incarnation)
{
	AgentInit init;
	init.self = {"agent",        _settings.common.box, _incarnation,      _settings.common.hall,
				 _settings.pool, _settings.versions,   _settings.services};
	init.admission.slots = _settings.slots;
	init.admission.kvTokens = _settings.kvTokens;
	init.admission.maxQueued = _settings.maxQueued;
	init.runOnce.replicateIntent = _settings.askSuccessor;
	init.grantSize = _settings.grantSize;
	init.recheckAtStart = _settings.judgeTwice;
	init.boundExposure = _settings.boundExposure;
	return init;
}

// ---- The upstream ----------------------------------------------------------------------------------------

/// Suspends a call whose answer comes faster than its router takes it.
void awaitLink(Agent& _agent, WorkId _work)
{
	constexpr size_t kMostQueued = 1u << 20;
	constexpr uint32_t kPollMs = 2;
	const auto isHeldUp = [&_agent, _work] {
		const auto work = _agent.core.workItems.find(_work.idx);
		return work != _agent.core.workItems.end() && !_agent.calls[_work.idx].cancelled &&
			   _agent.node.hub->queuedBytes(work->second.link) > kMostQueued;
	};
	while (isHeldUp())
	{
		sleepFor(kPollMs);
	}
}

/// Calls the upstream. @returns Why it failed; nothing: its answer has ended.
std::optional<UpstreamFailure> callUpstream(Agent& _agent, const ForwardWork& _forward,
											AgentActions& _actions)
{
	const WorkId work = _forward.work;
	UpstreamHandlers handlers;
	handlers.onStart = [&](int _status, const std::string& _contentType) {
		AgentActions started;
		onUpstreamAnswerStart(_agent.core, work, _status, _contentType, monotonicNow(), started);
		perform(_agent, started);
	};
	handlers.onPart = [&](std::string _data) {
		AgentActions parts;
		if (!onUpstreamAnswerPart(_agent.core, work, std::move(_data), parts))
		{
			logEvent("answer_too_large", {{"request", _forward.submit.request}});
			throw HttpFailure("answer: too large to be held", true);
		}
		perform(_agent, parts);
		awaitLink(_agent, work);
	};
	try
	{
		const AnswerSummary end =
			forwardWork(_agent.upstream, _forward.submit, _agent.settings.upstreamTimeoutMs, handlers,
						_agent.calls[work.idx]);
		onUpstreamAnswerEnd(_agent.core, work, end, monotonicNow(), wallNowMs(), _actions);
		return std::nullopt;
	}
	catch (const HttpFailure& failure)
	{
		return UpstreamFailure{failure.sent(), false, failure.refusal().detail};
	}
	catch (const std::exception& failure)
	{
		noteEvent(_agent.node, "work_failed", _forward.submit.request, failure.what());
		return UpstreamFailure{true, false, failure.what()};
	}
}

/// Ends work whose call has failed, as it would hold its slot for good, and tells others of what may have
/// ended the upstream.
void endFailedWork(Agent& _agent, const ForwardWork& _forward, UpstreamFailure _failure,
				   AgentActions& _actions)
{
	_failure.upstreamDown = refusesConnections(_agent.upstream);
	const uint64_t refused = _agent.core.stats.suspectsRefused;
	onUpstreamFailed(_agent.core, _forward.work, _failure, monotonicNow(), wallNowMs(), _actions);
	if (_failure.sent && _failure.upstreamDown)
	{
		noteEvent(
			_agent.node, "upstream_ended", digestToHex(subjectsOf(_forward.submit).request),
			fmt::format("request {} of {}: {}", _forward.submit.request, _forward.submit.account,
						_agent.core.stats.suspectsRefused > refused ? "refused from now on" : "suspected"));
		tellSuspects(_agent.node, _agent.core.suspects); // Before the router tries the request elsewhere.
	}
}

void runWork(Agent& _agent, const ForwardWork& _forward)
{
	AgentActions actions;
	const std::optional<UpstreamFailure> failure = callUpstream(_agent, _forward, actions);
	if (failure)
	{
		endFailedWork(_agent, _forward, *failure, actions);
	}
	_agent.calls.erase(_forward.work.idx);
	perform(_agent, actions);
}

// ---- Actions ---------------------------------------------------------------------------------------------

void announceHalt(Agent& _agent, const Halt& _halt)
{
	noteEvent(_agent.node, "halted", _halt.version, _halt.reason);
	_agent.node.hub->sendAll(MessageType::Halts, Halts{{_halt}});
	_agent.unwrittenHalts.push_back(_halt);
}

struct Performer
{
	Agent& agent;

	void operator()(const ForwardWork& _action) const
	{
		spawnFiber([&agent = agent, _action] { runWork(agent, _action); });
	}
	void operator()(const CancelWork& _action) const
	{
		const auto running = agent.calls.find(_action.work.idx);
		if (running != agent.calls.end())
		{
			cancel(running->second);
		}
	}
	void operator()(const ReplyStart& _action) const
	{
		agent.node.hub->send(_action.to, MessageType::AnswerStart, _action.message);
	}
	void operator()(const ReplyPart& _action) const
	{
		agent.node.hub->send(_action.to, MessageType::AnswerPart, _action.message);
	}
	void operator()(const ReplyEnd& _action) const
	{
		agent.node.hub->send(_action.to, MessageType::AnswerEnd, _action.message);
	}
	void operator()(const ReplyRefused& _action) const
	{
		agent.node.hub->send(_action.to, MessageType::AnswerRefused, _action.message);
	}
	void operator()(const AnnounceHalt& _action) const
	{
		announceHalt(agent, _action.halt);
	}
	void operator()(const SendIntent& _action) const
	{
		agent.node.hub->send(agent.node.hub->linkTo(_action.to), MessageType::Intent, _action.intent);
	}
	void operator()(const SendOutcome& _action) const
	{
		agent.node.hub->send(agent.node.hub->linkTo(_action.to), MessageType::Outcome, _action.outcome);
	}
	void operator()(const RequestRecords& _action) const
	{
		agent.node.hub->send(agent.node.hub->linkTo(_action.to), MessageType::RecordsRequest,
							 _action.request);
	}
	void operator()(const TableAdopted& _action) const
	{
		noteEvent(
			agent.node, "home_table", agent.settings.pool,
			fmt::format("epoch {} with {} members", _action.epoch, agent.core.guard.table.members.size()));
		agent.node.hub->sendAll(MessageType::Table, HomeTableMessage{agent.core.guard.table});
	}
};

// ---- Messages --------------------------------------------------------------------------------------------

Heartbeat heartbeatOf(Agent& _agent)
{
	return {_agent.core.config.revision, _agent.core.draining, _agent.core.stopping,
			stamp(_agent.node.timeline.clock, wallNow())};
}

void onLinkOpen(Agent& _agent, LinkId _link, const PeerInfo& _peer)
{
	LinkHub& hub = *_agent.node.hub;
	hub.send(_link, MessageType::Heartbeat, heartbeatOf(_agent));
	if (_agent.core.guard.table.epoch > 0)
	{
		hub.send(_link, MessageType::Table, HomeTableMessage{_agent.core.guard.table});
	}
	Halts halts;
	for (const auto& [version, generation] : _agent.core.config.haltedGeneration)
	{
		halts.halts.push_back({version, generation, "told on link"});
	}
	hub.send(_link, MessageType::Halts, halts);
	if (_peer.role == "router")
	{
		hub.send(_link, MessageType::Report, loadReport(_agent.core));
	}
}

void onConfig(Agent& _agent, LinkId _from, const ConfigUpdate& _update)
{
	const uint64_t before = _agent.core.config.revision;
	const ApplyResult result = apply(_agent.core.config, _update);
	if (result == ApplyResult::Gap)
	{
		_agent.node.hub->send(_from, MessageType::ConfigRequest, ConfigRequest{before});
		return;
	}
	if (_agent.core.config.revision != before)
	{
		recordEvent(_agent.node.timeline, wallNow(), "config_in_force", "config",
					fmt::format("revision {}", _agent.core.config.revision));
	}
}

void onHalts(Agent& _agent, const Halts& _halts)
{
	Halts news;
	for (const Halt& halt : _halts.halts)
	{
		if (onHalt(_agent.core, halt))
		{
			noteEvent(_agent.node, "halt_obeyed", halt.version, halt.reason);
			news.halts.push_back(halt);
		}
	}
	if (!news.halts.empty())
	{
		_agent.node.hub->sendAll(MessageType::Halts, news);
	}
}

void onPeerHeartbeat(Agent& _agent, LinkId _from, const Heartbeat& _heartbeat)
{
	receiveTimestamp(_agent.node.timeline.clock, _heartbeat.hybridTime);
	if (_heartbeat.revision > _agent.core.config.revision)
	{
		_agent.node.hub->send(_from, MessageType::ConfigRequest, ConfigRequest{_agent.core.config.revision});
	}
}

void onMessage(Agent& _agent, LinkId _from, const LinkMessage& _message)
{
	const TimeUs now = monotonicNow();
	LinkHub& hub = *_agent.node.hub;
	const PeerInfo* peer = hub.peer(_from);
	const std::string incarnation = peer == nullptr ? "" : peer->incarnation;
	AgentActions actions;
	switch (_message.type)
	{
	case MessageType::Heartbeat:
		onPeerHeartbeat(_agent, _from, _message.body.get<Heartbeat>());
		break;
	case MessageType::Config:
		onConfig(_agent, _from, _message.body.get<ConfigUpdate>());
		break;
	case MessageType::ConfigRequest:
		hub.send(_from, MessageType::Config,
				 updateSince(_agent.core.config, _message.body.get<ConfigRequest>().since));
		break;
	case MessageType::Halts:
		onHalts(_agent, _message.body.get<Halts>());
		break;
	case MessageType::Suspects:
		onSuspects(_agent.core, _message.body.get<Suspects>(), now);
		tellSuspects(_agent.node, _agent.core.suspects);
		break;
	case MessageType::Submit:
		onSubmit(_agent.core, _from, _message.body.get<Submit>(), now, wallNowMs(), actions);
		break;
	case MessageType::CancelAttempt:
		onCancel(_agent.core, _from, _message.body.get<CancelAttempt>().attempt, now, wallNowMs(), actions);
		break;
	case MessageType::BillsFlushed:
	{
		const auto flushed = _message.body.get<BillsFlushed>();
		dropBills(_agent.core.bills, flushed.owner, flushed.seqs);
		break;
	}
	case MessageType::Intent:
		hub.send(_from, MessageType::IntentReply,
				 onIntent(_agent.core, _message.body.get<Intent>(), now, wallNowMs(), actions));
		break;
	case MessageType::IntentReply:
		onIntentReply(_agent.core, incarnation, _message.body.get<IntentReply>(), now, wallNowMs(), actions);
		break;
	case MessageType::Outcome:
		handleOutcome(_agent.core.guard, _message.body.get<Outcome>());
		break;
	case MessageType::RecordsRequest:
		hub.send(_from, MessageType::Records,
				 recordsFor(_agent.core.guard, _message.body.get<RecordsRequest>()));
		break;
	case MessageType::Records:
		handleRecords(_agent.core.guard, incarnation, _message.body.get<RecordsMessage>());
		break;
	case MessageType::Table:
		onTable(_agent.core, _message.body.get<HomeTableMessage>().table, now, wallNowMs(), actions);
		break;
	default:
		break;
	}
	perform(_agent, actions);
}

// ---- Bills -----------------------------------------------------------------------------------------------

/// Flushes the bills of routers that are gone, in their place.
void flushOrphans(Agent& _agent)
{
	const TimeUs now = monotonicNow();
	std::vector<std::string> orphaned;
	for (const auto& [owner, bills] : _agent.core.bills.bills)
	{
		if (isValid(_agent.node.hub->linkTo(owner)))
		{
			_agent.ownerLostAt.erase(owner);
			continue;
		}
		const TimeUs lostAt = _agent.ownerLostAt.emplace(owner, now).first->second;
		if (now - lostAt >= kOwnerLostUs || _agent.node.stopping)
		{
			orphaned.push_back(owner);
		}
	}
	for (const std::string& owner : orphaned)
	{
		const BillBatch batch = pendingBatch(_agent.core.bills, owner);
		if (flushBills(_agent.node, owner, batch))
		{
			dropBatch(_agent.core.bills, owner, batch);
		}
	}
}

// ---- The process -----------------------------------------------------------------------------------------

/// Runs a step over and over in a fiber of its own. A failed step is tried again at its next turn.
void every(const char* _name, uint32_t _ms, std::function<void()> _step)
{
	keepRunning(_name, [_ms, step = std::move(_step)] {
		while (true)
		{
			noteIteration();
			try
			{
				step();
			}
			catch (const Failure&)
			{
				// Counted by the adapter that failed; logged there when its state changes.
			}
			sleepFor(_ms);
		}
	});
}

void linkPeers(Agent& _agent)
{
	for (const BoxEntry& entry : _agent.node.boxes)
	{
		const bool self = entry.box == _agent.settings.common.box;
		if (self && entry.state == "leaving" && !_agent.core.draining)
		{
			noteEvent(_agent.node, "leaving", entry.box, "the box list says so");
			_agent.core.draining = true;
			_agent.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_agent));
		}
		// One link for each pair: the box that comes first by name dials.
		const bool dials = _agent.settings.common.box < entry.box;
		if (!self && dials && entry.role == "agent" && entry.pool == _agent.settings.pool)
		{
			_agent.node.hub->connect(entry.link);
		}
	}
}

std::string metricsPage(Agent& _agent)
{
	MetricsPage page;
	const AgentStats& stats = _agent.core.stats;
	const RunOnceStats& once = _agent.core.guard.stats;
	addCounter(page, "submitted_total", "Attempts that routers sent.", double(stats.submitted));
	addCounter(page, "forwarded_total", "Attempts sent to the upstream.", double(stats.forwarded));
	addCounter(page, "ended_total", "Attempts that the upstream answered.", double(stats.ended));
	addCounter(page, "refused_total", "Attempts refused.", double(stats.refused));
	addCounter(page, "failed_total", "Attempts that the upstream failed.", double(stats.failed));
	addCounter(page, "cancelled_total", "Attempts cancelled.", double(stats.cancelled));
	addCounter(page, "run_once_run_total", "Non-repeatable calls run.", double(once.run));
	addCounter(page, "run_once_replayed_total", "Non-repeatable calls answered from the record.",
			   double(once.replayed));
	addCounter(page, "run_once_in_doubt_total", "Non-repeatable calls refused as in doubt.",
			   double(once.inDoubt));
	addGauge(page, "run_once_keys", "Keys remembered.", double(_agent.core.guard.entries.size()));
	addGauge(page, "home_epoch", "Epoch of the run-once group.", double(_agent.core.guard.table.epoch));
	addGauge(page, "config_revision", "Configuration revision in force.",
			 double(_agent.core.config.revision));
	addGauge(page, "running", "Requests at the upstream.", double(_agent.core.queue.running.size()));
	addGauge(page, "queued", "Requests that wait.", double(_agent.core.queue.waiting.size()));
	addCounter(page, "resources_rejected_total", "Resources that could not be read.",
			   double(_agent.core.config.rejected));
	addGauge(page, "bills_kept", "Bills not yet in the ledger.", double(_agent.core.bills.count));
	addProcessMetrics(page, _agent.node.hub->stats(), _agent.node.store.stats);
	return serialize(page);
}

void answerHttp(Agent& _agent, HttpExchange& _exchange)
{
	const bool ready = !_agent.node.stopping && _agent.core.config.revision > 0;
	if (!answerCommon(_agent.node, _exchange, ready, [&_agent] { return metricsPage(_agent); }))
	{
		_exchange.respond(refusalResponse({ErrorCode::NotFound, RunState::No, 0, "no such path"}, ""));
	}
}

/// Tells the routers of the load, if it has changed.
void sendReport(Agent& _agent)
{
	const json report(loadReport(_agent.core));
	const uint64_t submitted = _agent.core.stats.submitted;
	if (report == _agent.lastReport && submitted == _agent.reportedSubmits)
	{
		return;
	}
	_agent.lastReport = report;
	_agent.reportedSubmits =
		submitted; // Routers count what they sent since a report: work asks for a new one.
	for (const LinkId link : _agent.node.hub->openLinks())
	{
		if (_agent.node.hub->peer(link)->role == "router")
		{
			_agent.node.hub->send(link, MessageType::Report, report);
		}
	}
}

void start(Agent& _agent)
{
	LinkInit init;
	init.self = _agent.core.init.self;
	init.keys = _agent.settings.common.linkKeys;
	init.handlers.onOpen = [&_agent](LinkId _link, const PeerInfo& _peer) {
		onLinkOpen(_agent, _link, _peer);
	};
	init.handlers.onMessage = [&_agent](LinkId _link, const LinkMessage& _message) {
		onMessage(_agent, _link, _message);
	};
	init.handlers.onClose = [&_agent](LinkId _link) {
		_agent.node.toldSuspects.erase(_link.idx);
		AgentActions actions;
		onLinkDown(_agent.core, _link, monotonicNow(), wallNowMs(), actions);
		perform(_agent, actions);
	};
	_agent.node.hub = std::make_unique<LinkHub>(_agent.node.io, init);
	_agent.node.hub->listen(_agent.settings.link);
	_agent.node.http.handler = [&_agent](HttpExchange& _exchange) {
		answerHttp(_agent, _exchange);
	};
	startHttpServer(_agent.node.io, _agent.node.http, _agent.settings.common.listen);
	noteEvent(_agent.node, "started", _agent.settings.common.box, _agent.node.incarnation);
	followBoxList(_agent.node, [&_agent] { linkPeers(_agent); });
	every("heartbeat", kHeartbeatMs, [&_agent] {
		logStalledFibers();
		_agent.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_agent));
		expireSuspects(_agent.core.suspects, monotonicNow());
		tellSuspects(_agent.node, _agent.core.suspects);
		sendReport(_agent);
	});
	keepRunning("tick", [&_agent] {
		while (true)
		{
			noteIteration();
			AgentActions actions;
			tick(_agent.core, monotonicNow(), wallNowMs(), actions);
			perform(_agent, actions);
			const bool idle = _agent.core.workItems.empty() && _agent.core.guardedSubmits.empty();
			sleepFor(idle ? kIdleTickMs : kTickMs);
		}
	});
	every("homes", kHomesMs, [&_agent] { stepHomes(_agent); });
	every("bills", kBillFlushMs, [&_agent] { flushOrphans(_agent); });
	// A loop for each version, so that unreadable ratings of one delay neither the others nor the halts.
	for (const std::string& version : _agent.settings.versions)
	{
		every("ratings", kRatingsMs, [&_agent, version] { stepRatings(_agent, version); });
	}
	every("halts", kRatingsMs, [&_agent] { writeHalts(_agent); });
}

/// A planned stop: hand the homes over, take no more work, end what runs, flush the bills.
void stop(Agent& _agent)
{
	const TimeUs until = monotonicNow() + TimeUs(_agent.settings.common.drainMs) * kMsToUs;
	constexpr uint32_t kPollMs = 20;
	_agent.core.draining = true;
	_agent.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_agent));
	while (isHome(_agent) && monotonicNow() < until)
	{
		sleepFor(kPollMs);
	}
	_agent.core.stopping = true;
	_agent.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_agent));
	while (!isDrained(_agent.core) && monotonicNow() < until)
	{
		sleepFor(kPollMs);
	}
	noteEvent(_agent.node, "drained", _agent.settings.common.box,
			  fmt::format("{} cut, {} bills kept", _agent.core.workItems.size(), _agent.core.bills.count));
	sleepFor(kPollMs); // Lets the last frames leave.
}
} // namespace

Agent::Agent(const AgentSettings& _settings)
	: settings(_settings), node(_settings.common),
	  core(createAgentCore(coreInit(_settings, node.incarnation)))
{
	upstream.io = &node.io;
	upstream.endpoint = _settings.upstream;
	ratings.io = &node.io;
	ratings.endpoint = _settings.ratings;
	core.buffers.limitBytes = answerBufferBytes(_settings.common.memoryMb);
}

void perform(Agent& _agent, const AgentActions& _actions)
{
	for (const AgentAction& action : _actions)
	{
		std::visit(Performer{_agent}, action);
	}
}

int runAgent(const std::string& _settingsFile)
{
	static Agent* s_agent = nullptr; // Lives as long as the process: fibers refer to it to the end.
	s_agent = new Agent(loadAgentSettings(_settingsFile));
	return runNode(
		s_agent->node, [] { start(*s_agent); }, [] { stop(*s_agent); });
}

void checkAgentSettings(const std::string& _settingsFile)
{
	loadAgentSettings(_settingsFile);
}
} // namespace spanplank
