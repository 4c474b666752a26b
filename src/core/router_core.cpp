#include "spanplank/router_core.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace spanplank
{
namespace
{
constexpr double kFailureDecay = 0.8;
constexpr uint32_t kDefaultPriority = 5;
constexpr uint32_t kNoUpstreamRetryAfterMs = 500;
constexpr TimeUs kExposureBackoffUs = 250 * kMsToUs;
/// Interval between attempts to reach the home of a key.
constexpr TimeUs kHomeRetryIntervalUs = 50 * kMsToUs;
/// Maximum wait for a new home; a takeover takes about 3 s.
constexpr TimeUs kMaxHomeWaitUs = 5000 * kMsToUs;

/// Version and upstream selected for an attempt.
struct Target
{
	std::string version;
	UpstreamId upstream;
};

bool containsText(const std::vector<std::string>& _list, std::string_view _text)
{
	return std::find(_list.begin(), _list.end(), _text) != _list.end();
}

bool acceptsRequests(const UpstreamState& _upstream)
{
	return _upstream.linked && !_upstream.draining && !_upstream.report.billsFull;
}

bool isRunOnce(const RouterCore& _core, const RequestState& _request)
{
	if (_request.caller.service.empty())
	{
		return !_request.caller.key.empty();
	}
	const auto service = _core.config.services.find(_request.caller.service);
	return service != _core.config.services.end() && !service->second.repeatable;
}

/// Closes the bill of the current step. A step that ended without a bill is voided, so that an abandoned
/// attempt can't bill it later. A run-once call is excepted, as its answer can still be returned by replay.
void closeBill(RouterCore& _core, RequestState& _request)
{
	const bool mayBeReplayed = isRunOnce(_core, _request) && _request.mayHaveRun;
	if (_request.billSeq != 0 && !_request.billed && !mayBeReplayed)
	{
		retainVoid(_core.bills, _core.init.incarnation, _request.billSeq);
	}
	_request.billSeq = 0;
	_request.billed = false;
}

void endRequest(RouterCore& _core, RequestId _id)
{
	const auto found = _core.requests.find(_id.idx);
	if (found == _core.requests.end())
	{
		return;
	}
	closeBill(_core, found->second);
	recordHeld(_core.buffers, found->second.heldBytes, 0);
	_core.requestOfAttempt.erase(found->second.attempt);
	_core.requests.erase(found);
}

/// Ends a request with a refusal, or aborts its answer if parts were forwarded.
void failRequest(RouterCore& _core, RequestId _id, Refusal _refusal, RouterActions& _actions)
{
	const RequestState& request = _core.requests.at(_id.idx);
	if (request.mayHaveRun)
	{
		_refusal.run = RunState::Unknown;
	}
	if (request.started)
	{
		++_core.stats.aborted;
		_actions.push_back(AbortAnswer{_id, std::move(_refusal)});
	}
	else
	{
		++_core.stats.refused;
		_actions.push_back(RefuseRequest{_id, request.id, std::move(_refusal)});
	}
	endRequest(_core, _id);
}

std::vector<std::string> versionsInState(const RouterCore& _core, const RequestState& _request,
										 const std::string& _name, VersionState _state)
{
	std::vector<std::string> names;
	for (const auto& [versionName, version] : _core.config.versions)
	{
		const bool matches = versionName == _name || version.model == _name;
		if (matches && version.state == _state && mayServe(_core.config, versionName, false) &&
			allowsVersion(_core.config, _request.account, versionName))
		{
			names.push_back(versionName);
		}
	}
	return names;
}

UpstreamLoad loadOf(const RouterCore& _core, uint32_t _idx, const std::vector<uint64_t>& _blocks, TimeUs _now)
{
	const UpstreamState& upstream = _core.upstreams[_idx];
	UpstreamLoad load;
	load.id = UpstreamId{_idx};
	load.running = upstream.report.running;
	load.queued = upstream.report.queued;
	load.slots = std::max(1u, upstream.report.slots);
	load.prefillBacklog = upstream.report.prefillBacklog;
	load.sentSinceReport = upstream.sentSinceReport;
	load.sentTokens = upstream.sentTokens;
	load.prefixTokens = prefixHitTokens(_core.prefixes, _blocks, load.id, _now);
	load.reportAge = double(_now - upstream.reportAt) * 1e-6;
	load.routers = std::max(1u, _core.routers);
	load.sameHall = upstream.info.hall == _core.init.hall;
	load.failureRate = upstream.failureRate;
	return load;
}

UpstreamId pickAmong(RouterCore& _core, const RequestState& _request,
					 const std::vector<uint32_t>& _candidates, TimeUs _now)
{
	if (!_core.init.loadAware)
	{
		const size_t at = _core.roundRobin++ % std::max<size_t>(1, _candidates.size());
		return _candidates.empty() ? UpstreamId{} : UpstreamId{_candidates[at]};
	}
	std::vector<UpstreamLoad> loads;
	loads.reserve(_candidates.size());
	for (const uint32_t idx : _candidates)
	{
		loads.push_back(loadOf(_core, idx, _request.blocks, _now));
	}
	const uint32_t best = pickUpstream(loads, _request.caller.promptTokens, _core.init.costs, _core.random);
	return best == kInvalidIdx ? UpstreamId{} : loads[best].id;
}

/// @returns Upstreams that offer the version or service and were not tried for this request.
std::vector<uint32_t> upstreamsWith(const RouterCore& _core, const RequestState& _request,
									const std::string& _version, TimeUs _now)
{
	std::vector<uint32_t> found;
	for (uint32_t ii = 0; ii < _core.upstreams.size(); ++ii)
	{
		const UpstreamState& upstream = _core.upstreams[ii];
		const std::vector<std::string>& offers =
			_request.caller.service.empty() ? upstream.info.versions : upstream.info.services;
		const auto spent = upstream.exposureSpentUntil.find(_version);
		const bool exhausted = spent != upstream.exposureSpentUntil.end() && spent->second > _now;
		if (acceptsRequests(upstream) && containsText(offers, _version) && !exhausted &&
			_request.tried.count(ii) == 0)
		{
			found.push_back(ii);
		}
	}
	return found;
}

/// @returns Pool whose members share the run-once keys of a version or service.
std::string poolOf(const RouterCore& _core, bool _service, const std::string& _what)
{
	std::string pool;
	for (const UpstreamState& upstream : _core.upstreams)
	{
		const std::vector<std::string>& offers = _service ? upstream.info.services : upstream.info.versions;
		if (containsText(offers, _what) && (pool.empty() || upstream.info.pool < pool))
		{
			pool = upstream.info.pool;
		}
	}
	return pool;
}

/// @returns Home of a run-once call; invalid if its link is down.
UpstreamId homeOf(const RouterCore& _core, const RequestState& _request, const std::string& _what,
				  const std::string& _key)
{
	const bool service = !_request.caller.service.empty();
	const auto table = _core.homeTables.find(poolOf(_core, service, _what));
	if (table == _core.homeTables.end() || table->second.members.empty())
	{
		return UpstreamId{};
	}
	const std::vector<size_t> rank = rankMembers(table->second.members, _key);
	const std::string& home = table->second.members[rank[0]].incarnation;
	for (uint32_t ii = 0; ii < _core.upstreams.size(); ++ii)
	{
		if (_core.upstreams[ii].linked && _core.upstreams[ii].info.incarnation == home)
		{
			return UpstreamId{ii};
		}
	}
	return UpstreamId{};
}

std::string stepKey(const RequestState& _request)
{
	return _request.step == 0 ? _request.caller.key
							  : fmt::format("{}#{}", _request.caller.key, _request.step);
}

/// @returns Scope of a run-once key: the service, or the model name that the caller requested.
const std::string& keyScope(const RequestState& _request)
{
	return _request.caller.service.empty() ? _request.caller.model : _request.caller.service;
}

bool shouldOfferCandidate(RouterCore& _core, RequestState& _request, const std::string& _version)
{
	const Rollout* rollout = rolloutOf(_core.config, _version);
	if (rollout == nullptr || rollout->paused || !_request.caller.session.empty() ||
		!_request.caller.key.empty() || _request.offeredCandidate)
	{
		return false;
	}
	return nextUnit(_core.random) < rollout->share;
}

std::vector<std::string> versionOrder(RouterCore& _core, RequestState& _request)
{
	if (!_request.sessionVersion.empty())
	{
		return {_request.sessionVersion};
	}
	const std::string& step = _request.steps[_request.step];
	std::vector<std::string> order;
	for (const std::string& candidate : versionsInState(_core, _request, step, VersionState::Candidate))
	{
		if (shouldOfferCandidate(_core, _request, candidate))
		{
			order.push_back(candidate);
		}
	}
	_request.offeredCandidate = true;
	std::vector<std::string> serving = versionsInState(_core, _request, step, VersionState::Serving);
	if (!serving.empty())
	{
		const size_t first = nextRandom(_core.random) % serving.size();
		std::rotate(serving.begin(), serving.begin() + std::ptrdiff_t(first), serving.end());
	}
	order.insert(order.end(), serving.begin(), serving.end());
	return order;
}

Target chooseTarget(RouterCore& _core, RequestState& _request, bool _runOnce, TimeUs _now)
{
	if (!_request.caller.service.empty())
	{
		const std::string& service = _request.caller.service;
		const std::string key = callKey(_request.account, keyScope(_request), stepKey(_request));
		const UpstreamId upstream =
			_runOnce ? homeOf(_core, _request, service, key)
					 : pickAmong(_core, _request, upstreamsWith(_core, _request, service, _now), _now);
		return {"", upstream};
	}
	const std::string key = _runOnce ? callKey(_request.account, keyScope(_request), stepKey(_request)) : "";
	for (const std::string& version : versionOrder(_core, _request))
	{
		const UpstreamId upstream =
			_runOnce ? homeOf(_core, _request, version, key)
					 : pickAmong(_core, _request, upstreamsWith(_core, _request, version, _now), _now);
		if (isValid(upstream))
		{
			return {version, upstream};
		}
	}
	return {};
}

Submit makeSubmit(RouterCore& _core, const RequestState& _request, const Target& _target, bool _runOnce,
				  TimeUs _now)
{
	const CallerRequest& caller = _request.caller;
	Submit submit;
	submit.attempt = _core.nextAttempt++;
	submit.request = _request.id;
	submit.account = _request.account;
	submit.kind = caller.kind;
	submit.version = _target.version;
	submit.service = caller.service;
	submit.method = caller.method;
	submit.path = caller.path;
	submit.contentType = caller.contentType;
	submit.body = caller.body;
	submit.parts = caller.parts;
	submit.key = _runOnce ? caller.key : "";
	submit.callId = _runOnce ? callKey(_request.account, keyScope(_request), stepKey(_request)) : "";
	submit.billOwner = _core.init.incarnation;
	submit.billSeq = _request.billSeq;
	submit.stream = caller.stream && _request.step + 1 == std::max<size_t>(1, _request.steps.size());
	submit.session = !_request.sessionVersion.empty();
	submit.runOnce = _runOnce;
	submit.deadlineMs = uint32_t(std::max<TimeUs>(1, (caller.deadline - _now) / kMsToUs));
	const auto priority = _core.init.kindPriority.find(caller.kind);
	submit.priority = priority == _core.init.kindPriority.end() ? kDefaultPriority : priority->second;
	submit.promptTokens = caller.promptTokens;
	submit.maxTokens = caller.maxTokens;
	submit.revision = _core.config.revision;
	return submit;
}

Refusal noTargetRefusal(const RouterCore& _core, const RequestState& _request, bool _runOnce)
{
	if (_runOnce)
	{
		return {ErrorCode::HomeChanging, RunState::No, kHomeChangeRetryMs,
				"the home of the key is not reachable"};
	}
	if (_request.caller.service.empty() && _request.sessionVersion.empty())
	{
		const std::string& step = _request.steps[_request.step];
		const bool serving = !versionsInState(_core, _request, step, VersionState::Serving).empty();
		if (!serving)
		{
			return {ErrorCode::VersionWithdrawn, RunState::No, 0,
					fmt::format("no version of '{}' is serving", step)};
		}
	}
	return {ErrorCode::NoUpstream, RunState::No, kNoUpstreamRetryAfterMs,
			"no upstream accepts the request now"};
}

/// Makes a run-once call wait for the new home of its key, if that may still be available in time.
/// @returns Whether it waits.
bool waitForHome(RequestState& _request, TimeUs _now)
{
	if (_request.homeWaitSince == 0)
	{
		_request.homeWaitSince = _now;
	}
	const TimeUs left = _request.caller.deadline - _now;
	const bool mayBecomeAvailable =
		_now - _request.homeWaitSince < kMaxHomeWaitUs && left > kHomeRetryIntervalUs;
	_request.homeRetryAt = mayBecomeAvailable ? _now + kHomeRetryIntervalUs : 0;
	return mayBecomeAvailable;
}

/// Sends the next attempt, or ends the request.
void dispatch(RouterCore& _core, RequestId _id, TimeUs _now, RouterActions& _actions)
{
	RequestState& request = _core.requests.at(_id.idx);
	const bool runOnce = isRunOnce(_core, request);
	if (_now >= request.caller.deadline)
	{
		failRequest(_core, _id, {ErrorCode::DeadlinePassed, RunState::No, 0, "the deadline has passed"},
					_actions);
		return;
	}
	const Target target = chooseTarget(_core, request, runOnce, _now);
	if (!isValid(target.upstream))
	{
		if (!runOnce || !waitForHome(request, _now))
		{
			failRequest(_core, _id, noTargetRefusal(_core, request, runOnce), _actions);
		}
		return;
	}
	if (request.billSeq == 0)
	{
		request.billSeq = _core.nextBill++;
	}
	const Submit submit = makeSubmit(_core, request, target, runOnce, _now);
	UpstreamState& upstream = _core.upstreams[target.upstream.idx];
	++upstream.inFlight;
	++upstream.sentSinceReport;
	upstream.sentTokens += request.caller.promptTokens;
	++request.attempts;
	request.version = target.version.empty() ? request.caller.service : target.version;
	request.attempt = submit.attempt;
	request.upstream = target.upstream;
	request.buffer.clear();
	recordHeld(_core.buffers, std::exchange(request.heldBytes, 0), 0);
	request.parts = 0;
	request.head = AnswerHead{};
	_core.requestOfAttempt[submit.attempt] = _id.idx;
	recordPrefix(_core.prefixes, request.blocks, target.upstream, _now);
	_actions.push_back(SendSubmit{target.upstream, submit});
}

/// Removes the current attempt.
/// @returns Its upstream.
UpstreamId closeAttempt(RouterCore& _core, RequestState& _request, bool _failed)
{
	_core.requestOfAttempt.erase(_request.attempt);
	_request.attempt = UINT64_MAX;
	UpstreamState& upstream = _core.upstreams[_request.upstream.idx];
	upstream.inFlight -= std::min(upstream.inFlight, 1u);
	upstream.failureRate = upstream.failureRate * kFailureDecay + (_failed ? 1.0 - kFailureDecay : 0.0);
	return _request.upstream;
}

/// Abandons the current attempt, if there is one: it may have run. Run-once work isn't cancelled here, as
/// agents end it themselves.
void abandonAttempt(RouterCore& _core, RequestState& _request, RouterActions& _actions)
{
	if (_request.attempt == UINT64_MAX)
	{
		return;
	}
	if (!isRunOnce(_core, _request))
	{
		_actions.push_back(SendCancel{_request.upstream, _request.attempt});
	}
	_request.mayHaveRun = true;
	closeAttempt(_core, _request, false);
}

/// Retries on another upstream if that is allowed, else ends the request.
/// @param[in] _free Whether the retry doesn't consume the retry budget.
void retryOrFail(RouterCore& _core, RequestId _id, const Refusal& _refusal, bool _free, TimeUs _now,
				 RouterActions& _actions)
{
	RequestState& request = _core.requests.at(_id.idx);
	const bool ran = _refusal.run == RunState::Unknown;
	request.mayHaveRun = request.mayHaveRun || ran;
	const bool once = isRunOnce(_core, request);
	const bool tooMany = request.attempts >= kMaxAttempts && _refusal.code != ErrorCode::HomeChanging;
	const bool allowed = !request.started && !(once && request.mayHaveRun) && !tooMany;
	const bool elsewhere = allowed && (_free || consumeRetry(_core.retryBudget));
	if (!elsewhere)
	{
		failRequest(_core, _id, _refusal, _actions);
		return;
	}
	++_core.stats.retries;
	if (!once)
	{
		request.tried.insert(request.upstream.idx);
	}
	const Target again = chooseTarget(_core, request, once, _now);
	const bool sameHome = once && again.upstream == request.upstream;
	const bool homeUnavailable = once && (sameHome || !isValid(again.upstream));
	if (homeUnavailable && _refusal.code == ErrorCode::HomeChanging && waitForHome(request, _now))
	{
		return;
	}
	if (!isValid(again.upstream) || sameHome)
	{
		failRequest(_core, _id, _refusal, _actions); // The first refusal is more specific than `no_upstream`.
		return;
	}
	dispatch(_core, _id, _now, _actions);
}

/// @returns Request that a frame belongs to, or null if the attempt has ended or runs on another upstream.
RequestState* requestOf(RouterCore& _core, UpstreamId _from, uint64_t _attempt, RequestId& _id)
{
	const auto attempt = _core.requestOfAttempt.find(_attempt);
	if (attempt == _core.requestOfAttempt.end())
	{
		++_core.stats.staleFrames;
		return nullptr;
	}
	RequestState& request = _core.requests.at(attempt->second);
	if (!(request.upstream == _from))
	{
		++_core.stats.staleFrames;
		return nullptr;
	}
	_id = RequestId{attempt->second};
	return &request;
}

bool isLastStep(const RequestState& _request)
{
	return _request.step + 1 >= _request.steps.size();
}

std::string newSession(RouterCore& _core, const RequestState& _request, int64_t _wallMs)
{
	const bool model = _request.caller.service.empty();
	if (_request.caller.session != "new" || _core.init.sessionKeys.empty() || !model)
	{
		return "";
	}
	const auto version = _core.config.versions.find(_request.version);
	const uint32_t generation = version == _core.config.versions.end() ? 0 : version->second.generation;
	const SessionToken token{_request.account, _request.version, generation, _wallMs,
							 fmt::format("{:016x}", nextRandom(_core.random))};
	return signSession(token, _core.init.sessionKeys.front());
}

void fillHead(RouterCore& _core, RequestState& _request, int64_t _wallMs)
{
	_request.head.version = _request.version;
	_request.head.requestId = _request.id;
	_request.head.session = newSession(_core, _request, _wallMs);
}

void completeRequest(RouterCore& _core, RequestId _id, RouterActions& _actions)
{
	RequestState& request = _core.requests.at(_id.idx);
	++_core.stats.answered;
	recordSuccess(_core.retryBudget);
	if (request.started)
	{
		_actions.push_back(EndAnswer{_id, request.cost});
	}
	else
	{
		_actions.push_back(CompleteAnswer{_id, request.head, std::move(request.buffer), request.cost});
	}
	endRequest(_core, _id);
}

bool isConfident(const RouterCore& _core, const RequestState& _request, const AnswerEnd& _end)
{
	const auto cascade = _core.config.cascades.find(_request.caller.model);
	return cascade == _core.config.cascades.end() || _end.confidence >= cascade->second.confidence;
}

void openCallerSession(const RouterCore& _core, RequestState& _request, int64_t _wallMs)
{
	if (_request.caller.session.empty() || _request.caller.session == "new")
	{
		return;
	}
	const SessionToken token =
		verifySession(_request.caller.session, _core.init.sessionKeys, _request.account, _wallMs);
	const auto version = _core.config.versions.find(token.version);
	const bool sameGeneration =
		version != _core.config.versions.end() && version->second.generation == token.generation;
	if (!sameGeneration || !mayServe(_core.config, token.version, true))
	{
		throw Failure(ErrorCode::VersionWithdrawn, "the session's version has been withdrawn");
	}
	if (!allowsVersion(_core.config, _request.account, token.version))
	{
		throw Failure(ErrorCode::NotAllowed, "the account may not use the session's version");
	}
	_request.sessionVersion = token.version;
}

void resolveModel(const RouterCore& _core, RequestState& _request)
{
	const std::string& model = _request.caller.model;
	const auto cascade = _core.config.cascades.find(model);
	const bool isModel = _core.config.models.count(model) != 0;
	const bool isVersion = _core.config.versions.count(model) != 0;
	if (cascade == _core.config.cascades.end() && !isModel && !isVersion)
	{
		throw Failure(ErrorCode::UnknownModel, fmt::format("unknown model '{}'", model));
	}
	const bool allowed = allowsName(_core.config, _request.account, model) ||
						 (isVersion && allowsVersion(_core.config, _request.account, model));
	if (!allowed)
	{
		throw Failure(ErrorCode::NotAllowed, fmt::format("the account may not use '{}'", model));
	}
	_request.steps =
		cascade == _core.config.cascades.end() ? std::vector<std::string>{model} : cascade->second.steps;
}

void resolveService(const RouterCore& _core, const RequestState& _request)
{
	const std::string& service = _request.caller.service;
	if (_core.config.services.count(service) == 0)
	{
		throw Failure(ErrorCode::UnknownService, fmt::format("unknown service '{}'", service));
	}
	if (!allowsName(_core.config, _request.account, service))
	{
		throw Failure(ErrorCode::NotAllowed, fmt::format("the account may not use '{}'", service));
	}
}

SuspectSubjects subjectsOf(const RequestState& _request)
{
	const CallerRequest& caller = _request.caller;
	return makeSubjects({_request.account, caller.service, caller.method, caller.path, caller.body},
						caller.service, {caller.parts.begin(), caller.parts.end()});
}

/// Authenticates, authorises and resolves a request before anything is sent.
/// @throws Failure
void checkRequest(RouterCore& _core, RequestState& _request, TimeUs _now, int64_t _wallMs)
{
	_request.account = authenticate(_core.config, _request.caller.bearer);
	if (_now >= _request.caller.deadline)
	{
		throw Failure(ErrorCode::DeadlinePassed, "the deadline has passed");
	}
	if (!_request.caller.service.empty())
	{
		resolveService(_core, _request);
	}
	else
	{
		resolveModel(_core, _request);
		openCallerSession(_core, _request, _wallMs);
	}
	if (!_core.suspects.suspects.empty())
	{
		if (const std::optional<Refusal> refusal =
				refusalOf(_core.suspects, subjectsOf(_request), true, _now))
		{
			throw Failure(*refusal);
		}
	}
	if (isRunOnce(_core, _request) && _request.caller.key.empty())
	{
		_request.caller.key = _request.id; // Callers can't repeat it, but retries must not run it twice.
	}
}
} // namespace

RouterCore createRouterCore(const RouterInit& _init)
{
	RouterCore core;
	core.init = _init;
	core.random.state = _init.seed;
	return core;
}

std::string authenticate(const ConfigReplica& _config, const std::string& _bearer)
{
	const auto account = _config.accountByKeyHash.find(sha256Hex(_bearer));
	if (_bearer.empty() || account == _config.accountByKeyHash.end())
	{
		throw Failure(ErrorCode::BadKey, "the bearer key is missing or invalid");
	}
	return account->second;
}

std::vector<std::string> modelsFor(const ConfigReplica& _config, const std::string& _account)
{
	std::vector<std::string> names;
	const auto account = _config.accounts.find(_account);
	if (account == _config.accounts.end())
	{
		return names;
	}
	for (const std::string& name : account->second.allowed)
	{
		const bool known = _config.models.count(name) != 0 || _config.versions.count(name) != 0 ||
						   _config.cascades.count(name) != 0;
		if (known)
		{
			names.push_back(name);
		}
	}
	return names;
}

void onRequest(RouterCore& _core, RequestId _id, const CallerRequest& _request, TimeUs _now, int64_t _wallMs,
			   RouterActions& _actions)
{
	++_core.stats.requests;
	RequestState& request = _core.requests[_id.idx];
	request.caller = _request;
	request.id = fmt::format("{}-{}", _core.init.incarnation, _core.nextRequest++);
	request.blocks = prefixBlocks(_request.prompt);
	try
	{
		checkRequest(_core, request, _now, _wallMs);
	}
	catch (const Failure& failure)
	{
		failRequest(_core, _id, failure.refusal(), _actions);
		return;
	}
	dispatch(_core, _id, _now, _actions);
}

void callerDisconnected(RouterCore& _core, RequestId _id, RouterActions& _actions)
{
	const auto found = _core.requests.find(_id.idx);
	if (found == _core.requests.end())
	{
		return;
	}
	RequestState& request = found->second;
	if (request.attempt != UINT64_MAX)
	{
		if (!isRunOnce(_core, request))
		{
			_actions.push_back(SendCancel{request.upstream, request.attempt});
		}
		closeAttempt(_core, request, false);
	}
	endRequest(_core, _id);
}

UpstreamId linkUp(RouterCore& _core, const PeerInfo& _peer)
{
	for (uint32_t ii = 0; ii < _core.upstreams.size(); ++ii)
	{
		UpstreamState& upstream = _core.upstreams[ii];
		if (upstream.info.box != _peer.box)
		{
			continue;
		}
		const bool restarted = upstream.info.incarnation != _peer.incarnation;
		upstream.draining = upstream.draining && !restarted;
		upstream.info = _peer;
		upstream.linked = true;
		upstream.report = LoadReport{};
		upstream.sentSinceReport = 0;
		upstream.sentTokens = 0;
		return UpstreamId{ii};
	}
	UpstreamState upstream;
	upstream.info = _peer;
	upstream.linked = true;
	_core.upstreams.push_back(upstream);
	return UpstreamId{uint32_t(_core.upstreams.size() - 1)};
}

void linkDown(RouterCore& _core, UpstreamId _upstream, TimeUs _now, int64_t, RouterActions& _actions)
{
	_core.upstreams[_upstream.idx].linked = false;
	std::vector<uint64_t> unanswered;
	for (const auto& [id, request] : _core.requests)
	{
		if (request.attempt != UINT64_MAX && request.upstream == _upstream)
		{
			unanswered.push_back(id);
		}
	}
	std::sort(unanswered.begin(), unanswered.end());
	for (const uint64_t id : unanswered)
	{
		closeAttempt(_core, _core.requests.at(id), true);
		const Refusal refusal{ErrorCode::UpstreamLost, RunState::Unknown, kNoUpstreamRetryAfterMs,
							  "the connection to the upstream was lost"};
		retryOrFail(_core, RequestId{id}, refusal, false, _now, _actions);
	}
}

void markDraining(RouterCore& _core, const std::string& _box, const std::string& _incarnation)
{
	for (UpstreamState& upstream : _core.upstreams)
	{
		if (upstream.info.box == _box && (_incarnation.empty() || upstream.info.incarnation == _incarnation))
		{
			upstream.draining = true;
		}
	}
}

void onHeartbeat(RouterCore& _core, UpstreamId _from, const Heartbeat& _heartbeat)
{
	UpstreamState& upstream = _core.upstreams[_from.idx];
	upstream.revision = _heartbeat.revision;
	upstream.draining = upstream.draining || _heartbeat.leaving || _heartbeat.stopping;
}

void onReport(RouterCore& _core, UpstreamId _from, const LoadReport& _report, TimeUs _now)
{
	UpstreamState& upstream = _core.upstreams[_from.idx];
	upstream.report = _report;
	upstream.reportAt = _now;
	upstream.sentSinceReport = 0;
	upstream.sentTokens = 0;
}

void onTable(RouterCore& _core, const HomeTable& _table)
{
	HomeTable& held = _core.homeTables[_table.pool];
	if (_table.epoch > held.epoch)
	{
		held = _table;
	}
}

void onStart(RouterCore& _core, UpstreamId _from, const AnswerStart& _start, RouterActions&)
{
	RequestId id;
	RequestState* request = requestOf(_core, _from, _start.attempt, id);
	if (request != nullptr)
	{
		request->head.status = _start.status;
		request->head.contentType = _start.contentType;
	}
}

namespace
{
/// Gives up an answer of which something can't be delivered.
void giveUpAnswer(RouterCore& _core, RequestId _id, UpstreamId _from, const char* _detail,
				  RouterActions& _actions)
{
	RequestState& request = _core.requests.at(_id.idx);
	_actions.push_back(SendCancel{_from, request.attempt});
	closeAttempt(_core, request, true);
	failRequest(_core, _id, {ErrorCode::UpstreamFailed, RunState::Unknown, 0, _detail}, _actions);
}
} // namespace

void onPart(RouterCore& _core, UpstreamId _from, const AnswerPart& _part, int64_t _wallMs,
			RouterActions& _actions)
{
	RequestId id;
	RequestState* request = requestOf(_core, _from, _part.attempt, id);
	if (request == nullptr || _part.seq < request->parts)
	{
		return; // Duplicate of an earlier part.
	}
	if (_part.seq > request->parts)
	{
		giveUpAnswer(_core, id, _from, "a part of the answer is missing", _actions);
		return;
	}
	++request->parts;
	const bool streamed = request->caller.stream && isLastStep(*request) && request->head.status == 200 &&
						  !isRunOnce(_core, *request);
	if (!streamed)
	{
		if (!appendHeld(_core.buffers, request->heldBytes, request->buffer, _part.data))
		{
			giveUpAnswer(_core, id, _from, "the answer is too large", _actions);
		}
		return;
	}
	if (!request->started)
	{
		fillHead(_core, *request, _wallMs);
		request->started = true;
		_actions.push_back(StartAnswer{id, request->head});
	}
	_actions.push_back(ForwardPart{id, _part.data});
}

void onEnd(RouterCore& _core, UpstreamId _from, const AnswerEnd& _end, TimeUs _now, int64_t _wallMs,
		   RouterActions& _actions)
{
	RequestId id;
	RequestState* request = requestOf(_core, _from, _end.attempt, id);
	if (request == nullptr)
	{
		return;
	}
	closeAttempt(_core, *request, request->head.status >= 500);
	if (request->parts != _end.parts)
	{
		retryOrFail(_core, id, {ErrorCode::UpstreamFailed, RunState::Unknown, 0, "the answer is incomplete"},
					false, _now, _actions);
		return;
	}
	retainBill(_core.bills, _end.bill);
	request->billed = _end.bill.seq != 0;
	request->cost += _end.bill.cost;
	if (!isLastStep(*request) && !isConfident(_core, *request, _end))
	{
		++_core.stats.escalations;
		closeBill(_core, *request);
		++request->step;
		request->tried.clear();
		request->attempts = 0;
		dispatch(_core, id, _now, _actions);
		return;
	}
	if (!request->started)
	{
		fillHead(_core, *request, _wallMs);
		request->head.replayed = _end.replayed;
	}
	completeRequest(_core, id, _actions);
}

namespace
{
/// @returns Whether an error that speaks of the request is one that agents decide on, after the router's
/// checks.
bool isDecidedByAgents(ErrorCode _code)
{
	return _code == ErrorCode::NotAllowed || _code == ErrorCode::VersionWithdrawn ||
		   _code == ErrorCode::KeyReused || _code == ErrorCode::InDoubt;
}

/// @returns An agent's refusal as its caller may get it: an agent's own trouble is not the caller's fault.
Refusal refusalBy(const AnswerRefused& _refused)
{
	const RunState run = _refused.mayHaveRun ? RunState::Unknown : RunState::No;
	ErrorCode code = errorCode(_refused.code);
	if (concernsRequest(code) && !isDecidedByAgents(code))
	{
		code = _refused.mayHaveRun ? ErrorCode::UpstreamFailed : ErrorCode::NoUpstream;
	}
	return {code, run, _refused.retryAfterMs, _refused.detail};
}
} // namespace

void onRefused(RouterCore& _core, UpstreamId _from, const AnswerRefused& _refused, TimeUs _now, int64_t,
			   RouterActions& _actions)
{
	RequestId id;
	RequestState* request = requestOf(_core, _from, _refused.attempt, id);
	if (request == nullptr)
	{
		return;
	}
	const Refusal refusal = refusalBy(_refused);
	const ErrorCode code = refusal.code;
	closeAttempt(_core, *request, _refused.mayHaveRun);
	if (code == ErrorCode::ExposureSpent)
	{
		_core.upstreams[_from.idx].exposureSpentUntil[request->version] = _now + kExposureBackoffUs;
	}
	const bool free = code == ErrorCode::ExposureSpent || code == ErrorCode::VersionWithdrawn ||
					  code == ErrorCode::Stopping || code == ErrorCode::ConfigBehind ||
					  code == ErrorCode::HomeChanging;
	if (code == ErrorCode::Stopping)
	{
		_core.upstreams[_from.idx].draining = true;
	}
	const bool final = code == ErrorCode::KeyReused || code == ErrorCode::InDoubt ||
					   code == ErrorCode::NotAllowed || code == ErrorCode::EndsUpstreams;
	if (final)
	{
		request->mayHaveRun = request->mayHaveRun || _refused.mayHaveRun;
		failRequest(_core, id, refusal, _actions);
		return;
	}
	retryOrFail(_core, id, refusal, free, _now, _actions);
}

namespace
{
/// Ends the requests that are refused now.
void failRefused(RouterCore& _core, TimeUs _now, RouterActions& _actions)
{
	std::vector<std::pair<uint64_t, Refusal>> refused;
	for (const auto& [id, request] : _core.requests)
	{
		if (const std::optional<Refusal> refusal = refusalOf(_core.suspects, subjectsOf(request), true, _now))
		{
			refused.emplace_back(id, *refusal);
		}
	}
	std::sort(refused.begin(), refused.end(),
			  [](const auto& _left, const auto& _right) { return _left.first < _right.first; });
	for (const auto& [id, refusal] : refused)
	{
		abandonAttempt(_core, _core.requests.at(id), _actions);
		failRequest(_core, RequestId{id}, refusal, _actions);
	}
}
} // namespace

void onSuspects(RouterCore& _core, const Suspects& _update, TimeUs _now, RouterActions& _actions)
{
	if (!applySuspectUpdates(_core.suspects, _update.suspects, _now).empty())
	{
		failRefused(_core, _now, _actions);
	}
}

void tick(RouterCore& _core, TimeUs _now, RouterActions& _actions)
{
	if (!decidePendingParts(_core.suspects, _now).empty())
	{
		failRefused(_core, _now, _actions);
	}
	std::vector<uint64_t> late;
	for (const auto& [id, request] : _core.requests)
	{
		if (_now >= request.caller.deadline)
		{
			late.push_back(id);
		}
	}
	std::sort(late.begin(), late.end());
	for (const uint64_t id : late)
	{
		abandonAttempt(_core, _core.requests.at(id), _actions);
		failRequest(_core, RequestId{id},
					{ErrorCode::DeadlinePassed, RunState::No, 0, "the deadline has passed"}, _actions);
	}
	std::vector<uint64_t> parked;
	for (const auto& [id, request] : _core.requests)
	{
		if (request.homeRetryAt != 0 && _now >= request.homeRetryAt)
		{
			parked.push_back(id);
		}
	}
	std::sort(parked.begin(), parked.end());
	for (const uint64_t id : parked)
	{
		_core.requests.at(id).homeRetryAt = 0;
		dispatch(_core, RequestId{id}, _now, _actions);
	}
}
} // namespace spanplank
