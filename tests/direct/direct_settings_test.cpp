/// Settings of a direct router: what the box gives it.
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <unistd.h>

#include "settings_p.h"
#include "spanplank/peer_tree.h"

namespace spanplank
{
namespace
{
/// A settings file with the lines that are needed, and more.
struct DirectSettingsTest : testing::Test
{
	std::string file = std::filesystem::temp_directory_path() /
					   ("spanplank-settings-" + std::to_string(::getpid()) + ".yaml");

	~DirectSettingsTest() override
	{
		std::filesystem::remove(file);
	}

	DirectSettings load(const std::string& _more)
	{
		std::ofstream(file)
			<< "upstreams: direct\nbox: a\nhall: b\nlisten: 127.0.0.1:1\nreadiness: 127.0.0.1:2\n"
			   "metrics: 127.0.0.1:3\nstore: 127.0.0.1:4\n"
			<< _more;
		return loadDirectSettings(file);
	}
};

TEST_F(DirectSettingsTest, TheCapacityOfTheBoxBoundsTheFollowers)
{
	EXPECT_EQ(maxFollowers(load("").capacity), 50u);
	EXPECT_EQ(maxFollowers(load("processorShare: 0.09\nlinkMbps: 20.0\n").capacity), 4u);
	EXPECT_EQ(maxFollowers(load("processorShare: 0.5\nlinkMbps: 10\n").capacity), 10u) << "the link binds";
}

TEST_F(DirectSettingsTest, RegionsOfHallsAreAMappingOrNone)
{
	EXPECT_TRUE(load("regions:\n").regions.empty());
	EXPECT_EQ(load("regions: {\"b\": \"south\"}\n").regions.at("b"), "south");
	EXPECT_THROW(load("regions: [south]\n"), SettingsFailure);
}

TEST_F(DirectSettingsTest, ACapacityOfNothingIsAMistake)
{
	try
	{
		load("processorShare: 0\nlinkMbps: none\n");
		FAIL() << "accepted";
	}
	catch (const SettingsFailure& failure)
	{
		ASSERT_EQ(failure.mistakes().size(), 2u);
		EXPECT_EQ(failure.mistakes()[0].path, "processorShare");
		EXPECT_EQ(failure.mistakes()[1].path, "linkMbps");
	}
}
} // namespace
} // namespace spanplank
