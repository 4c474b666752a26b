#include "suspects_p.h"

#include <absl/strings/escaping.h>
#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

#include "attempt_p.h"
#include "fiber_runtime_p.h"
#include "log_p.h"
#include "spanplank/http_status.h"

namespace spanplank
{
namespace
{
constexpr const char* kCode = "ends_upstreams";

std::string labelOf(const Serving& _serving)
{
	const HttpRequest& request = _serving.exchange.request();
	return fmt::format("{} {} {}", _serving.account != nullptr ? _serving.account->name : "-",
					   std::string_view(request.method_string()), std::string_view(request.target()));
}

uint32_t upstreamsInUse(const DirectRouter& _router, const std::string& _service)
{
	const auto& entries = _router.upstreams.entries;
	return uint32_t(std::count_if(entries.begin(), entries.end(), [&](const auto& _item) {
		return _item.second.registered && _item.second.record.service == _service;
	}));
}

std::string_view view(boost::beast::string_view _text)
{
	return {_text.data(), _text.size()};
}

SuspectSubjects makeSubjects(const Serving& _serving)
{
	const HttpRequest& request = _serving.exchange.request();
	const RequestParts content{_serving.account != nullptr ? std::string_view(_serving.account->name)
														   : std::string_view(),
							   view(request[boost::beast::http::field::host]), view(request.method_string()),
							   view(request.target()), request.body()};
	const std::vector<platform::PromptPart>& parts = _serving.call.parts;
	std::vector<std::string_view> shared;
	for (size_t ii = 0; ii + 1 < parts.size(); ++ii) // The last part is the request's own.
	{
		shared.emplace_back(parts[ii].id);
	}
	return makeSubjects(content, _serving.service, shared);
}

/// @returns At how many other upstreams this router has the same request.
uint32_t copiesElsewhere(Serving& _serving, uint32_t _upstream)
{
	std::set<uint32_t> upstreams;
	for (const auto& [number, other] : _serving.router.inFlight)
	{
		const bool same = other->service == _serving.service && !other->live.empty() &&
						  subjectsOf(*other).request == subjectsOf(_serving).request;
		for (const LiveAttempt* attempt : same ? other->live : std::vector<LiveAttempt*>())
		{
			upstreams.insert(attempt->notes.upstream.idx);
		}
	}
	upstreams.erase(_upstream);
	return uint32_t(upstreams.size());
}

std::string describeSeen(const CrashSuspect& _suspect, TimeUs _now)
{
	std::string text;
	for (const ObservedCrash& crash : _suspect.crashes)
	{
		text += fmt::format("{}{:08x} {} ms ago after {} ms", text.empty() ? "" : ", ", crash.upstream,
							(_now - crash.at) / kMsToUs, crash.runningFor / kMsToUs);
	}
	return text;
}

/// Ends the requests under way here that are refused from now on.
void stopRefused(DirectRouter& _router, TimeUs _now)
{
	for (const auto& [number, serving] : _router.inFlight)
	{
		if (serving->probe || serving->endsUpstreams)
		{
			continue;
		}
		if (matchSuspects(_router.suspects, subjectsOf(*serving), _now).state == SuspectState::Refused)
		{
			serving->endsUpstreams = true;
			cancelAttempts(*serving);
		}
	}
}

void noteRefused(DirectRouter& _router, const std::vector<RequestDigest>& _digests, const char* _why)
{
	const TimeUs now = monotonicNow();
	for (const RequestDigest& digest : _digests)
	{
		const CrashSuspect& suspect = _router.suspects.suspects.at(digest);
		const bool part = suspect.kind == SuspectKind::PromptPart;
		++_router.stats.suspectsRefused;
		_router.stats.partsRefused += part ? 1 : 0;
		logEvent("suspect_refused",
				 {{"digest", digestToHex(digest)},
				  {"kind", part ? "prompt_part" : "request"},
				  {"label", suspect.label},
				  {"why", _why},
				  {"chance", fmt::format("{:.2g}", chanceOf(_router.suspects, digest, suspect))},
				  {"upstreams", describeSeen(suspect, now)},
				  {"for_s", std::to_string(refusedFor(suspect, now) / kMsToUs / 1000)}});
	}
	if (!_digests.empty())
	{
		stopRefused(_router, now);
	}
}

bool isOpen(const DirectRouter& _router, const RequestDigest& _digest)
{
	const auto found = _router.suspects.suspects.find(_digest);
	return found != _router.suspects.suspects.end() && !found->second.crashes.empty();
}

void clear(DirectRouter& _router, const RequestDigest& _digest, const char* _why)
{
	if (clearSuspect(_router.suspects, _digest, monotonicNow()))
	{
		++_router.stats.suspectsCleared;
		logEvent("suspect_cleared", {{"digest", digestToHex(_digest)}, {"why", _why}});
	}
}
} // namespace

std::string sharedPartsText(const SuspectSubjects& _subjects)
{
	std::string text;
	for (const PartSubject& part : _subjects.parts)
	{
		text += (text.empty() ? "" : ",") + part.id;
	}
	return text;
}

const SuspectSubjects& subjectsOf(Serving& _serving)
{
	if (!_serving.subjects)
	{
		_serving.subjects = makeSubjects(_serving);
	}
	return *_serving.subjects;
}

namespace
{
UpstreamKey upstreamKey(const AttemptNotes& _notes)
{
	return keyOf(_notes.record.id, _notes.record.startedAtMs);
}

TimeUs writingFor(const AttemptNotes& _notes, TimeUs _now)
{
	return _notes.headAfter == 0 ? 0 : std::max<TimeUs>(1, _now - _notes.begin - _notes.headAfter);
}
} // namespace

void suspect(Serving& _serving, const AttemptNotes& _notes)
{
	DirectRouter& router = _serving.router;
	const TimeUs now = monotonicNow();
	ObservedCrash crash{upstreamKey(_notes), now, now - _notes.begin,
						upstreamsInUse(router, _serving.service),
						copiesElsewhere(_serving, _notes.upstream.idx)};
	crash.writingFor = writingFor(_notes, now);
	const SuspectSubjects& subjects = subjectsOf(_serving);
	_serving.suspected = true;
	noteRefused(router, recordInterrupted(router.suspects, subjects, labelOf(_serving), crash, now), "seen");
	const bool refused = matchSuspects(router.suspects, subjects, now).state == SuspectState::Refused;
	const bool again = isAtBegin(crash) && isLikelyToCrash(router.suspects, subjects);
	_serving.endsUpstreams = _serving.endsUpstreams || refused || again;
}

void suspectLater(Serving& _serving, const AttemptNotes& _notes)
{
	constexpr size_t kMostBreaks = 100; // Of one upstream.
	const TimeUs now = monotonicNow();
	std::vector<RecentBreak>& breaks = _serving.router.breaks[_notes.upstream.idx];
	if (breaks.size() < kMostBreaks)
	{
		breaks.push_back(
			{subjectsOf(_serving), labelOf(_serving), now, now - _notes.begin, writingFor(_notes, now)});
	}
}

void suspectAbandoned(Serving& _serving, const AttemptNotes& _notes)
{
	DirectRouter& router = _serving.router;
	AbandonedAttempt attempt;
	attempt.subjects = subjectsOf(_serving);
	attempt.requestId = _serving.call.requestId;
	attempt.label = labelOf(_serving);
	attempt.sentAt = _notes.begin;
	attempt.beganAt = _notes.headAfter == 0 ? 0 : _notes.begin + _notes.headAfter;
	attempt.closedAt = monotonicNow();
	attempt.upstreams = upstreamsInUse(router, _serving.service);
	recordAbandoned(router.abandoned, upstreamKey(_notes), std::move(attempt));
}

namespace
{
void noteAbandonedAtCrash(DirectRouter& _router, const std::vector<AbandonedAtCrash>& _attempts)
{
	for (const AbandonedAtCrash& item : _attempts)
	{
		const AbandonedAttempt& attempt = item.attempt;
		logEvent("upstream_ended", {{"upstream_key", fmt::format("{:08x}", item.crash.upstream)},
									{"service", attempt.subjects.service},
									{"request", attempt.requestId},
									{"digest", digestToHex(attempt.subjects.request)},
									{"why", "after_close"},
									{"parts", sharedPartsText(attempt.subjects)},
									{"closed_ms", millisText(item.crash.at - attempt.closedAt)},
									{"took_ms", millisText(item.crash.runningFor)}});
	}
	noteRefused(_router, recordInterrupted(_router.suspects, _attempts, monotonicNow()), "seen");
}

/// Counts the crashes that other routers reported against the attempts that this one closed just before.
void matchReportedCrashes(DirectRouter& _router)
{
	noteAbandonedAtCrash(_router, takeAtKnownCrashes(_router.abandoned, _router.suspects, monotonicNow()));
}
} // namespace

void suspectAtRefusal(DirectRouter& _router, const AttemptNotes& _notes)
{
	noteAbandonedAtCrash(_router, takeAtEnd(_router.abandoned, upstreamKey(_notes), monotonicNow()));
}

void suspectBroken(DirectRouter& _router, UpstreamId _upstream)
{
	const auto found = _router.breaks.find(_upstream.idx);
	const auto entry = _router.upstreams.entries.find(_upstream.idx);
	if (found == _router.breaks.end() || entry == _router.upstreams.entries.end())
	{
		return;
	}
	const UpstreamRecord& record = entry->second.record;
	const TimeUs now = monotonicNow();
	for (const RecentBreak& broken : std::exchange(found->second, {}))
	{
		ObservedCrash crash{keyOf(record.id, record.startedAtMs), broken.at, broken.atWork,
							upstreamsInUse(_router, record.service), 0};
		crash.writingFor = broken.writingFor;
		logEvent("upstream_ended", {{"upstream", record.id},
									{"service", record.service},
									{"digest", digestToHex(broken.subjects.request)},
									{"why", "started_again"},
									{"took_ms", millisText(broken.atWork)}});
		noteRefused(_router, recordInterrupted(_router.suspects, broken.subjects, broken.label, crash, now),
					"seen");
	}
}

void forgetBreaks(DirectRouter& _router, TimeUs _now)
{
	constexpr TimeUs kStartsWithin = 5000 * kMsToUs;
	for (auto at = _router.breaks.begin(); at != _router.breaks.end();)
	{
		const bool old = at->second.empty() || _now - at->second.back().at > kStartsWithin;
		at = old ? _router.breaks.erase(at) : std::next(at);
	}
}

void clearIfRan(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	const bool answered = _serving.last == AttemptEnd::Complete || _serving.last == AttemptEnd::Failed;
	const bool ran =
		answered && !_serving.resumed; // What ended one upstream may not be in the rest of an answer.
	if (!ran)
	{
		return;
	}
	clear(router, subjectsOf(_serving).request, "answered");
	recordAnswered(router.suspects, subjectsOf(_serving).request, monotonicNow());
}

void clearParts(Serving& _serving, AttemptNotes& _notes)
{
	// The rest of an answer tells little of its begin, and the end of a connection is no proof of a sound
	// end.
	const bool shows = _notes.status == status::kOk && !_serving.resumed && !_notes.endsWithConnection;
	if (!shows || _notes.partsCleared || _serving.call.parts.size() < 2)
	{
		return;
	}
	_notes.partsCleared = true;
	DirectRouter& router = _serving.router;
	for (const RequestDigest& part :
		 recordHarmlessParts(router.suspects, subjectsOf(_serving), monotonicNow()))
	{
		++router.stats.suspectsCleared;
		logEvent("suspect_cleared", {{"digest", digestToHex(part)}, {"why", "answered"}});
	}
}

std::set<uint32_t> upstreamsOfSuspects(const Serving& _serving)
{
	std::set<uint32_t> upstreams = _serving.plan.tried;
	for (const auto& [number, other] : _serving.router.inFlight)
	{
		for (const LiveAttempt* attempt : other->live)
		{
			if (other != &_serving && other->suspected)
			{
				upstreams.insert(attempt->notes.upstream.idx);
			}
		}
	}
	return upstreams;
}

namespace
{
/// Waits while a part of the request's prompt is about to be refused.
void awaitHearing(Serving& _serving)
{
	constexpr uint32_t kLookMs = 50;
	DirectRouter& router = _serving.router;
	const TimeUs until = std::min(_serving.plan.deadline, monotonicNow() + kHearingTime);
	while (isPending(router.suspects, subjectsOf(_serving)) && monotonicNow() < until)
	{
		sleepFor(kLookMs);
		decideParts(router);
	}
}
} // namespace

bool admitBySuspicion(Serving& _serving)
{
	DirectRouter& router = _serving.router;
	if (router.suspects.suspects.empty())
	{
		return true;
	}
	awaitHearing(_serving);
	const SuspectMatch match = matchSuspects(router.suspects, subjectsOf(_serving), monotonicNow());
	switch (match.state)
	{
	case SuspectState::Unknown:
		return true;
	case SuspectState::Suspected:
		_serving.suspected = true;
		return true;
	case SuspectState::ProbeDue:
		// At the router that follows no other: of a fleet that is whole just one runs it.
		_serving.suspected = true;
		if (router.peers.parent.empty() && beginProbe(router.suspects, match.digest))
		{
			_serving.probe = match.digest;
			_serving.plan.maxAttempts = 1;
			return true;
		}
		break;
	case SuspectState::Refused:
		break;
	}
	refuseSuspect(_serving);
	return false;
}

void refuseSuspect(Serving& _serving)
{
	if (_serving.plan.mayHaveRun)
	{
		refuse(_serving, status::kBadGateway, kCode, "upstreams end that run this request; it may have run",
			   0);
		return;
	}
	const SuspectTable& suspects = _serving.router.suspects;
	const TimeUs now = monotonicNow();
	const auto found = suspects.suspects.find(matchSuspects(suspects, subjectsOf(_serving), now).digest);
	const TimeUs left = found != suspects.suspects.end() ? refusedFor(found->second, now) : 0;
	refuse(_serving, status::kUnavailable, kCode, "upstreams end that run this request; it has not run",
		   uint32_t(std::max<TimeUs>(kMsToUs, left / kMsToUs)));
}

void takePeerSuspects(DirectRouter& _router, const std::vector<SuspectUpdate>& _news)
{
	noteRefused(_router, applySuspectUpdates(_router.suspects, _news, monotonicNow()), "heard");
	if (!_news.empty())
	{
		matchReportedCrashes(_router);
	}
}

void decideParts(DirectRouter& _router)
{
	matchReportedCrashes(_router);
	noteRefused(_router, decidePendingParts(_router.suspects, monotonicNow()), "heard");
}

namespace
{
nlohmann::json describe(const RequestDigest& _digest, const CrashSuspect& _suspect, TimeUs _now)
{
	return {{"digest", digestToHex(_digest)},
			{"kind", _suspect.kind == SuspectKind::PromptPart ? "prompt_part" : "request"},
			{"request", absl::CHexEscape(_suspect.label)},
			{"refused", _suspect.refusals > 0},
			{"refused_for_ms", refusedFor(_suspect, _now) / kMsToUs},
			{"upstreams", describeSeen(_suspect, _now)}};
}

HttpResponse listSuspects(const DirectRouter& _router)
{
	nlohmann::json list = nlohmann::json::array();
	const TimeUs now = monotonicNow();
	for (const auto& [digest, suspect] : _router.suspects.suspects)
	{
		if (!suspect.crashes.empty())
		{
			list.push_back(describe(digest, suspect, now));
		}
	}
	return {status::kOk, {{"Content-Type", "application/json"}}, list.dump()};
}
} // namespace

void answerSuspects(DirectRouter& _router, HttpExchange& _exchange)
{
	const HttpRequest& request = _exchange.request();
	const std::string_view rest = std::string_view(request.target()).substr(kSuspectsPath.size());
	const std::optional<RequestDigest> digest = rest.empty() ? std::nullopt : digestFromHex(rest.substr(1));
	if (request.method() == boost::beast::http::verb::get && rest.empty())
	{
		_exchange.respond(listSuspects(_router));
		return;
	}
	if (request.method() != boost::beast::http::verb::delete_ || !digest || !isOpen(_router, *digest))
	{
		_exchange.respond({status::kNotFound, {}, ""});
		return;
	}
	clear(_router, *digest, "by_hand");
	_exchange.respond({status::kOk, {}, ""});
}
} // namespace spanplank
