/// Fair shares of client accounts.
#include "spanplank/account_share.h"

#include <algorithm>

namespace spanplank
{
namespace
{
/// Bits of a key for the account: 1,024 services and 4 million accounts of each.
constexpr uint32_t kAccountBits = 22;
constexpr AccountKey kAccountMask = (AccountKey(1) << kAccountBits) - 1;

/// @returns The most that an account gets if a capacity is divided among demands so that the least parts are
/// as large as possible.
double maxMinPart(std::vector<double> _demands, double _capacity)
{
	std::sort(_demands.begin(), _demands.end());
	const double least = _demands.empty() ? 0.0 : _demands.front();
	double left = _capacity;
	for (size_t ii = 0; ii < _demands.size(); ++ii)
	{
		const double equal = left / double(_demands.size() - ii);
		if (_demands[ii] >= equal)
		{
			return std::max(equal, least); // Where all are above their part, none goes before another.
		}
		left -= _demands[ii];
	}
	return _demands.empty() ? 0.0 : _demands.back(); // All demands are met.
}

void addDemand(AccountShares& _shares, AccountKey _account, const LoadCount& _load)
{
	ServiceDemand& demand = _shares.demands[_account & ~kAccountMask];
	demand.requests.push_back(std::max(0, _load.inFlight));
	demand.tokenUnits.push_back(std::max(0, _load.tokenUnits));
	demand.requestsElsewhere += demand.requests.back();
}
} // namespace

AccountKey serviceAccountsKey(std::string_view _service)
{
	return AccountKey(stableHash(_service)) & ~kAccountMask;
}

AccountKey accountKeyOf(std::string_view _service, std::string_view _account)
{
	const AccountKey account = AccountKey(stableHash(_account)) & kAccountMask;
	return serviceAccountsKey(_service) | std::max<AccountKey>(1, account);
}

void recordAccountBegin(AccountShares& _shares, AccountKey _account, uint32_t _tokens)
{
	AccountUse& use = _shares.running[_account];
	++use.requests;
	use.tokens += _tokens;
}

void recordAccountEnd(AccountShares& _shares, AccountKey _account, uint32_t _tokens)
{
	const auto found = _shares.running.find(_account);
	if (found == _shares.running.end())
	{
		return;
	}
	AccountUse& use = found->second;
	use.tokens -= std::min<uint64_t>(use.tokens, _tokens);
	if (--use.requests == 0)
	{
		_shares.running.erase(found);
	}
}

void updateOwnAccounts(AccountShares& _shares)
{
	LoadTable own;
	for (const auto& [account, use] : _shares.running)
	{
		own[account] = {0, int32_t(use.requests), tokenUnitsOf(use.tokens)};
	}
	setOwnLoads(_shares.loads, own);
}

void refreshAccounts(AccountShares& _shares, TimeUs _now)
{
	expireLoads(_shares.loads, _now);
	updateOwnAccounts(_shares);
	pruneLoads(_shares.loads, _shares.running.size());
	_shares.demands.clear();
	for (const auto& [account, load] : _shares.loads.sum)
	{
		if (!(load == LoadCount{}))
		{
			addDemand(_shares, account, load);
		}
	}
	for (const auto& [account, load] : _shares.loads.own.loads)
	{
		_shares.demands[account & ~kAccountMask].requestsHere += load.inFlight;
		_shares.demands[account & ~kAccountMask].requestsElsewhere -= load.inFlight;
	}
}

ServiceUse serviceUse(const UpstreamTable& _table, std::string_view _service)
{
	ServiceUse use;
	for (const auto& [idx, entry] : _table.entries)
	{
		if (entry.record.service == _service)
		{
			use.requests += double(entry.inFlight) + double(entry.others.inFlight);
			use.requestsElsewhere += double(entry.others.inFlight);
			use.tokenUnits += (double(entry.heldTokens) + double(entry.others.tokens)) / kTokensPerUnit;
		}
	}
	return use;
}

double accountExcess(const AccountShares& _shares, AccountKey _account, const ServiceUse& _use,
					 bool _byTokens)
{
	const auto found = _shares.demands.find(_account & ~kAccountMask);
	const auto load = _shares.loads.sum.find(_account);
	if (found == _shares.demands.end() || load == _shares.loads.sum.end())
	{
		return 0.0;
	}
	const std::vector<double>& demands = _byTokens ? found->second.tokenUnits : found->second.requests;
	const double own = _byTokens ? load->second.tokenUnits : load->second.inFlight;
	const double part = maxMinPart(demands, _byTokens ? _use.tokenUnits : _use.requests);
	return part > 0.0 ? own / part : 0.0;
}

WaitingElsewhere waitingElsewhere(const AccountShares& _shares, AccountKey _service, const ServiceUse& _use)
{
	WaitingElsewhere result;
	const auto found = _shares.demands.find(_service);
	if (found == _shares.demands.end())
	{
		return result;
	}
	const ServiceDemand& demand = found->second;
	result.all = std::max(0.0, demand.requestsElsewhere - _use.requestsElsewhere);
	const double part = maxMinPart(demand.requests, _use.requests);
	double waiting = 0.0; // Of accounts above their part, which run as many requests as that.
	double running = 0.0;
	for (const double requests : demand.requests)
	{
		const bool above = requests >= part * kMaxExcess;
		waiting += above ? requests - part : 0.0;
		running += above ? part : 0.0;
	}
	const double elsewhere =
		demand.requestsElsewhere / std::max(1.0, demand.requestsElsewhere + demand.requestsHere);
	result.abovePart = std::min(result.all, waiting * elsewhere);
	result.runningAbovePart = _use.requests > 0.0 ? std::min(1.0, running / _use.requests) : 0.0;
	return result;
}
} // namespace spanplank
