/// Room at the upstreams of a service for a request in direct mode, and the wait for it.
#ifndef SPANPLANK_AWAIT_ROOM_P_H_HEADER_GUARD
#define SPANPLANK_AWAIT_ROOM_P_H_HEADER_GUARD

#include <cstdint>

#include "attempt_p.h"
#include "serving_p.h"

namespace spanplank
{
/// Counts a request for its client account while it waits for or uses upstreams, also if that ends by an
/// exception.
class AccountMark
{
public:
	explicit AccountMark(Serving& _serving);
	~AccountMark();

	AccountMark(const AccountMark&) = delete;
	AccountMark& operator=(const AccountMark&) = delete;

private:
	DirectRouter& m_router;
	AccountKey m_account;
	uint32_t m_tokens;
	bool m_counted;
};

/// @returns Room at the upstreams that a query allows, by the limits of their service.
/// @param[in] _query With the versions that the request may use.
ServiceRoom placesFor(const Serving& _serving, const UpstreamQuery& _query, TimeUs _now);

/// Waits until an upstream has room for the first attempt of a request.
/// @returns Whether the request may be sent; otherwise it was refused a place, or its caller has left.
bool awaitRoom(Serving& _serving, const std::string& _model);

/// @returns By how much the requests at an upstream lengthen the time of one more.
double queueFactorAt(const Serving& _serving, UpstreamId _upstream);

/// Takes note of how long an upstream worked on a request that it has completed.
void noteWorkTime(const Serving& _serving, const AttemptNotes& _notes, TimeUs _now);

/// Requests that wait for room at the upstreams of any service.
std::map<std::string, double> waitingByService(const DirectRouter& _router);
} // namespace spanplank

#endif // SPANPLANK_AWAIT_ROOM_P_H_HEADER_GUARD
