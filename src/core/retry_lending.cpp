/// Loans of retries between routers.
#include "spanplank/retry_lending.h"

namespace spanplank
{
ServiceKey serviceKeyOf(std::string_view _service)
{
	return ServiceKey(stableHash(_service));
}

bool acquireLentRetry(RetryLending&, const std::string&, RetryWindow& _window, TimeUs _now, double _share)
{
	return acquireRetry(_window, _now, _share);
}

void applyRetryRows(RetryLending&, uint32_t, absl::Span<const RetryRow>, TimeUs, TimeUs)
{
}

std::vector<RetryRow> retryRowsFor(RetryLending&, uint32_t, std::map<std::string, RetryWindow>&, TimeUs)
{
	return {};
}

void forgetRetryNeighbour(RetryLending&, uint32_t)
{
}
} // namespace spanplank
