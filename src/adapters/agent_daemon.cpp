/// The agent process: joins the agent's core to links, the upstream, the store and the rating service.
#include <fmt/format.h>
#include <map>
#include <set>

#include "fiber_runtime_p.h"
#include "log_p.h"
#include "metrics_p.h"
#include "node_p.h"
#include "resource_store_p.h"
#include "spanplank/agent_core.h"
#include "spanplank/daemons.h"
#include "upstream_client_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;

constexpr uint32_t kTickMs = 50;
constexpr uint32_t kHomesMs = 200;
constexpr uint32_t kRatingsMs = 400;
constexpr TimeUs kOwnerLostUs = 5000 * kMsToUs; ///< A router gone for this long has its bills flushed here.

/// Ratings of one candidate, read so far.
struct RatingFeed
{
	uint32_t generation = 0;
	uint64_t cursor = 0;
	RatingTally tally;
	uint64_t grants = 0; ///< Grants that this incarnation has taken.
};

struct Agent
{
	explicit Agent(const AgentSettings& _settings);

	AgentSettings settings;
	Node node;
	AgentCore core;
	HttpClient upstream;
	HttpClient ratings;
	std::map<uint64_t, HttpCancel> calls;       ///< By work: the running call to the upstream.
	std::map<std::string, TimeUs> memberLostAt; ///< By incarnation.
	std::map<std::string, TimeUs> ownerLostAt;  ///< By incarnation of a router.
	json lastReport;
	uint64_t reportedSubmits = 0;
	std::map<std::string, RatingFeed> feeds; ///< By candidate version.
	std::vector<Halt> unwrittenHalts;        ///< Obeyed here, not yet in the store.
	bool homesBusy = false;
};

void perform(Agent& _agent, const AgentActions& _actions);

AgentInit coreInit(const AgentSettings& _settings, const std::string& _incarnation)
{
	AgentInit init;
	init.self = {"agent",        _settings.common.box, _incarnation,      _settings.common.hall,
	             _settings.pool, _settings.versions,   _settings.services};
	init.admission.slots = _settings.slots;
	init.admission.kvTokens = _settings.kvTokens;
	init.admission.maxQueued = _settings.maxQueued;
	init.runOnce.askSuccessor = _settings.askSuccessor;
	init.grantSize = _settings.grantSize;
	init.judgeTwice = _settings.judgeTwice;
	init.boundExposure = _settings.boundExposure;
	return init;
}

Agent::Agent(const AgentSettings& _settings)
    : settings(_settings), node(_settings.common),
      core(createAgentCore(coreInit(_settings, node.incarnation)))
{
	upstream.io = &node.io;
	upstream.endpoint = _settings.upstream;
	ratings.io = &node.io;
	ratings.endpoint = _settings.ratings;
}

int64_t wallMs()
{
	return wallNow() / 1000;
}

// ---- The upstream ----------------------------------------------------------------------------------------

void runWork(Agent& _agent, const ForwardWork& _forward)
{
	const WorkId work = _forward.work;
	AgentActions actions;
	try
	{
		UpstreamHandlers handlers;
		handlers.onStart = [&](int _status, const std::string& _contentType)
		{
			AgentActions started;
			onUpstreamStart(_agent.core, work, _status, _contentType, started);
			perform(_agent, started);
		};
		handlers.onPart = [&](std::string _data)
		{
			AgentActions parts;
			onUpstreamPart(_agent.core, work, std::move(_data), parts);
			perform(_agent, parts);
		};
		const UpstreamEnd end =
		    forwardWork(_agent.upstream, _forward.submit, _agent.settings.upstreamTimeoutMs, handlers,
		                _agent.calls[work.idx]);
		onUpstreamEnd(_agent.core, work, end, monotonicNow(), wallMs(), actions);
	}
	catch (const HttpFailure& failure)
	{
		onUpstreamFailed(_agent.core, work, failure.sent(), failure.refusal().detail, monotonicNow(),
		                 wallMs(), actions);
	}
	_agent.calls.erase(work.idx);
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
	void operator()(const AskRecords& _action) const
	{
		agent.node.hub->send(agent.node.hub->linkTo(_action.to), MessageType::RecordsAsk, _action.request);
	}
	void operator()(const TableAdopted& _action) const
	{
		noteEvent(
		    agent.node, "home_table", agent.settings.pool,
		    fmt::format("epoch {} with {} members", _action.epoch, agent.core.guard.table.members.size()));
		agent.node.hub->sendAll(MessageType::Table, TableMessage{agent.core.guard.table});
	}
};

