/// The metrics page of a direct router.
#include <algorithm>
#include <sys/resource.h>

#include "await_room_p.h"
#include "completion_time_p.h"
#include "direct_router_p.h"
#include "load_control_p.h"
#include "log_p.h"
#include "metrics_p.h"
#include "spanplank/service_load.h"
#include "spanplank/store_position.h"

namespace spanplank
{
void noteRatio(RatioHistogram& _histogram, double _ratio)
{
	size_t bucket = 0;
	while (bucket < kRatioBucketCount && _ratio > kRatioBuckets[bucket])
	{
		++bucket;
	}
	++_histogram.buckets[bucket];
	_histogram.sum += _ratio;
}

namespace
{
StoreStats sumOf(const StoreStats& _one, const StoreStats& _other)
{
	return {_one.reads + _other.reads, _one.writes + _other.writes, _one.watches + _other.watches,
			_one.failures + _other.failures};
}

/// What upstreams say about themselves in their answers.
void addNoticeMetrics(MetricsPage& _page, const DirectRouter& _router)
{
	const TimeUs now = monotonicNow();
	const DirectStats& stats = _router.stats;
	const auto& entries = _router.upstreams.entries;
	const auto limited = std::count_if(entries.begin(), entries.end(), [](const auto& _item) {
		return _item.second.limit.perSecond.has_value();
	});
	addGauge(_page, "upstreams_limited", "Upstreams that state a limit of requests per second.",
			 double(limited));
	const auto leaving = std::count_if(entries.begin(), entries.end(),
									   [](const auto& _item) { return _item.second.saysLeaving; });
	addGauge(_page, "upstreams_leaving_by_answer", "Upstreams whose answers say that they shut down.",
			 double(leaving));
	const auto resting = std::count_if(entries.begin(), entries.end(), [now](const auto& _item) {
		return isResting(_item.second.rest, now);
	});
	addGauge(_page, "upstreams_resting", "Upstreams that asked this router for rest.", double(resting));
	addCounter(_page, "upstream_rests_asked_total",
			   "Rejections in which upstreams asked this router for rest.", double(stats.restsAsked));
	addCounters(_page, "upstream_limit_changes_total", "Changes of the limits that upstreams state, by kind.",
				"change", stats.limitChanges);
	addCounters(_page, "answer_fields_ignored_total",
				"Fields of upstreams' answers that were ignored as their values are invalid, by name.",
				"field", stats.answerFieldsIgnored);
}

void addRetryMetrics(MetricsPage& _page, const DirectRouter& _router)
{
	const RetryLending& lending = _router.lending;
	uint64_t lapsed = lending.relayedLapsed;
	uint64_t refused = 0;
	for (const auto& [service, window] : _router.retries)
	{
		lapsed += window.lapsed;
		refused += window.refused;
	}
	addCounters(_page, "retry_loans_total",
				"Retries lent to other routers, borrowed, relayed between others, or lapsed unused.", "kind",
				{{"lent", lending.lent},
				 {"borrowed", lending.borrowed},
				 {"relayed", lending.relayed},
				 {"lapsed", lapsed}});
	addCounter(_page, "retry_loan_rows_rejected_total", "Rows on loans of retries with figures out of range.",
			   double(lending.rejectedRows));
	addCounter(_page, "retries_refused_total", "Retries refused for want of room in the retry window.",
			   double(refused));
}

/// Speeds of engines and loads of services.
void addLoadMetrics(MetricsPage& _page, const DirectRouter& _router)
{
	const RatioHistogram& ratios = _router.stats.firstToken;
	addHistogram(_page, "first_token_ratio",
				 "Observed over expected time to first token, by measured speeds.",
				 absl::MakeConstSpan(kRatioBuckets), absl::MakeConstSpan(ratios.buckets), ratios.sum);
	addGauge(_page, "upstreams_slow",
			 "Upstreams at which times are more than three times as long as expected.",
			 double(countSlow(_router.upstreams.speeds)));
	addCounter(_page, "speed_rows_rejected_total",
			   "Rows of other routers on speeds that were ignored as they are out of range.",
			   double(_router.upstreams.speeds.rejectedRows));
	addCounter(_page, "load_rows_rejected_total",
			   "Rows of other routers on loads that were ignored as they are out of range.",
			   double(_router.peers.loads.rejectedRows + _router.accounts.loads.rejectedRows));
	std::map<std::string, double> loads;
	for (const auto& [name, info] : _router.config.config->services)
	{
		if (loadControls(_router, name).serviceLoad)
		{
			const ServiceLoad load =
				serviceLoad(_router.upstreams, name, "", {info.slots, info.kvTokens}, monotonicNow());
			loads[name] = std::max(load.slots, load.tokens);
		}
	}
	addGauges(_page, "service_load",
			  "Running requests and held tokens as a share of the upstreams' capacity.", "service", loads);
}

/// Requests that wait for room at the upstreams of a service.
void addRoomMetrics(MetricsPage& _page, const DirectRouter& _router)
{
	const DirectStats& stats = _router.stats;
	addGauges(_page, "room_waiting", "Requests that wait for room, by service.", "service",
			  waitingByService(_router));
	addCounters(_page, "room_waited_total", "Requests that waited for room, by service.", "service",
				stats.waited);
	addCounters(_page, "room_refused_total", "Requests refused for lack of room, by service.", "service",
				stats.refusedForRoom);
	addHistogram(_page, "room_wait_ms", "How long requests waited for room, admitted or not.",
				 absl::MakeConstSpan(kLatencyBuckets), absl::MakeConstSpan(stats.roomWait.buckets),
				 stats.roomWait.sumMs);
}
} // namespace

std::string directMetrics(DirectRouter& _router)
{
	MetricsPage page;
	const DirectStats& stats = _router.stats;
	addCounters(page, "answers_total", "Final answers to callers, by what they were.", "kind", stats.answers);
	addRoomMetrics(page, _router);
	addCounters(page, "attempts_total", "Attempts at upstreams, by how they ended.", "end", stats.attempts);
	addHistogram(page, "first_byte_ms", "From a request's arrival to the first byte of its answer.",
				 absl::MakeConstSpan(kLatencyBuckets), absl::MakeConstSpan(stats.firstByte.buckets),
				 stats.firstByte.sumMs);
	addHistogram(page, "whole_ms", "From a request's arrival to the end of its answer.",
				 absl::MakeConstSpan(kLatencyBuckets), absl::MakeConstSpan(stats.whole.buckets),
				 stats.whole.sumMs);
	addGauge(page, "answer_buffer_bytes", "Bytes of answers that are held back until more of them has come.",
			 double(_router.buffers.heldBytes));
	addCounter(page, "answers_too_large_total", "Answers given up as they would have held too much memory.",
			   double(stats.answersTooLarge));
	addCounter(page, "streams_resumed_total", "Streams that went on at another upstream.",
			   double(stats.resumed));
	addCounter(page, "upstreams_ended_total", "Upstreams that ended while they were at work for this router.",
			   double(stats.upstreamsEnded));
	addCounter(page, "suspects_refused_total", "Requests that came to be refused as they end upstreams.",
			   double(stats.suspectsRefused));
	addCounter(page, "parts_refused_total", "Prompt parts that came to be refused as they end upstreams.",
			   double(stats.partsRefused));
	addCounter(page, "suspects_cleared_total", "Suspects that got a whole answer, or were cleared by hand.",
			   double(stats.suspectsCleared));
	addGauge(page, "suspects", "Requests under which upstreams ended lately.",
			 double(_router.suspects.suspects.size()));
	addGauge(page, "suspects_refused", "Those of them that are refused.",
			 double(countRefusedSuspects(_router.suspects)));
	addCounter(page, "escalations_total", "Answers dropped for the next model's.", double(stats.escalated));
	addCompletionMetrics(page, stats.completion);
	addCounters(page, "usage_reports_total", "Reports of usage to the platform, by their answers.", "answer",
				stats.usageReports);
	addGauge(page, "usage_duty_token", "Token under which this router reports usage; 0: another one does.",
			 double(_router.usageDuty.token));
	addCounter(page, "configs_total", "Configurations taken.", double(stats.configs));
	addCounters(page, "records_rejected_total", "Records of the store that can't be used, by what is wrong.",
				"fault", stats.recordsRejected);
	addCounters(page, "restarted_calls_total",
				"Calls that were at an upstream when its restart became known, by what became of them.",
				"verdict", stats.restartedCalls);
	addCounter(page, "store_items_skipped_total", "Items of the store without a key that can be read.",
			   double(stats.itemsSkipped));
	addCounter(page, "store_returns_total", "Times that the store came back from an older copy.",
			   double(stats.storeReturns));
	addGauge(page, "store_era", "Era of the store that this router knows.",
			 double(eraOf(_router.view.revision)));
	addCounter(page, "attempt_failures_total", "Attempts that ended by an exception.",
			   double(stats.attemptFailures));
	addCounter(page, "handler_failures_total", "Requests whose handler failed without an answer.",
			   double(_router.callers.handlerFailures));
	addCounter(page, "keys_unproved_total", "Keys trusted by a configuration that was not proved fresh.",
			   double(stats.keysUnproved));
	addGauge(page, "config_version", "Configuration in force.", double(_router.config.config->version));
	addGauge(page, "config_age_ms", "Since the store last proved the configuration.",
			 double(monotonicNow() - _router.config.confirmedAt) / double(kMsToUs));
	addGauge(page, "in_flight", "Requests in flight.", double(_router.inFlight.size()));
	const LatencyHistogram& waits = loopPromptness().waits;
	addHistogram(page, "loop_wait_ms", "How long what the event loop finds at a look may have waited.",
				 absl::MakeConstSpan(kLatencyBuckets), absl::MakeConstSpan(waits.buckets), waits.sumMs);
	addHistogram(page, "unread_ms",
				 "From the earliest time at which a request may have been sent until it was served.",
				 absl::MakeConstSpan(kLatencyBuckets), absl::MakeConstSpan(stats.unread.buckets),
				 stats.unread.sumMs);
	addGauge(page, "loop_turn_ms", "Mean turn of the event loop over half a second.",
			 loopPromptness().overload.turnMs);
	addCounter(page, "overloads_total", "Times that the balancer was told of an overload.",
			   double(stats.overloads));
	addGauge(page, "requests_begun", "Requests from their first byte until their answer is written.",
			 double(_router.callers.busy));
	addGauge(page, "caller_connections", "Connections of callers.", double(_router.callers.connections));
	addCounters(page, "caller_connections_ended_total",
				"Connections of callers that ended without a whole answer to what was read, by reason.",
				"reason", _router.callers.ended);
	addCounter(page, "upstream_connections_total", "Connections made to upstreams.",
			   double(_router.pool.opened));
	addGauge(page, "upstreams", "Upstreams known.", double(_router.upstreams.entries.size()));
	const auto& halls = _router.upstreams.halls.halls;
	const auto evacuated =
		std::count_if(halls.begin(), halls.end(), [](const auto& _hall) { return _hall.second.evacuated; });
	addGauge(page, "halls_evacuated", "Halls whose upstreams get nothing by an operator's order.",
			 double(evacuated));
	const TimeUs now = monotonicNow();
	const auto& entries = _router.upstreams.entries;
	const auto cold = std::count_if(entries.begin(), entries.end(),
									[now](const auto& _item) { return isCold(_item.second.cold, now); });
	addGauge(page, "upstreams_cold", "Upstreams taken for cold.", double(cold));
	addNoticeMetrics(page, _router);
	addRetryMetrics(page, _router);
	addLoadMetrics(page, _router);
	addGauge(page, "peers", "Other routers registered.", double(_router.peers.tree.peers.size()));
	addGauge(page, "followers", "Routers that follow this one.", double(followers(_router)));
	addGauge(page, "following", "Whether another router keeps this one informed: 1 or 0.",
			 isFollowing(_router, monotonicNow()) ? 1.0 : 0.0);
	addCounter(page, "log_lines_dropped_total", "Log lines dropped because nobody read them.",
			   double(droppedLogLines()));
	addProcessMetrics(page, _router.peers.hub != nullptr ? _router.peers.hub->stats() : LinkStats{},
					  sumOf(_router.store.stats, _router.followCalls));
	return serialize(page);
}
} // namespace spanplank
