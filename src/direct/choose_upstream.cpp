/// Which upstream an attempt asks: the model, the versions allowed and the prompt of the request decide.
#include <algorithm>
#include <set>

#include "serving_p.h"
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

UpstreamId pickUpstreamFor(Serving& _serving, UpstreamQuery _query, TimeUs _now)
{
	DirectRouter& router = _serving.router;
	const TrialRequest subject{sessionHash(_serving), !_serving.call.session.empty(), trialUse(_serving)};
	const VersionChoice version = chooseVersion(router.trials, _serving.service, subject, _now);
	_query.version = version.only;
	_query.notVersion = version.excluded;
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
	const UpstreamId picked = pickDirectUpstream(router.upstreams, _query, _now, router.random);
	if (isValid(picked))
	{
		return picked;
	}
	const VersionChoice any = chooseFallbackVersion(router.trials, _serving.service, _now);
	_query.version = any.only;
	_query.notVersion = any.excluded;
	return pickDirectUpstream(router.upstreams, _query, _now, router.random);
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
						   expectedWaitMs(router.upstreams, upstream),
						   router.pressure[_serving.service].share, isValid(upstream)};
	addExpectedEnd(_serving, query, upstream, next);
	return next;
}
} // namespace spanplank
