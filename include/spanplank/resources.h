/// Resources that operators declare, and the revision under which each is in force.
#ifndef SPANPLANK_RESOURCES_H_HEADER_GUARD
#define SPANPLANK_RESOURCES_H_HEADER_GUARD

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace spanplank
{
/// Lifecycle of a version. Within one generation it only moves forwards.
enum class VersionState : uint8_t
{
	Candidate, ///< Answers requests within the exposure budget of its roll-out.
	Serving,   ///< Answers all requests of accounts that may use it.
	Retiring,  ///< Answers only requests of sessions that began on it.
	Withdrawn, ///< Answers no new requests.
};

NLOHMANN_JSON_SERIALIZE_ENUM(VersionState, {{VersionState::Candidate, "candidate"},
											{VersionState::Serving, "serving"},
											{VersionState::Retiring, "retiring"},
											{VersionState::Withdrawn, "withdrawn"}})

/// Customer of the operators, identified by its bearer keys.
struct ClientAccount
{
	std::vector<std::string> keyHashes; ///< SHA-256 digest of each bearer key, in hex.
	/// Names of the models, versions, cascades and services that it may use.
	std::vector<std::string> allowed;
	double weight = 1.0; ///< Relative share of the capacity among accounts with queued work.
};

/// Model with one or more versions.
struct Model
{
	double quality = 0.0; ///< Expected rating, 0 to 1; initial value of the estimate.
};

/// One version of a model.
struct Version
{
	std::string model;
	VersionState state = VersionState::Serving;
	uint32_t generation = 1;       ///< Increased to reinstate a version that was halted or withdrawn.
	double costPerKiloToken = 1.0; ///< Cost of 1000 tokens, in the operators' currency.
	double badRate = 0.02;         ///< Acceptable share of bad answers, 0 to 1.
	double haltRate = 0.10; ///< Share of bad answers, 0 to 1, that must be detected and halts the version.
};

/// Sequence of models from cheap to strong. The next step runs if the confidence of an answer is below the
/// threshold.
struct Cascade
{
	std::vector<std::string> steps; ///< Names of models or versions.
	double qualityTarget = 0.9;     ///< Mean rating to reach, 0 to 1.
	double confidence = 0.5; ///< Confidence threshold of all steps but the last, 0 to 1; initial value of the
							 ///< learnt threshold.
};

/// Roll-out of a candidate version.
struct Rollout
{
	std::string candidate;
	uint32_t exposure = 6;  ///< Maximum number of answers without a rating yet, over all boxes.
	double share = 0.05;    ///< Share of the model's requests that is offered to the candidate, 0 to 1.
	double badRate = 0.02;  ///< Acceptable share of bad answers, 0 to 1.
	double haltRate = 0.10; ///< Share of bad answers, 0 to 1, that must be detected.
	bool paused = false;
};

/// Plain service, without a model.
struct Service
{
	bool repeatable = true; ///< If false, calls with the same Idempotency-Key run at most once.
};

/// Resource as it is stored.
struct Resource
{
	std::string kind;
	std::string name;
	uint64_t revision = 0; ///< Store revision of its latest write.
	bool deleted = false;
	nlohmann::json spec;
	std::vector<std::string> ops; ///< Operation ids of its most recent writes, newest last.
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

/// Validates a resource.
/// @returns One line per error, in the form `path: reason`; empty if the resource is valid.
/// @remarks Unknown fields are errors.
std::vector<std::string> validateResource(const std::string& _kind, const std::string& _name,
										  const nlohmann::json& _spec);
} // namespace spanplank

#endif // SPANPLANK_RESOURCES_H_HEADER_GUARD
