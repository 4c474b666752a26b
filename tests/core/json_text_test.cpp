/// JSON that others have written: what can't be read is refused without an end of the process.
#include "spanplank/json_text.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace spanplank
{
namespace
{
using nlohmann::json;

std::string nested(size_t _levels)
{
	return std::string(_levels, '[') + std::string(_levels, ']');
}

TEST(JsonText, IsReadUpToTheDepthThatEveryUseOfItBears)
{
	const json value = readJson(nested(kMaxJsonDepth));
	EXPECT_EQ(json(value).dump(), nested(kMaxJsonDepth));
	EXPECT_TRUE(readJson(nested(kMaxJsonDepth + 1)).is_discarded());
	EXPECT_TRUE(readJson(R"({"a":)" + nested(kMaxJsonDepth) + "}").is_discarded());
	EXPECT_TRUE(readJson(nested(1000000)).is_discarded());
	EXPECT_EQ(readJson("[[],[],[]]").size(), 3u) << "levels that have ended do not count";
}

TEST(JsonText, WithANumberOutOfRangeIsDiscarded)
{
	EXPECT_TRUE(readJson(R"({"slots":1e999})").is_discarded());
	EXPECT_THROW(parseJson("[1e999]"), json::exception);
	EXPECT_EQ(readJson("[99999999999999999999]").at(0), 99999999999999999999.0);
}

TEST(JsonElements, AreThoseOfTheArrayWhateverTheyHold)
{
	EXPECT_EQ(jsonElements(R"( [ 1e999 , {"a":"],[\""} ,[1,2], ] )"),
			  (std::vector<std::string_view>{"1e999", R"({"a":"],[\""})", "[1,2]", ""}));
	EXPECT_TRUE(jsonElements("[ ]").empty());
	EXPECT_TRUE(jsonElements("{}").empty());
	EXPECT_TRUE(jsonElements("").empty());
}

RC_GTEST_PROP(JsonElements, OfWrittenArraysAreReadAgain, ())
{
	json array = json::array();
	for (const auto& text : *rc::gen::container<std::vector<std::string>>(rc::gen::string<std::string>()))
	{
		const json field = json::parse(json(text).dump(-1, ' ', true, json::error_handler_t::replace));
		array.push_back(json{{"name", field}, {"list", {1, field}}});
	}
	const std::string text = array.dump();
	const std::vector<std::string_view> elements = jsonElements(text);
	RC_ASSERT(elements.size() == array.size());
	for (size_t ii = 0; ii < elements.size(); ++ii)
	{
		RC_ASSERT(parseJson(elements[ii]) == array[ii]);
	}
}
} // namespace
} // namespace spanplank
