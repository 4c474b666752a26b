/// Averages of speed ratios and their exchange between routers.
#include "spanplank/engine_speed.h"

namespace spanplank
{
void recordFirstTokenRatio(EngineSpeedTable&, UpstreamKey, double, double, TimeUs)
{
}

void recordTokenTime(EngineSpeedTable&, UpstreamKey, const std::string&, double, TimeUs)
{
}

double firstTokenFactor(const EngineSpeedTable&, UpstreamKey, TimeUs)
{
	return 1.0;
}

double tokenFactor(const EngineSpeedTable&, UpstreamKey, TimeUs)
{
	return 1.0;
}

double tokenMsAt(const EngineSpeedTable&, UpstreamKey, std::string_view, TimeUs)
{
	return 0.0;
}

void applySpeedRows(EngineSpeedTable&, uint32_t, absl::Span<const SpeedRow>, bool, TimeUs)
{
}

std::vector<SpeedRow> speedRowsFor(EngineSpeedTable&, uint32_t, TimeUs)
{
	return {};
}

void expireSpeeds(EngineSpeedTable&, TimeUs)
{
}
} // namespace spanplank
