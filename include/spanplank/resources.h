/// The operators' resources: what they declare, and the revision under which it is in force.
#ifndef SPANPLANK_RESOURCES_H_HEADER_GUARD
#define SPANPLANK_RESOURCES_H_HEADER_GUARD

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace spanplank
{
/// Life of a version. It moves forwards only, within one generation.
enum class VersionState : uint8_t
{
	Candidate, ///< Answers within its roll-out's exposure budget.
	Serving,   ///< Answers everything that it is allowed for.
	Retiring,  ///< Answers only sessions that began on it.
	Withdrawn, ///< Answers nothing new.
};

NLOHMANN_JSON_SERIALIZE_ENUM(VersionState, {{VersionState::Candidate, "candidate"},
											{VersionState::Serving, "serving"},
											{VersionState::Retiring, "retiring"},
											{VersionState::Withdrawn, "withdrawn"}})

/// A customer of the operators.
struct ClientAccount
{
	std::vector<std::string> keyHashes; ///< SHA-256 of each bearer key, hex.
	std::vector<std::string> allowed;   ///< Models, versions, cascades and services by name.
	double weight = 1.0;                ///< Share of capacity among accounts that wait.
};

/// A model: a family of versions.
struct Model
{
	double quality = 0.0; ///< Expected rating, 0 to 1; a start for what is learnt.
};

/// One version of a model.
struct Version
{
	std::string model;
	VersionState state = VersionState::Serving;
	uint32_t generation = 1;       ///< Raised to bring back a version that was halted or withdrawn.
	double costPerKiloToken = 1.0; ///< In the operators' currency.
	double badRate = 0.02;         ///< Share of bad answers that is acceptable while it serves.
	double haltRate = 0.10;        ///< Share of bad answers at which it must be found and halted.
};

/// From cheap to strong: a later step is asked when an earlier one's answer does not satisfy.
struct Cascade
{
	std::vector<std::string> steps; ///< Models or versions.
	double qualityTarget = 0.9;     ///< Mean rating to hold, 0 to 1.
	double confidence = 0.5;        ///< Start of the learnt threshold for the earlier steps.
};

/// A roll-out of a candidate version.
struct Rollout
{
	std::string candidate;
	uint32_t exposure = 6;  ///< Most answers whose ratings are not in, over all boxes.
	double share = 0.05;    ///< Share of the model's requests that are offered to the candidate.
	double badRate = 0.02;  ///< Rate of bad answers that is acceptable.
	double haltRate = 0.10; ///< Rate of bad answers that must be found.
	bool paused = false;
};

/// A plain service beside the engines.
struct Service
{
	bool repeatable = true; ///< false: a call with the same Idempotency-Key runs at most once.
};

/// One resource as the store keeps it.
struct Resource
{
	std::string kind;
	std::string name;
	uint64_t revision = 0; ///< Store revision of the write that put it in force.
	bool deleted = false;
	nlohmann::json spec;
	std::vector<std::string> ops; ///< Operation ids of its latest writes, newest last.
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ClientAccount, keyHashes, allowed, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Model, quality)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Version, model, state, generation, costPerKiloToken, badRate,
												haltRate)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Cascade, steps, qualityTarget, confidence)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Rollout, candidate, exposure, share, badRate, haltRate,
												paused)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Service, repeatable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Resource, kind, name, revision, deleted, spec, ops)

constexpr const char* kKindAccount = "accounts";
constexpr const char* kKindModel = "models";
constexpr const char* kKindVersion = "versions";
constexpr const char* kKindCascade = "cascades";
constexpr const char* kKindRollout = "rollouts";
constexpr const char* kKindService = "services";

/// Checks a resource as a whole.
/// @returns One line for each mistake, as `path: what is wrong`; empty if it is valid.
/// @remarks Unknown fields are mistakes.
std::vector<std::string> checkResource(const std::string& _kind, const std::string& _name,
									   const nlohmann::json& _spec);
} // namespace spanplank

#endif // SPANPLANK_RESOURCES_H_HEADER_GUARD
