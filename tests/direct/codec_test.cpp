/// The platform's codec under arbitrary input: it decodes or fails with a type, and never loses what it must
/// keep.
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

#include "headers_p.h"
#include "records_p.h"
#include "store_protocol_p.h"

namespace spanplank
{
namespace
{
using nlohmann::json;
using platform::Fields;

/// Runs a decoder; a typed failure is fine, any other exception fails the test.
template <typename Decode>
void decodesOrFailsTyped(Decode&& _decode)
{
	try
	{
		_decode();
	}
	catch (const Failure& failure)
	{
		RC_ASSERT(!failure.refusal().detail.empty());
	}
}

/// A record with known names and values of any type.
json anyRecord()
{
	const std::vector<std::string> names = {"version", "routes",     "services", "tenants", "limits",
											"name",    "host",       "weight",   "sizes",   "traffic_split",
											"engine",  "models",     "cost",     "address", "state",
											"slots",   "duration_s", "api_keys"};
	json record = json::object();
	const auto count = *rc::gen::inRange(0, 8);
	for (int ii = 0; ii < count; ++ii)
	{
		const std::string name = *rc::gen::elementOf(names);
		const auto kind = *rc::gen::inRange(0, 7);
		record[name] = kind == 0   ? json(*rc::gen::arbitrary<int>())
					   : kind == 1 ? json(-1.5)
					   : kind == 2 ? json("text")
					   : kind == 3 ? json(nullptr)
					   : kind == 4 ? json::array({1, "x", json::object()})
					   : kind == 5 ? json::object({{"name", 7}})
								   : json(true);
	}
	return record;
}

RC_GTEST_PROP(Codec, RecordsDecodeOrFailWithAType, ())
{
	const std::string text = anyRecord().dump();
	decodesOrFailsTyped([&] { platform::decodeConfig(text); });
	decodesOrFailsTyped([&] { platform::decodeUpstream("id", text); });
	decodesOrFailsTyped([&] { platform::decodeRolloutOrder(text); });
	decodesOrFailsTyped([&] { platform::decodeRolloutStatus(text); });
}

RC_GTEST_PROP(Codec, AnyBytesDecodeOrFailWithAType, ())
{
	const auto bytes = *rc::gen::arbitrary<std::string>();
	decodesOrFailsTyped([&] { platform::decodeConfig(bytes); });
	HttpResponse answer;
	answer.status = *rc::gen::element(200, 404, 410, 412, 429, 503);
	answer.body = bytes;
	uint64_t revision = 0;
	decodesOrFailsTyped([&] { platform::storeProtocol().decodeRead(answer); });
	decodesOrFailsTyped([&] { platform::storeProtocol().decodeList(answer); });
	decodesOrFailsTyped([&] { platform::storeProtocol().decodeWatch(answer); });
	decodesOrFailsTyped([&] { platform::storeProtocol().decodeWrite(answer, revision); });
}

RC_GTEST_PROP(Codec, HeadersOfAnyTextAreRead, ())
{
	const auto text =
		*rc::gen::container<std::string>(rc::gen::element('0', '9', ',', ':', '-', 'a', ' ', '.', '*'));
	Fields fields;
	for (const char* name :
		 {"Prompt-Prefix", "Token-Counts", "Deadline-Remaining", "Last-Event-Id", "Length-Hint"})
	{
		fields.insert(name, text);
	}
	const platform::CallHeaders call = platform::readCallHeaders(fields);
	RC_ASSERT(call.parts.size() <= text.size() + 1);
	Fields answer;
	answer.insert("Keep-Alive", text);
	answer.insert("Confidence", text);
	platform::readAnswerHeaders(answer, 200);
}

TEST(Codec, PromptPartsAndCountsAreRead)
{
	Fields fields;
	fields.insert("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
	fields.insert("Token-Counts", "1460,80");
	fields.insert("Deadline-Remaining", "8000");
	fields.insert("Last-Event-Id", "12");
	const platform::CallHeaders call = platform::readCallHeaders(fields);
	ASSERT_EQ(call.parts.size(), 3u);
	EXPECT_EQ(call.parts[1].id, "91bd3f06");
	EXPECT_EQ(call.parts[1].tokens, 410u);
	EXPECT_EQ(call.promptTokens, 1460u);
	EXPECT_EQ(call.maxTokens, 80u);
	EXPECT_EQ(call.deadlineMs, 8000u);
	EXPECT_EQ(call.lastEventId, 12);
}

TEST(Codec, AConfidenceThatIsNoneSaysNothing)
{
	platform::Fields fields;
	fields.set("Confidence", "37.5");
	EXPECT_EQ(platform::readAnswerHeaders(fields, 200).confidence, 37.5);
	for (const char* text : {"-1", "100.5", "nan", "inf", "1e300", "sure", ""})
	{
		fields.set("Confidence", text);
		EXPECT_EQ(platform::readAnswerHeaders(fields, 200).confidence, std::nullopt) << text;
	}
}

TEST(Codec, ALimitThatIsNoAmountIsIgnoredByName)
{
	platform::Fields fields;
	EXPECT_TRUE(platform::readAnswerHeaders(fields, 200).invalidFields.empty());
	for (const char* text : {"1.4", "0", "250"})
	{
		fields.set("Server-Limit", text);
		EXPECT_EQ(platform::readAnswerHeaders(fields, 200).requestLimit, std::stod(text));
	}
	for (const char* text : {"-1", "nan", "inf", "1e999", "many", "", "1.4, 2"})
	{
		fields.set("Server-Limit", text);
		const platform::AnswerHeaders answer = platform::readAnswerHeaders(fields, 200);
		EXPECT_EQ(answer.requestLimit, std::nullopt) << text;
		EXPECT_EQ(answer.invalidFields, std::vector<std::string>{"Server-Limit"}) << text;
	}
	fields.set("Server-Limit", "1.4");
	fields.insert("Server-Limit", "2");
	EXPECT_EQ(platform::readAnswerHeaders(fields, 200).requestLimit, std::nullopt) << "twice";
}

TEST(Codec, ARestIsAskedForByAnUnavailableUpstreamThatDidNotRunTheRequest)
{
	platform::Fields fields;
	fields.set("Retry-After", "2.5");
	EXPECT_EQ(platform::readAnswerHeaders(fields, 503).restMs, std::nullopt) << "it may have run";
	fields.set("Not-Executed", "1");
	EXPECT_EQ(platform::readAnswerHeaders(fields, 503).restMs, 2500.0);
	EXPECT_EQ(platform::readAnswerHeaders(fields, 429).restMs, std::nullopt);
	for (const char* text : {"-3", "nan", "inf", "", "soon", "Wed, 21 Oct 2026 07:28:00 GMT"})
	{
		fields.set("Retry-After", text);
		const platform::AnswerHeaders answer = platform::readAnswerHeaders(fields, 503);
		EXPECT_EQ(answer.restMs, std::nullopt) << text;
		EXPECT_EQ(answer.invalidFields, std::vector<std::string>{"Retry-After"}) << text;
	}
}

TEST(Codec, AFlagIsSetByTheValueOneAlone)
{
	platform::Fields fields;
	EXPECT_FALSE(platform::readAnswerHeaders(fields, 200).leaving);
	fields.set("Server-Leaving", "1");
	EXPECT_TRUE(platform::readAnswerHeaders(fields, 503).leaving);
	for (const char* text : {"0", "", "yes", "11"})
	{
		fields.set("Server-Leaving", text);
		const platform::AnswerHeaders answer = platform::readAnswerHeaders(fields, 200);
		EXPECT_FALSE(answer.leaving) << text;
		EXPECT_EQ(answer.invalidFields, std::vector<std::string>{"Server-Leaving"}) << text;
	}
}

TEST(Codec, ARolloutStatusSurvivesTheWay)
{
	for (const RolloutState state :
		 {RolloutState::Running, RolloutState::Completed, RolloutState::RolledBack})
	{
		const RolloutStatus status =
			platform::decodeRolloutStatus(platform::encodeRolloutStatus({"v7", state}));
		EXPECT_EQ(status.version, "v7");
		EXPECT_EQ(status.state, state);
	}
}

TEST(Codec, AnAnswerOfTheStoreThatSaysRefusedWasNotDone)
{
	uint64_t revision = 0;
	try
	{
		platform::storeProtocol().decodeWrite({503, {}, ""}, revision);
		FAIL();
	}
	catch (const Failure& failure)
	{
		EXPECT_EQ(failure.refusal().run, RunState::No);
	}
	EXPECT_EQ(platform::storeProtocol().decodeWrite({412, {}, "{}"}, revision), CasResult::Conflict);
}
} // namespace
} // namespace spanplank
