/// Which upstream an attempt asks: the model, the versions allowed and the prompt of the request decide.
#include <algorithm>
#include <set>

#include "await_room_p.h"
#include "load_control_p.h"
#include "serving_p.h"
#include "spanplank/completion_choice.h"
#include "spanplank/service_load.h"
#include "suspects_p.h"

namespace spanplank
{
uint64_t sessionHash(const Serving& _serving)
{
	return stableHash(_serving.call.session.empty() ? _serving.call.requestId : _serving.call.session);
}

std::string modelOf(const Serving& _serving)
{
	return _serving.plan.models.empty() ? _serving.call.model : _serving.plan.models[_serving.plan.model];
}

namespace
{
/// @returns The load of the request's service. @param[in] _hall Only in this hall; empty: in all.
ServiceLoad loadOf(const Serving& _serving, std::string_view _hall)
{
	const ServiceInfo* info = serviceInfo(_serving.router, _serving.service);
	const UpstreamCapacity capacity =
		info == nullptr ? UpstreamCapacity{} : UpstreamCapacity{info->slots, info->kvTokens};
	return serviceLoad(_serving.router.upstreams, _serving.service, _hall, capacity, monotonicNow());
}

/// Adds what the control of load needs.
void addLoadControls(const Serving& _serving, UpstreamQuery& _query)
{
	const LoadControls controls = loadControls(_serving.router, _serving.service);
	const ServiceInfo* info = serviceInfo(_serving.router, _serving.service);
	_query.bySpeed = controls.engineSpeeds;
	_query.slots = info == nullptr ? 0 : info->slots;
	if (controls.serviceLoad)
	{
		_query.hallLoad = loadShareOf(loadOf(_serving, _query.hall), double(_serving.plan.targetMs));
	}
}

/// @returns How much the next model's answer would delay others, for the confidence limit.
double pressureOf(const Serving& _serving)
{
	DirectRouter& router = _serving.router;
	const double recent = router.pressure[_serving.service].share;
	return loadControls(router, _serving.service).serviceLoad
			   ? boundedPressure(recent, loadOf(_serving, ""), double(_serving.plan.targetMs))
			   : recent;
}
} // namespace

UpstreamQuery queryOf(const Serving& _serving, const std::string& _model)
{
	UpstreamQuery query;
	query.service = _serving.service;
	query.hall = _serving.router.settings.hall;
	query.model = _model;
	addCompletion(_serving, query);
	query.repeatable = _serving.plan.repeatable;
	query.tried = &_serving.plan.tried;
	query.limit = _serving.limit;
	query.firstTokenTargetMs = firstTokenBudgetMs(_serving.plan, monotonicNow());
	addLoadControls(_serving, query);
	const std::vector<platform::PromptPart>& parts = _serving.call.parts;
	if (parts.empty())
	{
		return query;
	}
	uint64_t hash = stableHash(_model);
	uint32_t shared = 0;
	for (size_t ii = 0; ii + 1 < parts.size(); ++ii) // The last part is the request's own.
	{
		hash = stableHash(parts[ii].id, hash);
		query.shared.push_back({hash, parts[ii].tokens});
		shared += parts[ii].tokens;
	}
	query.ownTokens = std::max(_serving.call.promptTokens, shared + parts.back().tokens) - shared;
	return query;
}

namespace
{
/// A bad version fails half of its requests: a stream that it has failed, or that has one attempt left, would
/// be cut by a second failure there with all its attempts used up.
VersionScope trialUse(const Serving& _serving)
{
	const RequestPlan& plan = _serving.plan;
	const bool lastOfStream = plan.started && plan.runs + 1 >= plan.maxAttempts;
	return _serving.failedOnTrial || lastOfStream ? VersionScope::BaselineOnly : VersionScope::Any;
}
} // namespace

VersionChoice versionsFor(const Serving& _serving, TimeUs _now)
{
	const TrialRequest subject{sessionHash(_serving), !_serving.call.session.empty(), trialUse(_serving)};
	return chooseVersion(_serving.router.trials, _serving.service, subject, _now);
}

UpstreamQuery withVersions(UpstreamQuery _query, const VersionChoice& _versions)
{
	_query.version = _versions.only;
	_query.notVersion = _versions.excluded;
	_query.haltedVersions = &_versions.halted;
	return _query;
}

namespace
{
/// Picks an upstream that is not left out; without one, any.
/// @param[in] _out Upstreams to leave out besides those that the request has tried.
UpstreamId pickOutside(Serving& _serving, const UpstreamQuery& _query, std::set<uint32_t> _out, TimeUs _now)
{
	DirectRouter& router = _serving.router;
	if (_out.empty())
	{
		return pickDirectUpstream(router.upstreams, _query, _now, router.random);
	}
	if (_query.tried != nullptr)
	{
		_out.insert(_query.tried->begin(), _query.tried->end());
	}
	UpstreamQuery others = _query;
	others.tried = &_out;
	const UpstreamId picked = pickDirectUpstream(router.upstreams, others, _now, router.random);
	return isValid(picked) ? picked : pickDirectUpstream(router.upstreams, _query, _now, router.random);
}

/// Picks an upstream with room; without one, any. Drawn upstreams give way to others if the answer can't end
/// there.
UpstreamId pickWithRoom(Serving& _serving, const UpstreamQuery& _query, TimeUs _now)
{
	if (!loadControls(_serving.router, _serving.service).waitingRoom)
	{
		return pickOutside(_serving, _query, {}, _now);
	}
	const UpstreamTable& table = _serving.router.upstreams;
	const ServiceRoom places = placesFor(_serving, _query, _now);
	if (_serving.drawsUpstream)
	{
		const UpstreamId drawn =
			pickOutside(_serving, _query, upstreamsLeftOut(places, true, _serving.router.random), _now);
		if (isValid(drawn) && !cannotEnd(completionAt(table, _query, drawn, _now), _query.leftMs))
		{
			return drawn;
		}
	}
	return pickOutside(_serving, _query, upstreamsLeftOut(places, false, _serving.router.random), _now);
}
} // namespace

UpstreamId pickUpstreamFor(Serving& _serving, UpstreamQuery _query, TimeUs _now)
{
	DirectRouter& router = _serving.router;
	const VersionChoice versions = versionsFor(_serving, _now);
	_query = withVersions(_query, versions);
	const std::set<uint32_t> apart =
		_serving.suspected ? upstreamsOfSuspects(_serving) : std::set<uint32_t>();
	if (!apart.empty())
	{
		// Of the suspects of one crash the one that ends upstreams shows when they run apart.
		UpstreamQuery alone = _query;
		alone.tried = &apart;
		const UpstreamId free = pickDirectUpstream(router.upstreams, alone, _now, router.random);
		if (isValid(free))
		{
			return free;
		}
	}
	const UpstreamId picked = pickWithRoom(_serving, _query, _now);
	if (isValid(picked))
	{
		return picked;
	}
	const VersionChoice any = chooseFallbackVersion(router.trials, _serving.service, _now);
	return pickDirectUpstream(router.upstreams, withVersions(_query, any), _now, router.random);
}

NextModelEstimate expectNextModel(Serving& _serving)
{
	if (_serving.plan.models.empty())
	{
		return {};
	}
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	const UpstreamQuery query = queryOf(_serving, _serving.plan.models[nextModel(_serving.plan)]);
	const UpstreamId upstream = pickUpstreamFor(_serving, query, now);
	NextModelEstimate next{expectedFirstTokenMs(router.upstreams, query, upstream, now),
						   expectedWaitMs(router.upstreams, query, upstream, now), pressureOf(_serving),
						   isValid(upstream)};
	addExpectedEnd(_serving, query, upstream, next);
	return next;
}
} // namespace spanplank