void perform(Agent& _agent, const AgentActions& _actions)
{
	for (const AgentAction& action : _actions)
	{
		std::visit(Performer{_agent}, action);
	}
}

// ---- Messages --------------------------------------------------------------------------------------------

Heartbeat heartbeatOf(Agent& _agent)
{
	return {_agent.core.config.revision, _agent.core.leaving, _agent.core.stopping,
	        stamp(_agent.node.timeline.clock, wallNow())};
}

void onLinkOpen(Agent& _agent, LinkId _link, const PeerInfo& _peer)
{
	LinkHub& hub = *_agent.node.hub;
	hub.send(_link, MessageType::Heartbeat, heartbeatOf(_agent));
	if (_agent.core.guard.table.epoch > 0)
	{
		hub.send(_link, MessageType::Table, TableMessage{_agent.core.guard.table});
	}
	Halts halts;
	for (const auto& [version, generation] : _agent.core.config.haltedGeneration)
	{
		halts.halts.push_back({version, generation, "told on link"});
	}
	hub.send(_link, MessageType::Halts, halts);
	if (_peer.role == "router")
	{
		hub.send(_link, MessageType::Report, reportOf(_agent.core));
	}
}

void onConfig(Agent& _agent, LinkId _from, const ConfigUpdate& _update)
{
	const uint64_t before = _agent.core.config.revision;
	const ApplyResult result = apply(_agent.core.config, _update);
	if (result == ApplyResult::Gap)
	{
		_agent.node.hub->send(_from, MessageType::ConfigAsk, ConfigAsk{before});
		return;
	}
	if (_agent.core.config.revision != before)
	{
		recordEvent(_agent.node.timeline, wallNow(), "config_in_force", "config",
		            fmt::format("revision {}", _agent.core.config.revision));
		_agent.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_agent));
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
	hear(_agent.node.timeline.clock, _heartbeat.hybridTime);
	if (_heartbeat.revision > _agent.core.config.revision)
	{
		_agent.node.hub->send(_from, MessageType::ConfigAsk, ConfigAsk{_agent.core.config.revision});
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
	case MessageType::ConfigAsk:
		hub.send(_from, MessageType::Config,
		         updateSince(_agent.core.config, _message.body.get<ConfigAsk>().since));
		break;
	case MessageType::Halts:
		onHalts(_agent, _message.body.get<Halts>());
		break;
	case MessageType::Submit:
		onSubmit(_agent.core, _from, _message.body.get<Submit>(), now, wallMs(), actions);
		break;
	case MessageType::CancelAttempt:
		onCancel(_agent.core, _from, _message.body.get<CancelAttempt>().attempt, now, wallMs(), actions);
		break;
	case MessageType::BillsFlushed:
	{
		const auto flushed = _message.body.get<BillsFlushed>();
		dropBills(_agent.core.bills, flushed.owner, flushed.seqs);
		break;
	}
	case MessageType::Intent:
		hub.send(_from, MessageType::IntentReply,
		         onIntent(_agent.core, _message.body.get<Intent>(), now, wallMs(), actions));
		break;
	case MessageType::IntentReply:
		onIntentReply(_agent.core, incarnation, _message.body.get<IntentReply>(), now, wallMs(), actions);
		break;
	case MessageType::Outcome:
		handleOutcome(_agent.core.guard, _message.body.get<Outcome>());
		break;
	case MessageType::RecordsAsk:
		hub.send(_from, MessageType::Records,
		         recordsFor(_agent.core.guard, _message.body.get<RecordsRequest>()));
		break;
	case MessageType::Records:
		handleRecords(_agent.core.guard, incarnation, _message.body.get<RecordsMessage>());
		break;
	case MessageType::Table:
		onTable(_agent.core, _message.body.get<TableMessage>().table, now, wallMs(), actions);
		break;
	default:
		break;
	}
	perform(_agent, actions);
}

// ---- The run-once group ----------------------------------------------------------------------------------

std::string tableKey(const Agent& _agent)
{
	return "homes/" + _agent.settings.pool;
}

