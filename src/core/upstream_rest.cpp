/// Rest that upstreams ask for.
#include "spanplank/upstream_rest.h"

#include <algorithm>

namespace spanplank
{
TimeUs restLength(double _askedMs)
{
	return TimeUs(std::min(_askedMs, double(kMaxRest / kMsToUs)) * double(kMsToUs));
}
} // namespace spanplank
