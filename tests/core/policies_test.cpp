/// Disabling of policies, and its effect on decisions.
#include "spanplank/policies.h"

#include <gtest/gtest.h>

#include "spanplank/errors.h"
#include "spanplank/request_plan.h"
#include "spanplank/upstream_table.h"

namespace spanplank
{
namespace
{
TEST(Policies, NamedOnesAreSwitchedOffAndTheOthersStayOn)
{
	Policies policies;
	disablePolicies(policies, {"escalation", "stopReturn"});
	EXPECT_FALSE(policies.escalation);
	EXPECT_FALSE(policies.stopReturn);
	EXPECT_TRUE(policies.ejection);
	EXPECT_TRUE(policies.homeSharing);
}

TEST(Policies, AnUnknownNameIsRejected)
{
	Policies policies;
	EXPECT_THROW(disablePolicies(policies, {"noSuchPolicy"}), Failure);
}

TEST(Policies, WithoutEscalationEveryAnswerIsAccepted)
{
	RequestPlan plan;
	plan.repeatable = true;
	plan.maxAttempts = 3;
	plan.targetMs = 1000;
	plan.deadline = 5000 * kMsToUs;
	plan.models = {"small", "large"};
	EXPECT_GT(confidenceLimit(plan, 0.0, {}, 0), 0.0);
	plan.policies.escalation = false;
	EXPECT_EQ(confidenceLimit(plan, 0.0, {}, 0), 0.0);
}

TEST(Policies, WithoutEjectionAFailingUpstreamKeepsItsWork)
{
	UpstreamTable table;
	table.policies.ejection = false;
	const UpstreamId only = registerUpstream(table, {"u", "llm", {"10.0.0.1", 1}, "a", "v1", 8, false});
	recordSent(table, only, {}, 0);
	EXPECT_EQ(recordEnded(table, only, 0.0, HealthOutcome::Unreachable, 0), HealthChange::None);
}
} // namespace
} // namespace spanplank