HomeTable readTable(Agent& _agent, uint64_t& _revision)
{
	const StoreItem item = readStore(_agent.node.store, tableKey(_agent));
	_revision = item.revision;
	HomeTable table;
	if (item.revision != 0 && !item.deleted)
	{
		table = json::parse(item.value).get<HomeTable>();
	}
	table.pool = _agent.settings.pool;
	return table;
}

std::vector<MemberSight> sightsOf(Agent& _agent, const HomeTable& _table)
{
	LinkHub& hub = *_agent.node.hub;
	const TimeUs now = monotonicNow();
	std::vector<MemberSight> sights;
	for (const HomeMember& member : _table.members)
	{
		MemberSight sight;
		sight.incarnation = member.incarnation;
		sight.box = member.box;
		sight.linked =
		    member.incarnation == _agent.node.incarnation || isValid(hub.linkTo(member.incarnation));
		if (sight.linked)
		{
			_agent.memberLostAt.erase(member.incarnation);
		}
		else
		{
			const TimeUs lostAt = _agent.memberLostAt.emplace(member.incarnation, now).first->second;
			sight.lostFor = now - lostAt;
		}
		for (const LinkId link : hub.openLinks())
		{
			const PeerInfo* peer = hub.peer(link);
			sight.gone = sight.gone || (peer->box == member.box && peer->incarnation != member.incarnation);
		}
		sights.push_back(sight);
	}
	return sights;
}

ProposeInput proposeInput(const Agent& _agent)
{
	ProposeInput input;
	input.self = {_agent.node.incarnation, _agent.settings.common.box, 0};
	input.leaving = _agent.core.leaving;
	input.wallMs = wallMs();
	return input;
}

bool isHome(const Agent& _agent)
{
	for (const HomeMember& member : _agent.core.guard.table.members)
	{
		if (member.incarnation == _agent.node.incarnation)
		{
			return true;
		}
	}
	return false;
}

/// @returns Whether nothing is to be done about the group: all members are linked and settled, none leaves.
bool isQuiet(const Agent& _agent, const HomeTable& _table, const std::vector<MemberSight>& _sights)
{
	bool quiet = _table.epoch != 0 && !_agent.core.leaving && isHome(_agent);
	for (const HomeMember& member : _table.members)
	{
		quiet = quiet && member.settledEpoch == _table.epoch;
	}
	for (const MemberSight& sight : _sights)
	{
		quiet = quiet && sight.linked && !sight.gone;
	}
	return quiet;
}

/// Brings the table in the store to what this member wants. Reads the store only when there is need.
void stepHomes(Agent& _agent)
{
	const HomeTable& held = _agent.core.guard.table;
	const bool resigned = _agent.core.leaving && held.epoch != 0 && !isHome(_agent);
	if (resigned || isQuiet(_agent, held, sightsOf(_agent, held)))
	{
		return;
	}
	uint64_t revision = 0;
	const HomeTable current = readTable(_agent, revision);
	AgentActions actions;
	onTable(_agent.core, current, monotonicNow(), wallMs(), actions);
	perform(_agent, actions);
	const std::optional<HomeTable> next =
	    proposeTable(_agent.core.guard, current, proposeInput(_agent), sightsOf(_agent, current));
	if (!next)
	{
		return;
	}
	_agent.core.guard.resigned = _agent.core.leaving; // Before the write: its answer may be lost.
	const CasResult result =
	    casStore(_agent.node.store, tableKey(_agent), json(*next).dump(), revision, revision);
	if (result == CasResult::Done)
	{
		AgentActions adopted;
		onTable(_agent.core, *next, monotonicNow(), wallMs(), adopted);
		perform(_agent, adopted);
	}
}

// ---- Roll-outs -------------------------------------------------------------------------------------------

void readRatings(Agent& _agent, const std::string& _version, RatingFeed& _feed)
{
	HttpCall request;
	request.method = "GET";
	request.target = fmt::format("/ratings?version={}&after={}", _version, _feed.cursor);
	request.timeoutMs = 1000;
	const HttpResponse response = call(_agent.ratings, request);
	const json answer = json::parse(response.body, nullptr, false);
	if (response.status != 200 || !answer.is_object())
	{
		return;
	}
	_feed.cursor = answer.value("next", _feed.cursor);
	_feed.tally.good += answer.value("good", uint64_t(0));
	_feed.tally.bad += answer.value("bad", uint64_t(0));
}

std::string exposureKey(const std::string& _version, uint32_t _generation)
{
	return fmt::format("exposure/{}/{}", _version, _generation);
}

