/// Fair shares of client accounts in a service's room over all routers. Each router's counts travel along the
/// tree in which routers follow each other, like the loads of upstreams.
#ifndef SPANPLANK_ACCOUNT_SHARE_H_HEADER_GUARD
#define SPANPLANK_ACCOUNT_SHARE_H_HEADER_GUARD

#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "spanplank/load_share.h"
#include "spanplank/types.h"
#include "spanplank/upstream_table.h"
#include "spanplank/waiting_room.h"

namespace spanplank
{
/// Hash of a service in its upper bits, and of a client account in the lower ones, so that the accounts of a
/// service are known from the reports of other routers. A collision of accounts only makes two accounts share
/// one part, one of services counts their accounts together.
using AccountKey = uint32_t;

/// @returns The key of a service, which no account has.
AccountKey serviceAccountsKey(std::string_view _service);

/// @param[in] _account Empty for requests without a key.
AccountKey accountKeyOf(std::string_view _service, std::string_view _account);

/// Use by an account of this router.
struct AccountUse
{
	uint32_t requests = 0;
	uint64_t tokens = 0;
};

/// What the accounts of a service use or wait for, over all routers.
struct ServiceDemand
{
	std::vector<double> requests; ///< By account, in no order.
	std::vector<double> tokenUnits;
	double requestsElsewhere = 0.0; ///< Of the other routers.
	double requestsHere = 0.0;
};

/// Requests and tokens by account: of this router, and in the form in which `LoadShare` sums them over
/// routers.
struct AccountShares
{
	LoadShare loads;                                    ///< `LoadCount::prefillMs` is not used.
	std::unordered_map<AccountKey, AccountUse> running; ///< Of this router.
	std::map<AccountKey, ServiceDemand> demands;        ///< By service; updated by `refreshAccounts`.
};

/// Records that a request of an account begins to wait for or to use an upstream.
void recordAccountBegin(AccountShares& _shares, AccountKey _account, uint32_t _tokens);

/// Records the end of such a request.
void recordAccountEnd(AccountShares& _shares, AccountKey _account, uint32_t _tokens);

/// Updates this router's own counts in `loads`.
void updateOwnAccounts(AccountShares& _shares);

/// Updates this router's own counts in `loads`, excludes outdated reports of neighbours and sums up the
/// demand of each service.
void refreshAccounts(AccountShares& _shares, TimeUs _now);

/// What the running requests of a service use over all routers.
struct ServiceUse
{
	double requests = 0.0;
	double requestsElsewhere = 0.0; ///< Of the other routers.
	double tokenUnits = 0.0;        ///< In units of `kTokensPerUnit`.
};

ServiceUse serviceUse(const UpstreamTable& _table, std::string_view _service);

/// @returns How far an account's demand is above its max-min fair part of what the service's running requests
/// use over all routers: demand / part; at most 1 is within its part. All accounts are within their parts
/// while nothing waits, as parts that are not used are lent to the others.
/// @param[in] _byTokens Whether tokens are shared; otherwise requests.
double accountExcess(const AccountShares& _shares, AccountKey _account, const ServiceUse& _use,
					 bool _byTokens);

/// @returns The requests of a service that wait at other routers, by their last reports.
WaitingElsewhere waitingElsewhere(const AccountShares& _shares, AccountKey _service, const ServiceUse& _use);
} // namespace spanplank

#endif // SPANPLANK_ACCOUNT_SHARE_H_HEADER_GUARD
