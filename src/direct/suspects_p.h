/// Requests that end upstreams, in a direct router: when they are refused, and what operators see of them.
#ifndef SPANPLANK_SUSPECTS_P_H_HEADER_GUARD
#define SPANPLANK_SUSPECTS_P_H_HEADER_GUARD

#include <set>
#include <string_view>
#include <vector>

#include "direct_router_p.h"
#include "serving_p.h"
#include "spanplank/crash_suspects.h"

namespace spanplank
{
struct AttemptNotes;

/// Keeps the one run of a suspect that is due until it ends, also by an exception.
class TryMark
{
public:
	explicit TryMark(Serving& _serving) : m_serving(_serving)
	{
	}

	~TryMark()
	{
		if (m_serving.probe)
		{
			endProbe(m_serving.router.suspects, *m_serving.probe);
		}
	}

	TryMark(const TryMark&) = delete;
	TryMark& operator=(const TryMark&) = delete;

private:
	Serving& m_serving;
};

/// @returns The ids of the prompt parts that other requests may share, in order.
std::string sharedPartsText(const SuspectSubjects& _subjects);

/// An upstream ended while the request was at work there.
void suspect(Serving& _serving, const AttemptNotes& _notes);

/// The upstream still takes connections: whether it has started again is told by its next record, if at all.
void suspectLater(Serving& _serving, const AttemptNotes& _notes);

/// This router closed an attempt whose upstream may still be running the request.
void suspectAbandoned(Serving& _serving, const AttemptNotes& _notes);

/// An upstream refused a connection: the requests whose attempts there were closed just before were running
/// as it ended.
void suspectAtRefusal(DirectRouter& _router, const AttemptNotes& _notes);

/// An upstream has started again: what broke there shortly before was at work as it ended.
void suspectBroken(DirectRouter& _router, UpstreamId _upstream);

/// Forgets what broke too long ago for that.
void forgetBreaks(DirectRouter& _router, TimeUs _now);

/// An upstream answered the request to its end: it is no suspect any more.
void clearIfRan(Serving& _serving);

/// An attempt's answer has gone on for so long, or is whole, that the parts of its prompt are harmless.
void clearParts(Serving& _serving, AttemptNotes& _notes);

/// @returns The upstreams that the request has tried, and those at which other suspects of this router are at
/// work.
std::set<uint32_t> upstreamsOfSuspects(const Serving& _serving);

/// Takes what another router told.
void takePeerSuspects(DirectRouter& _router, const std::vector<SuspectUpdate>& _news);

/// Decides on prompt parts that the other routers have had the time to speak for.
void decideParts(DirectRouter& _router);

/// Of the metrics address: `GET /suspects` lists them, `DELETE /suspects/DIGEST` clears one at all routers.
constexpr std::string_view kSuspectsPath = "/suspects";
void answerSuspects(DirectRouter& _router, HttpExchange& _exchange);
} // namespace spanplank

#endif // SPANPLANK_SUSPECTS_P_H_HEADER_GUARD