/// Takes credits for a candidate out of the shared ledger, by compare-and-swap.
void takeCredits(Agent& _agent, const std::string& _version, const Rollout& _rollout, RatingFeed& _feed)
{
	ExposureCredits& credits = _agent.core.credits[_version];
	if (credits.generation != _feed.generation)
	{
		credits = ExposureCredits{};
		credits.generation = _feed.generation;
	}
	const bool wanted = credits.left == 0;
	if (!wanted)
	{
		return;
	}
	const std::string key = exposureKey(_version, _feed.generation);
	const StoreItem item = readStore(_agent.node.store, key);
	ExposureLedger ledger;
	if (item.revision != 0)
	{
		ledger = json::parse(item.value).get<ExposureLedger>();
	}
	ledger.version = _version;
	ledger.generation = _feed.generation;
	const uint64_t credit = grantable(ledger, _feed.tally, _rollout, _agent.core.init.grantSize);
	if (credit == 0)
	{
		return;
	}
	const uint64_t seq = _feed.grants + 1;
	addGrant(ledger, _agent.node.incarnation, seq, credit);
	uint64_t revision = 0;
	CasResult result = casStore(_agent.node.store, key, json(ledger).dump(), item.revision, revision);
	if (result == CasResult::Lost)
	{
		const auto held = json::parse(readStore(_agent.node.store, key).value, nullptr, false);
		const bool took =
		    held.is_object() && held.get<ExposureLedger>().grantSeq[_agent.node.incarnation] == seq;
		result = took ? CasResult::Done : CasResult::Conflict;
	}
	if (result == CasResult::Done)
	{
		_feed.grants = seq;
		credits.left += credit;
		credits.refused = 0;
	}
}

/// Writes a version's next state; the operation id makes it the same write from every agent.
void writeState(Agent& _agent, const std::string& _version, uint32_t _generation, VersionState _state)
{
	const auto held = _agent.core.config.versions.find(_version);
	if (held == _agent.core.config.versions.end() || held->second.generation != _generation ||
	    held->second.state >= _state)
	{
		return;
	}
	Version version = held->second;
	version.state = _state;
	ResourceWrite write;
	write.kind = kKindVersion;
	write.name = _version;
	write.spec = version;
	write.op = fmt::format("rollout-{}-{}-{}", _version, _generation, int(_state));
	write.expected = _agent.core.config.resources.at({kKindVersion, _version}).revision;
	try
	{
		writeResource(_agent.node.store, write);
		noteEvent(_agent.node, "version_state", _version, json(_state).get<std::string>());
	}
	catch (const Failure& failure)
	{
		if (failure.refusal().code != ErrorCode::RevisionConflict)
		{
			throw;
		}
	}
}

/// The feed of a version, started anew for a new generation.
RatingFeed& feedOf(Agent& _agent, const std::string& _name, uint32_t _generation)
{
	RatingFeed& feed = _agent.feeds[_name];
	if (feed.generation != _generation)
	{
		const uint64_t cursor = feed.cursor; // Ratings of the earlier generation don't count for this one.
		feed = RatingFeed{};
		feed.generation = _generation;
		feed.cursor = cursor;
	}
	return feed;
}

void stepRollout(Agent& _agent, const std::string& _name)
{
	const Rollout* rollout = rolloutOf(_agent.core.config, _name);
	if (rollout == nullptr)
	{
		return;
	}
	const Rollout declared = *rollout;
	RatingFeed& feed = feedOf(_agent, _name, _agent.core.config.versions.at(_name).generation);
	readRatings(_agent, _name, feed);
	AgentActions actions;
	const RolloutVerdict verdict = onRatings(_agent.core, _name, feed.tally, actions);
	perform(_agent, actions);
	if (verdict == RolloutVerdict::Serve)
	{
		writeState(_agent, _name, feed.generation, VersionState::Serving);
	}
	else if (verdict == RolloutVerdict::Undecided && !declared.paused)
	{
		takeCredits(_agent, _name, declared, feed);
	}
}

/// A version that serves may turn bad at any time.
void stepDrift(Agent& _agent, const std::string& _name, uint32_t _generation)
{
	if (!watchesRatings(_agent.core, _name))
	{
		return;
	}
	RatingFeed& feed = feedOf(_agent, _name, _generation);
	const RatingTally before = feed.tally;
	readRatings(_agent, _name, feed);
	AgentActions actions;
	onDrift(_agent.core, _name, {feed.tally.good - before.good, feed.tally.bad - before.bad}, actions);
	perform(_agent, actions);
}

