/// Fair shares of client accounts.
#include "spanplank/account_share.h"

namespace spanplank
{
AccountKey accountKeyOf(std::string_view _service, std::string_view _account)
{
	return AccountKey(stableHash(_account, stableHash(_service)));
}

void recordAccountBegin(AccountShares&, AccountKey, AccountKey, uint32_t)
{
}

void recordAccountEnd(AccountShares&, AccountKey, uint32_t)
{
}

void refreshAccounts(AccountShares&, TimeUs)
{
}

double accountExcess(const AccountShares&, AccountKey, AccountKey)
{
	return 0.0;
}
} // namespace spanplank
