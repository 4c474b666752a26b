/// Rest that upstreams ask for, and the probe after it.
#include "spanplank/upstream_rest.h"

#include <algorithm>

namespace spanplank
{
namespace
{
constexpr double kSpreadShare = 0.25;         ///< Largest addition to a rest, as a share of it.
constexpr TimeUs kMaxSpread = 2000 * kMsToUs; ///< Upper bound of the addition.
} // namespace

bool recordRestAsked(RestState& _rest, double _askedMs, double _spread, TimeUs _now)
{
	const TimeUs length = TimeUs(std::min(_askedMs * double(kMsToUs), double(kMaxRest)));
	if (length <= 0)
	{
		return false;
	}
	const bool begins = !isResting(_rest, _now);
	const double addition = std::min(double(length) * kSpreadShare, double(kMaxSpread)) * _spread;
	_rest.until = std::max(_rest.until, _now + length + TimeUs(addition));
	_rest.returning = true;
	return begins;
}

bool recordRestProbe(RestState& _rest)
{
	_rest.probing = _rest.returning;
	return _rest.probing;
}

void endRestProbe(RestState& _rest, bool _accepted)
{
	_rest.probing = false;
	_rest.returning = _rest.returning && !_accepted;
}
} // namespace spanplank
