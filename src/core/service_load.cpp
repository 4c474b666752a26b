/// Load of a service over all routers.
#include "spanplank/service_load.h"

namespace spanplank
{
ServiceLoad serviceLoad(const UpstreamTable&, std::string_view, std::string_view, const UpstreamCapacity&,
						TimeUs)
{
	return {};
}

double loadShareOf(const ServiceLoad&, double)
{
	return 0.0;
}
} // namespace spanplank
