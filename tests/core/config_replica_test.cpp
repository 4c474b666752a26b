/// Configuration replica: updates in any order, repeated or lost, lead to the same state, which never
/// reverts.
#include "spanplank/config_replica.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace spanplank
{
namespace
{
Resource versionAt(const std::string& _name, uint64_t _revision, VersionState _state,
				   uint32_t _generation = 1)
{
	Version version;
	version.model = "m";
	version.state = _state;
	version.generation = _generation;
	return {kKindVersion, _name, _revision, false, version, {}};
}

Resource accountAt(uint64_t _revision, std::vector<std::string> _allowed, std::vector<std::string> _hashes)
{
	ClientAccount account;
	account.allowed = std::move(_allowed);
	account.keyHashes = std::move(_hashes);
	return {kKindAccount, "acct", _revision, false, account, {}};
}

ConfigUpdate updateOf(uint64_t _base, uint64_t _revision, std::vector<Resource> _changes)
{
	ConfigUpdate update;
	update.base = _base;
	update.revision = _revision;
	update.changes = std::move(_changes);
	return update;
}

TEST(ConfigReplica, AnyOrderAndRepetitionGivesTheNewestOfEach)
{
	const bool passed = rc::check("newest wins", [](const std::vector<uint8_t>& _order) {
		ConfigReplica replica;
		std::map<std::string, uint64_t> newest; // Reference model: the highest revision by name.
		uint64_t revision = 0;
		for (const uint8_t number : _order)
		{
			const uint64_t changed = uint64_t(number) + 1;
			const std::string name = "v" + std::to_string(number % 5);
			Resource resource = versionAt(name, changed, VersionState::Serving, uint32_t(changed));
			apply(replica, updateOf(0, changed, {resource}));
			newest[name] = std::max(newest[name], changed);
			RC_ASSERT(replica.revision >= revision);
			revision = replica.revision;
		}
		for (const auto& [name, expected] : newest)
		{
			RC_ASSERT(replica.resources.at({kKindVersion, name}).revision == expected);
			RC_ASSERT(replica.versions.at(name).generation == expected);
		}
	});
	EXPECT_TRUE(passed);
}

TEST(ConfigReplica, GapIsNotApplied)
{
	ConfigReplica replica;
	EXPECT_EQ(apply(replica, updateOf(5, 6, {versionAt("v", 6, VersionState::Serving)})), ApplyResult::Gap);
	EXPECT_TRUE(replica.versions.empty());
}

TEST(ConfigReplica, WithdrawnStaysWithdrawnForItsGeneration)
{
	ConfigReplica replica;
	apply(replica, updateOf(0, 1, {versionAt("v", 1, VersionState::Serving)}));
	EXPECT_TRUE(mayServe(replica, "v", false));
	applyHalt(replica, {"v", 1, "bad"});
	EXPECT_FALSE(mayServe(replica, "v", false));
	EXPECT_FALSE(mayServe(replica, "v", true));
	apply(replica, updateOf(1, 2, {versionAt("v", 2, VersionState::Serving)}));
	EXPECT_FALSE(mayServe(replica, "v", false)) << "the same generation must not serve again";
	apply(replica, updateOf(2, 3, {versionAt("v", 3, VersionState::Serving, 2)}));
	EXPECT_TRUE(mayServe(replica, "v", false));
}

TEST(ConfigReplica, HaltBeforeItsVersionIsKnown)
{
	ConfigReplica replica;
	EXPECT_TRUE(applyHalt(replica, {"v", 1, "bad"}));
	EXPECT_FALSE(applyHalt(replica, {"v", 1, "again"}));
	apply(replica, updateOf(0, 1, {versionAt("v", 1, VersionState::Serving)}));
	EXPECT_FALSE(mayServe(replica, "v", false));
}

TEST(ConfigReplica, RetiringServesSessionsOnly)
{
	ConfigReplica replica;
	apply(replica, updateOf(0, 1, {versionAt("v", 1, VersionState::Retiring)}));
	EXPECT_FALSE(mayServe(replica, "v", false));
	EXPECT_TRUE(mayServe(replica, "v", true));
}

TEST(ConfigReplica, AllowedByModelOrVersionOnly)
{
	ConfigReplica replica;
	apply(replica, updateOf(0, 2, {versionAt("v", 1, VersionState::Serving), accountAt(2, {"m"}, {"h"})}));
	EXPECT_TRUE(allowsVersion(replica, "acct", "v"));
	apply(replica, updateOf(2, 3, {accountAt(3, {"other"}, {"h"})}));
	EXPECT_FALSE(allowsVersion(replica, "acct", "v"));
	EXPECT_FALSE(allowsVersion(replica, "nobody", "v"));
}

TEST(ConfigReplica, RemovedKeyIsGone)
{
	ConfigReplica replica;
	apply(replica, updateOf(0, 1, {accountAt(1, {"m"}, {"h1", "h2"})}));
	apply(replica, updateOf(1, 2, {accountAt(2, {"m"}, {"h2"})}));
	EXPECT_EQ(replica.accountByKeyHash.count("h1"), 0u);
	EXPECT_EQ(replica.accountByKeyHash.count("h2"), 1u);
}

// A key that two accounts held was gone once one of them had removed it.
TEST(ConfigReplica, AKeyOfTwoAccountsWorksUntilBothHaveRemovedIt)
{
	ConfigReplica replica;
	Resource other = accountAt(2, {"m"}, {"h1"});
	other.name = "other";
	apply(replica, updateOf(0, 2, {accountAt(1, {"m"}, {"h1"}), other}));
	Resource without = accountAt(3, {"m"}, {"h2"});
	without.name = "other";
	apply(replica, updateOf(2, 3, {without}));
	ASSERT_EQ(replica.accountByKeyHash.count("h1"), 1u);
	EXPECT_EQ(replica.accountByKeyHash.at("h1"), "acct");
	apply(replica, updateOf(3, 4, {accountAt(4, {"m"}, {})}));
	EXPECT_EQ(replica.accountByKeyHash.count("h1"), 0u);
}

// A resource of another type than its kind's ended the update with an exception, after a part of it was in
// force.
TEST(ConfigReplica, AResourceThatCantBeReadSpoilsNoOther)
{
	for (const nlohmann::json& spec :
		 {nlohmann::json(7), nlohmann::json::array(), nlohmann::json{{"keyHashes", 7}, {"allowed", {"m"}}},
		  nlohmann::json{{"keyHashes", {1, 2}}, {"allowed", {"m"}}}})
	{
		ConfigReplica replica;
		apply(replica, updateOf(0, 1, {accountAt(1, {"m"}, {"h1"})}));
		const Resource wrong{kKindAccount, "acct", 2, false, spec, {}};
		ASSERT_NO_THROW(apply(replica, updateOf(1, 3, {wrong, versionAt("v", 3, VersionState::Serving)})));
		EXPECT_EQ(replica.versions.count("v"), 1u) << spec;
		EXPECT_EQ(replica.revision, 3u);
		EXPECT_EQ(replica.accountByKeyHash.count("h1"), 1u) << "the last one that could be read holds";
		apply(replica, updateOf(3, 4, {accountAt(4, {"m"}, {"h2"})}));
		EXPECT_EQ(replica.accountByKeyHash.count("h1"), 0u);
		EXPECT_EQ(replica.accountByKeyHash.count("h2"), 1u);
	}
}

TEST(ConfigReplica, UpdateSinceCarriesOneReplicaToAnother)
{
	ConfigReplica first;
	apply(
		first,
		updateOf(0, 4, {versionAt("a", 2, VersionState::Serving), versionAt("b", 4, VersionState::Serving)}));
	ConfigReplica second;
	EXPECT_EQ(apply(second, updateSince(first, 0)), ApplyResult::Applied);
	EXPECT_EQ(second.revision, 4u);
	EXPECT_EQ(second.versions.size(), 2u);
	EXPECT_EQ(apply(second, updateSince(first, 4)), ApplyResult::Unchanged);
}
} // namespace
} // namespace spanplank
