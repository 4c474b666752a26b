/// Names of the policies in settings.
#include "spanplank/policies.h"

#include <algorithm>
#include <array>
#include <utility>

#include "spanplank/errors.h"

namespace spanplank
{
namespace
{
using Switch = std::pair<std::string_view, bool Policies::*>;

constexpr std::array<Switch, 19> kSwitches = {{{"escalation", &Policies::escalation},
											   {"pressureLimit", &Policies::pressureLimit},
											   {"longPatience", &Policies::longPatience},
											   {"coldPatience", &Policies::coldPatience},
											   {"homeOrder", &Policies::homeOrder},
											   {"homeSharing", &Policies::homeSharing},
											   {"loadSharing", &Policies::loadSharing},
											   {"hallPreference", &Policies::hallPreference},
											   {"ejection", &Policies::ejection},
											   {"resumption", &Policies::resumption},
											   {"urgency", &Policies::urgency},
											   {"coldOwners", &Policies::coldOwners},
											   {"stopReturn", &Policies::stopReturn},
											   {"engineSpeeds", &Policies::engineSpeeds},
											   {"completionTime", &Policies::completionTime},
											   {"waitingRoom", &Policies::waitingRoom},
											   {"accountShares", &Policies::accountShares},
											   {"retryLending", &Policies::retryLending},
											   {"serviceLoad", &Policies::serviceLoad}}};
} // namespace

void disablePolicies(Policies& _policies, const std::vector<std::string>& _names)
{
	for (const std::string& name : _names)
	{
		const auto found = std::find_if(kSwitches.begin(), kSwitches.end(),
										[&name](const Switch& _switch) { return _switch.first == name; });
		if (found == kSwitches.end())
		{
			throw Failure(ErrorCode::BadRequest, "unknown policy '" + name + "'");
		}
		_policies.*(found->second) = false;
	}
}
} // namespace spanplank
