/// Fair shares of client accounts in a service's room over all routers. Each router's counts travel along the
/// tree in which routers follow each other, like the loads of upstreams.
#ifndef SPANPLANK_ACCOUNT_SHARE_H_HEADER_GUARD
#define SPANPLANK_ACCOUNT_SHARE_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>

#include "spanplank/load_share.h"
#include "spanplank/types.h"

namespace spanplank
{
/// Hash of a service and a client account. A collision only makes two accounts share one part.
using AccountKey = uint32_t;

AccountKey accountKeyOf(std::string_view _service, std::string_view _account);

/// Requests and tokens of this router by account, in the form in which `LoadShare` sums them over routers.
struct AccountShares
{
	LoadShare loads;                                      ///< `LoadCount::prefillMs` is not used.
	std::unordered_map<AccountKey, LoadCount> running;    ///< Of this router.
	std::unordered_map<AccountKey, AccountKey> serviceOf; ///< Key of the service of each known account.
};

/// Records that a request of an account begins to wait for or to use an upstream.
void recordAccountBegin(AccountShares& _shares, AccountKey _service, AccountKey _account, uint32_t _tokens);

/// Records the end of such a request.
void recordAccountEnd(AccountShares& _shares, AccountKey _account, uint32_t _tokens);

/// Updates this router's own counts in `loads` and excludes outdated reports of neighbours.
void refreshAccounts(AccountShares& _shares, TimeUs _now);

/// @returns How far an account is above its max-min fair part of what the service's accounts use over all
/// routers: use / part; at most 1 is within its part.
double accountExcess(const AccountShares& _shares, AccountKey _service, AccountKey _account);
} // namespace spanplank

#endif // SPANPLANK_ACCOUNT_SHARE_H_HEADER_GUARD