void stepRatings(Agent& _agent, const std::string& _name)
{
	const auto version = _agent.core.config.versions.find(_name);
	if (version == _agent.core.config.versions.end() || !mayServe(_agent.core.config, _name, true))
	{
		return;
	}
	if (version->second.state == VersionState::Candidate)
	{
		stepRollout(_agent, _name);
		return;
	}
	stepDrift(_agent, _name, version->second.generation);
}

void writeHalts(Agent& _agent)
{
	while (!_agent.unwrittenHalts.empty())
	{
		const Halt halt = _agent.unwrittenHalts.front();
		writeState(_agent, halt.version, halt.generation, VersionState::Withdrawn);
		_agent.unwrittenHalts.erase(_agent.unwrittenHalts.begin());
	}
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
		const BillBatch batch = batchOf(_agent.core.bills, owner);
		if (flushBills(_agent.node, owner, batch))
		{
			dropBatch(_agent.core.bills, owner, batch);
		}
	}
}

// ---- The process -----------------------------------------------------------------------------------------

/// Runs a step over and over in a fiber of its own. A failed step is tried again at its next turn.
void every(uint32_t _ms, std::function<void()> _step)
{
	spawnFiber(
	    [_ms, step = std::move(_step)]
	    {
		    while (true)
		    {
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
		if (self && entry.state == "leaving" && !_agent.core.leaving)
		{
			noteEvent(_agent.node, "leaving", entry.box, "the box list says so");
			_agent.core.leaving = true;
			_agent.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_agent));
		}
		// One link for each pair: the box that comes first by name dials.
		const bool dials = _agent.settings.common.box < entry.box;
		if (!self && dials && entry.role == "agent" && entry.pool == _agent.settings.pool)
		{
			_agent.node.hub->connect(parseEndpoint(entry.link));
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
	const json report(reportOf(_agent.core));
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
	init.handlers.onOpen = [&_agent](LinkId _link, const PeerInfo& _peer)
	{
		onLinkOpen(_agent, _link, _peer);
	};
	init.handlers.onMessage = [&_agent](LinkId _link, const LinkMessage& _message)
	{
		onMessage(_agent, _link, _message);
	};
	init.handlers.onClose = [&_agent](LinkId _link)
	{
		AgentActions actions;
		onLinkDown(_agent.core, _link, monotonicNow(), wallMs(), actions);
		perform(_agent, actions);
	};
	_agent.node.hub = std::make_unique<LinkHub>(_agent.node.io, init);
	_agent.node.hub->listen(_agent.settings.link);
	_agent.node.http.handler = [&_agent](HttpExchange& _exchange)
	{
		answerHttp(_agent, _exchange);
	};
	startHttpServer(_agent.node.io, _agent.node.http, _agent.settings.common.listen);
	noteEvent(_agent.node, "started", _agent.settings.common.box, _agent.node.incarnation);
	followBoxList(_agent.node, [&_agent] { linkPeers(_agent); });
	every(kHeartbeatMs,
	      [&_agent]
	      {
		      _agent.node.hub->sendAll(MessageType::Heartbeat, heartbeatOf(_agent));
		      sendReport(_agent);
	      });
	every(kTickMs,
	      [&_agent]
	      {
		      AgentActions actions;
		      tick(_agent.core, monotonicNow(), wallMs(), actions);
		      perform(_agent, actions);
	      });
	every(kHomesMs, [&_agent] { stepHomes(_agent); });
	every(kBillFlushMs, [&_agent] { flushOrphans(_agent); });
	every(kRatingsMs,
	      [&_agent]
	      {
		      for (const std::string& version : _agent.settings.versions)
		      {
			      stepRatings(_agent, version);
		      }
		      writeHalts(_agent);
	      });
}

/// A planned stop: hand the homes over, take no more work, end what runs, flush the bills.
void stop(Agent& _agent)
{
	const TimeUs until = monotonicNow() + TimeUs(_agent.settings.common.drainMs) * kMsToUs;
	constexpr uint32_t kPollMs = 20;
	_agent.core.leaving = true;
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
	          fmt::format("{} cut, {} bills kept", _agent.core.works.size(), _agent.core.bills.count));
	sleepFor(kPollMs); // Lets the last frames leave.
}
} // namespace

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
