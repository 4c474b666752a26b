/// A process's copy of the operators' configuration. Applies only newer resources and never reverts.
#ifndef SPANPLANK_CONFIG_REPLICA_H_HEADER_GUARD
#define SPANPLANK_CONFIG_REPLICA_H_HEADER_GUARD

#include <absl/types/span.h>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "spanplank/resources.h"

namespace spanplank
{
/// Kind and name of a resource.
using ResourceKey = std::pair<std::string, std::string>;

/// Changes between two revisions of the configuration.
struct ConfigUpdate
{
	uint64_t revision = 0; ///< The sender has all changes up to this revision.
	uint64_t base = 0;     ///< `changes` holds all changes after this revision.
	std::vector<Resource> changes;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigUpdate, revision, base, changes)

/// A withdrawn or halted generation of a version. Halts are never revoked.
struct Halt
{
	std::string version;
	uint32_t generation = 0;
	std::string reason;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Halt, version, generation, reason)

/// The resources, and look-up tables of them.
struct ConfigReplica
{
	uint64_t revision = 0;
	std::map<ResourceKey, Resource> resources; ///< Includes deleted ones, as tombstones.

	std::map<std::string, ClientAccount, std::less<>> accounts;
	std::map<std::string, std::string, std::less<>> accountByKeyHash;
	std::map<std::string, Model, std::less<>> models;
	std::map<std::string, Version, std::less<>> versions;
	std::map<std::string, Cascade, std::less<>> cascades;
	std::map<std::string, Rollout, std::less<>> rollouts;
	std::map<std::string, Service, std::less<>> services;
	std::map<std::string, uint32_t, std::less<>> haltedGeneration; ///< Highest halted generation, by version.
	uint64_t rejected = 0; ///< Changes that were skipped, as their specification can't be read.
};

/// Result of `apply`.
enum class ApplyResult : uint8_t
{
	Applied,
	Unchanged, ///< The update contained nothing newer.
	Gap,       ///< The update starts after the replica's revision: a full update is needed.
};

/// Applies an update. Resources with a lower or equal revision are skipped, and those that can't be read.
ApplyResult apply(ConfigReplica& _replica, const ConfigUpdate& _update);

/// Applies a halt, which need not be in the store yet. @returns Whether it was new.
bool applyHalt(ConfigReplica& _replica, const Halt& _halt);

/// @returns All changes after a revision; a full update for `_since` 0.
ConfigUpdate updateSince(const ConfigReplica& _replica, uint64_t _since);

/// @returns Whether a version may serve a request: it is known and neither withdrawn nor halted. A retiring
/// one serves only sessions that began on it (`_session`).
bool mayServe(const ConfigReplica& _replica, std::string_view _version, bool _session);

/// @returns Whether the account's list contains the version or its model.
bool allowsVersion(const ConfigReplica& _replica, std::string_view _account, std::string_view _version);

/// @returns Whether the account's list contains a service, model, version or cascade.
bool allowsName(const ConfigReplica& _replica, std::string_view _account, std::string_view _name);

/// @returns The roll-out whose candidate is the version, or null.
const Rollout* rolloutOf(const ConfigReplica& _replica, std::string_view _version);
} // namespace spanplank

#endif // SPANPLANK_CONFIG_REPLICA_H_HEADER_GUARD
