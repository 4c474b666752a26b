/// Router core: late, duplicate, reordered and stray frames; the run state over several attempts; cascades;
/// retries.
#include "spanplank/router_core.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace spanplank
{
namespace
{
constexpr TimeUs kNow = 1000000;

/// A router with two upstreams that serve `small@1` and `large@1` for the account `town`.
struct Fixture
{
	RouterCore core;
	RouterActions actions;

	Fixture()
	{
		RouterInit init;
		init.incarnation = "router.1";
		init.hall = "hall";
		core = createRouterCore(init);
		ConfigUpdate update;
		for (const char* model : {"small", "large"})
		{
			update.changes.push_back({kKindModel, model, 1, false, Model{}, {}});
			Version version;
			version.model = model;
			update.changes.push_back({kKindVersion, std::string(model) + "@1", 2, false, version, {}});
		}
		update.changes.push_back({kKindCascade, "both", 3, false, Cascade{{"small", "large"}, 0.9, 0.5}, {}});
		ClientAccount account;
		account.keyHashes = {sha256Hex("key")};
		account.allowed = {"small", "large", "both"};
		update.changes.push_back({kKindAccount, "town", 4, false, account, {}});
		update.revision = 4;
		apply(core.config, update);
		for (const char* box : {"a", "b"})
		{
			linkUp(core, {"agent", box, std::string(box) + ".1", "hall", "pool", {"small@1", "large@1"}, {}});
		}
	}

	SendSubmit sendRequest(const std::string& _model, bool _stream = false)
	{
		CallerRequest request;
		request.bearer = "key";
		request.model = _model;
		request.stream = _stream;
		request.deadline = kNow + 10000 * kMsToUs;
		onRequest(core, RequestId{1}, request, kNow, 1, actions);
		return takeAction<SendSubmit>();
	}

	/// Removes and returns the only pending action, which must be of this type.
	template <typename Action>
	Action takeAction()
	{
		EXPECT_EQ(actions.size(), 1u);
		Action action = std::get<Action>(actions.at(0));
		actions.clear();
		return action;
	}

	void refuse(const SendSubmit& _sent, ErrorCode _code, bool _mayHaveRun)
	{
		AnswerRefused refused;
		refused.attempt = _sent.submit.attempt;
		refused.code = name(_code);
		refused.mayHaveRun = _mayHaveRun;
		onRefused(core, _sent.to, refused, kNow, 1, actions);
	}

	void end(const SendSubmit& _sent, uint32_t _parts, double _confidence = 1.0)
	{
		Bill bill;
		bill.owner = _sent.submit.billOwner;
		bill.seq = _sent.submit.billSeq;
		onEnd(core, _sent.to, {_sent.submit.attempt, _parts, _confidence, false, bill}, kNow, 1, actions);
	}
};

TEST(RouterCore, AnswerIsCompleteDespiteDuplicateAndStrayFrames)
{
	const bool passed = rc::check("the answer is complete", [](const std::vector<uint8_t>& _noise) {
		Fixture fixture;
		const SendSubmit sent = fixture.sendRequest("small");
		const std::vector<std::string> parts = {"one ", "two ", "three ", "four"};
		const UpstreamId other{1 - sent.to.idx};
		for (uint32_t ii = 0; ii < parts.size(); ++ii)
		{
			for (const uint8_t noise : _noise)
			{
				// Duplicates of earlier parts, frames of other attempts and frames of another upstream.
				onPart(fixture.core, sent.to,
					   {sent.submit.attempt, noise % (ii + 1), parts[noise % (ii + 1)]}, 1, fixture.actions);
				onPart(fixture.core, sent.to, {sent.submit.attempt + 1 + noise, ii, "stray"}, 1,
					   fixture.actions);
				onPart(fixture.core, other, {sent.submit.attempt, ii, "stray"}, 1, fixture.actions);
			}
			onPart(fixture.core, sent.to, {sent.submit.attempt, ii, parts[ii]}, 1, fixture.actions);
		}
		fixture.end(sent, 4);
		const auto answer = fixture.takeAction<CompleteAnswer>();
		RC_ASSERT(answer.body == "one two three four");
	});
	EXPECT_TRUE(passed);
}

TEST(RouterCore, MissingPartIsNeverDelivered)
{
	Fixture fixture;
	const SendSubmit sent = fixture.sendRequest("small");
	onPart(fixture.core, sent.to, {sent.submit.attempt, 0, "one "}, 1, fixture.actions);
	onPart(fixture.core, sent.to, {sent.submit.attempt, 2, "three"}, 1, fixture.actions);
	ASSERT_EQ(fixture.actions.size(), 2u);
	EXPECT_TRUE(std::holds_alternative<SendCancel>(fixture.actions[0]));
	EXPECT_EQ(std::get<RefuseRequest>(fixture.actions[1]).refusal.run, RunState::Unknown);
}

TEST(RouterCore, ShortAnswerIsTriedElsewhereNotDelivered)
{
	Fixture fixture;
	const SendSubmit sent = fixture.sendRequest("small");
	onPart(fixture.core, sent.to, {sent.submit.attempt, 0, "one "}, 1, fixture.actions);
	fixture.end(sent, 2);
	const auto again = fixture.takeAction<SendSubmit>();
	EXPECT_FALSE(again.to == sent.to);
	EXPECT_EQ(again.submit.billSeq, sent.submit.billSeq) << "both attempts share one bill";
}

TEST(RouterCore, FailedStreamIsAborted)
{
	Fixture fixture;
	const SendSubmit sent = fixture.sendRequest("small", true);
	onPart(fixture.core, sent.to, {sent.submit.attempt, 0, "one "}, 1, fixture.actions);
	fixture.actions.clear();
	linkDown(fixture.core, sent.to, kNow, 1, fixture.actions);
	EXPECT_EQ(fixture.takeAction<AbortAnswer>().refusal.run, RunState::Unknown);
	EXPECT_EQ(pendingBatch(fixture.core.bills, "router.1").voids.size(), 1u) << "nothing is billed later";
}

/// A refusal may state "not run" only if this holds for every attempt, not just for the last.
TEST(RouterCore, NotRunOnlyIfNoAttemptMayHaveRun)
{
	const bool passed =
		rc::check("the run state covers all attempts", [](const std::vector<bool>& _mayHaveRun) {
			Fixture fixture;
			SendSubmit sent = fixture.sendRequest("small");
			bool anyMayHaveRun = false;
			for (size_t ii = 0; ii < 4; ++ii)
			{
				const bool ran = ii < _mayHaveRun.size() && _mayHaveRun[ii];
				anyMayHaveRun = anyMayHaveRun || ran;
				fixture.refuse(sent, ErrorCode::Overloaded, ran);
				ASSERT_EQ(fixture.actions.size(), 1u);
				if (const auto* refused = std::get_if<RefuseRequest>(&fixture.actions[0]))
				{
					RC_ASSERT((refused->refusal.run == RunState::No) == !anyMayHaveRun);
					return;
				}
				sent = fixture.takeAction<SendSubmit>();
			}
			RC_FAIL("the request is never refused");
		});
	EXPECT_TRUE(passed);
}

// An agent that found fault with its own settings, or used a code that is not known, gave the caller a 404 or
// 400.
TEST(RouterCore, WhatAnAgentRefusesForItselfIsNotTheCallersFault)
{
	for (const ErrorCode code :
		 {ErrorCode::BadRequest, ErrorCode::BadKey, ErrorCode::UnknownModel, ErrorCode::UnknownService,
		  ErrorCode::Oversize, ErrorCode::SessionInvalid, ErrorCode::NotFound, ErrorCode::LinkRefused,
		  ErrorCode::RevisionConflict, ErrorCode::Cancelled})
	{
		for (const bool mayHaveRun : {false, true})
		{
			Fixture fixture;
			SendSubmit sent = fixture.sendRequest("small");
			fixture.refuse(sent, code, mayHaveRun);
			sent = fixture.takeAction<SendSubmit>(); // Another upstream is asked.
			fixture.refuse(sent, code, mayHaveRun);
			const RefuseRequest refused = fixture.takeAction<RefuseRequest>();
			EXPECT_GE(httpStatus(refused.refusal), 500) << name(code);
			EXPECT_EQ(refused.refusal.run, mayHaveRun ? RunState::Unknown : RunState::No) << name(code);
		}
	}
}

// A request that an upstream was silent on until its deadline was answered with 408, as if its caller had
// been late.
TEST(RouterCore, ADeadlineThatPassesAtAnUpstreamIsNotTheCallersFault)
{
	Fixture fixture;
	fixture.sendRequest("small");
	tick(fixture.core, kNow + 20000 * kMsToUs, fixture.actions);
	ASSERT_EQ(fixture.actions.size(), 2u) << "a cancel and the refusal";
	const auto refused = std::get<RefuseRequest>(fixture.actions.at(1));
	EXPECT_EQ(refused.refusal.run, RunState::Unknown);
	EXPECT_EQ(httpStatus(refused.refusal), 504);
}

TEST(RouterCore, CascadeRunsTheStrongStepOnlyIfTheCheapOneHasLowConfidence)
{
	Fixture fixture;
	const SendSubmit cheap = fixture.sendRequest("both");
	EXPECT_EQ(cheap.submit.version, "small@1");
	fixture.end(cheap, 0, 0.2);
	const auto strong = fixture.takeAction<SendSubmit>();
	EXPECT_EQ(strong.submit.version, "large@1");
	EXPECT_NE(strong.submit.billSeq, cheap.submit.billSeq) << "each step that ran is billed";
	fixture.end(strong, 0, 0.1);
	EXPECT_EQ(fixture.takeAction<CompleteAnswer>().head.version, "large@1");
	EXPECT_EQ(pendingBatch(fixture.core.bills, "router.1").bills.size(), 2u);
}

TEST(RouterCore, DrainingUpstreamIsUsedAgainOnlyAsAnotherIncarnation)
{
	Fixture fixture;
	markDraining(fixture.core, "a", "");
	linkUp(fixture.core, {"agent", "a", "a.1", "hall", "pool", {"small@1"}, {}});
	EXPECT_TRUE(fixture.core.upstreams[0].draining);
	EXPECT_EQ(fixture.sendRequest("small").to.idx, 1u);
	linkUp(fixture.core, {"agent", "a", "a.2", "hall", "pool", {"small@1"}, {}});
	EXPECT_FALSE(fixture.core.upstreams[0].draining);
}

TEST(RouterCore, RetriesStopWhenTheBudgetIsSpent)
{
	Fixture fixture;
	fixture.core.retryBudget.tokens = 0.5;
	const SendSubmit sent = fixture.sendRequest("small");
	fixture.refuse(sent, ErrorCode::Overloaded, false);
	EXPECT_EQ(fixture.takeAction<RefuseRequest>().refusal.code, ErrorCode::Overloaded);
}
} // namespace
} // namespace spanplank
