/// Completion of answers in time: expected lengths, the refusal of requests that no upstream can finish, and
/// the tokens that attempts hold.
#include "completion_time_p.h"

#include <algorithm>
#include <fmt/format.h>
#include <vector>

#include "fiber_runtime_p.h"
#include "load_control_p.h"
#include "log_p.h"
#include "spanplank/completion_choice.h"

namespace spanplank
{
namespace
{
/// Between two log lines on invalid estimates: a caller that sends them does so with each request.
constexpr TimeUs kLengthLogPause = 100 * kMsToUs;

/// @returns Tokens of the answer that the caller has already received.
double tokensReceived(const Serving& _serving, const ServiceInfo& _service)
{
	if (!_serving.plan.stream || _serving.lastEventId < 0)
	{
		return 0.0;
	}
	return (double(_serving.lastEventId) + 1.0) * double(_service.tokensPerEvent);
}

/// @returns Tokens of the prompt as the caller states them, in total or by its parts.
double promptTokens(const Serving& _serving)
{
	double parts = 0.0;
	for (const platform::PromptPart& part : _serving.call.parts)
	{
		parts += part.tokens;
	}
	return std::max(double(_serving.call.promptTokens), parts);
}

/// @returns Expected length of the complete answer in tokens; 0 if unknown.
double answerTokens(const Serving& _serving, const ServiceInfo& _service)
{
	const LengthClaim claim{_serving.call.lengthEstimate, _serving.call.maxTokens};
	// 0 means no bound: a prompt that fills the memory leaves room for one token.
	const double room = std::max(1.0, double(_service.kvTokens) - promptTokens(_serving));
	return expectedAnswerTokens(_serving.router.answerLengths, _serving.route->name, claim,
								_service.kvTokens == 0 ? 0 : uint32_t(room));
}

void logTooLate(const Serving& _serving, const LateEnd& _end, const std::string& _model)
{
	const auto& entries = _serving.router.upstreams.entries;
	const CompletionEstimate& estimate = _end.estimate;
	logEvent("no_time", {{"request", _serving.call.requestId},
						 {"route", _serving.route->name},
						 {"upstream", entries.at(_end.upstream.idx).record.id},
						 {"model", _model},
						 {"answer_tokens", fmt::format("{:.0f}", estimate.tokens)},
						 {"from_caller", _serving.call.lengthEstimate ? "1" : "0"},
						 {"first_token_ms", fmt::format("{:.0f}", estimate.firstTokenMs)},
						 {"token_ms", fmt::format("{:.2f}", estimate.tokenMs)},
						 {"left_ms", fmt::format("{:.0f}", _end.leftMs)},
						 {"free_in_ms", fmt::format("{:.0f}", _end.freeInMs)}});
}
} // namespace

uint32_t heldTokens(const Serving& _serving)
{
	const ServiceInfo* service = serviceInfo(_serving.router, _serving.service);
	if (service == nullptr || service->kvTokens == 0)
	{
		return 0; // Not an engine.
	}
	const double answer = std::max(answerTokens(_serving, *service), tokensReceived(_serving, *service));
	return uint32_t(std::min(promptTokens(_serving) + answer, double(service->kvTokens)));
}

void countInvalidLength(const Serving& _serving)
{
	const bool invalid = _serving.call.invalidLength || _serving.call.lengthEstimate == 0u;
	DirectRouter& router = _serving.router;
	if (!invalid)
	{
		return;
	}
	++router.stats.completion.lengthsIgnored;
	const TimeUs now = monotonicNow();
	if (router.lengthLoggedAt == 0 || now - router.lengthLoggedAt >= kLengthLogPause)
	{
		router.lengthLoggedAt = now;
		logEvent("length_estimate_ignored",
				 {{"request", _serving.call.requestId},
				  {"account", _serving.account != nullptr ? _serving.account->name : ""},
				  {"route", _serving.route->name}});
	}
}

void addCompletion(const Serving& _serving, UpstreamQuery& _query)
{
	const ServiceInfo* service = serviceInfo(_serving.router, _serving.service);
	if (service == nullptr || !loadControls(_serving.router, _serving.service).completionTime)
	{
		return;
	}
	_query.leftMs = std::max(1.0, double(_serving.plan.deadline - monotonicNow()) / double(kMsToUs));
	// An answer that is already longer than expected ends at an unknown time.
	_query.answerTokens =
		std::max(0.0, answerTokens(_serving, *service) - tokensReceived(_serving, *service));
}

double expectedEndMs(const Serving& _serving, const UpstreamQuery& _query, UpstreamId _upstream)
{
	const CompletionEstimate end = completionAt(_serving.router.upstreams, _query, _upstream, monotonicNow());
	return end.tokens > 0.0 && end.tokenMs > 0.0 ? lastTokenMs(end) : 0.0;
}

void addExpectedEnd(const Serving& _serving, const UpstreamQuery& _query, UpstreamId _upstream,
					NextModelEstimate& _next)
{
	const CompletionEstimate end = completionAt(_serving.router.upstreams, _query, _upstream, monotonicNow());
	_next.endsInTime = endsInTime(end, _query.leftMs);
	_next.lastTokenMs = expectedEndMs(_serving, _query, _upstream);
}

bool isTooLate(Serving& _serving, UpstreamId _picked, const UpstreamQuery& _query)
{
	const UpstreamTable& table = _serving.router.upstreams;
	const TimeUs now = monotonicNow();
	// A stream that the caller resumes has run elsewhere.
	const bool begun = _serving.plan.mayHaveRun || _serving.plan.started || _serving.lastEventId >= 0;
	if (begun || !cannotEnd(completionAt(table, _query, _picked, now), _query.leftMs))
	{
		return false;
	}
	const std::vector<std::string>& models = _serving.plan.models;
	std::vector<UpstreamQuery> queries{_query};
	for (size_t ii = _serving.plan.model + 1; ii < models.size(); ++ii)
	{
		queries.push_back(queryOf(_serving, models[ii]));
	}
	const std::optional<LateEnd> end = lateEverywhere(table, queries, now);
	if (!end)
	{
		return false;
	}
	logTooLate(_serving, *end, std::string(queries[end->query].model));
	_serving.noUpstream = NoUpstream::NoTime;
	_serving.acceptsAt = end->freeInMs > 0.0 ? now + TimeUs(end->freeInMs * double(kMsToUs)) : 0;
	return true;
}

void recordStreamEnd(Serving& _serving, const AttemptNotes& _notes, TimeUs _now)
{
	const ServiceInfo* service = serviceInfo(_serving.router, _serving.service);
	if (service == nullptr || !_serving.plan.stream || _notes.lastEventId < 0)
	{
		return;
	}
	const double tokens = (double(_notes.lastEventId) + 1.0) * double(service->tokensPerEvent);
	if (tokens <= double(service->kvTokens)) // Event ids that count no events give longer answers.
	{
		recordAnswerLength(_serving.router.answerLengths, _serving.route->name, tokens);
	}
	if (_notes.expectedEndMs > 0.0)
	{
		noteRatio(_serving.router.stats.completion.streamEnd,
				  double(_now - _notes.begin) / double(kMsToUs) / _notes.expectedEndMs);
	}
}

TokenHold::TokenHold(const Serving& _serving, UpstreamId _upstream)
	: m_table(_serving.router.upstreams), m_upstream(_upstream), m_tokens(heldTokens(_serving))
{
	holdTokens(m_table, m_upstream, m_tokens);
}

TokenHold::~TokenHold()
{
	releaseTokens(m_table, m_upstream, m_tokens);
}

void addCompletionMetrics(MetricsPage& _page, const CompletionStats& _stats)
{
	addCounter(_page, "no_time_refusals_total",
			   "Requests refused as no upstream can finish the answer before the deadline.",
			   double(_stats.noTime));
	addCounter(_page, "second_runs_without_time_total",
			   "Answers of low confidence that were kept as the next model's would end after the deadline.",
			   double(_stats.secondRunsWithoutTime));
	addCounter(_page, "length_estimates_ignored_total",
			   "Callers' estimates of answer lengths that were ignored as they are invalid.",
			   double(_stats.lengthsIgnored));
	addHistogram(_page, "stream_end_ratio", "Observed over expected time to the end of a complete stream.",
				 absl::MakeConstSpan(kRatioBuckets), absl::MakeConstSpan(_stats.streamEnd.buckets),
				 _stats.streamEnd.sum);
}
} // namespace spanplank
