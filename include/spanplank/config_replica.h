/// The operators' configuration as one process holds it: applies only what is newer, never reverts.
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
/// Names a resource: kind, then name.
using ResourceKey = std::pair<std::string, std::string>;

/// Changes to apply, with the revision that they complete.
struct ConfigUpdate
{
	uint64_t revision = 0; ///< Every change up to here is known to the sender.
	uint64_t base = 0;     ///< `changes` holds all that came after this revision.
	std::vector<Resource> changes;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigUpdate, revision, base, changes)

/// A withdrawn or halted version generation. A set of these only grows.
struct Halt
{
	std::string version;
	uint32_t generation = 0;
	std::string reason;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Halt, version, generation, reason)

struct ConfigReplica
{
	uint64_t revision = 0;
	std::map<ResourceKey, Resource> resources; ///< Deleted ones stay, as marks.

	std::map<std::string, ClientAccount, std::less<>> accounts;
	std::map<std::string, std::string, std::less<>> accountByKeyHash;
	std::map<std::string, Model, std::less<>> models;
	std::map<std::string, Version, std::less<>> versions;
	std::map<std::string, Cascade, std::less<>> cascades;
	std::map<std::string, Rollout, std::less<>> rollouts;
	std::map<std::string, Service, std::less<>> services;
	std::map<std::string, uint32_t, std::less<>> haltedGeneration; ///< Highest halted generation by version.
};

enum class ApplyResult : uint8_t
{
	Applied,
	Known, ///< Nothing in it was newer.
	Gap,   ///< It starts after what is held: ask for a full update.
};

/// Applies an update. A resource moves only to a higher revision.
ApplyResult apply(ConfigReplica& _replica, const ConfigUpdate& _update);

/// Obeys a halt, before or after the store has heard of it.
/// @returns Whether it was news.
bool applyHalt(ConfigReplica& _replica, const Halt& _halt);

/// @returns All that is newer than a revision, as an update; `_since` 0 gives a full one.
ConfigUpdate updateSince(const ConfigReplica& _replica, uint64_t _since);

/// @returns Whether a version may get work: known, neither withdrawn nor halted; a retiring one only for a
/// session that began on it.
bool mayServe(const ConfigReplica& _replica, std::string_view _version, bool _session);

/// @returns Whether the account may use the version, by its own name or its model's.
bool allowsVersion(const ConfigReplica& _replica, std::string_view _account, std::string_view _version);

/// @returns Whether the account's list names a service, model, version or cascade.
bool allowsName(const ConfigReplica& _replica, std::string_view _account, std::string_view _name);

/// @returns The roll-out of a candidate version, or null.
const Rollout* rolloutOf(const ConfigReplica& _replica, std::string_view _version);
} // namespace spanplank

#endif // SPANPLANK_CONFIG_REPLICA_H_HEADER_GUARD
