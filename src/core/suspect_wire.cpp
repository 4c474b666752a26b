/// Encoding of suspects in messages between routers and in the store.
#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

#include "spanplank/crash_suspects.h"

namespace spanplank
{
namespace
{
constexpr size_t kFieldsPerCrash = 5;
constexpr size_t kFieldsPerWitness = 2;
constexpr size_t kPartAt = 8; ///< Only of prompt parts: for each crash the time of writing and the witnesses.

/// @returns Bytes of a label, which may be no UTF-8, as text that JSON can hold.
std::string encodeLabel(const std::string& _label)
{
	return absl::CHexEscape(_label);
}

/// @returns The bytes of a label. One that no escape was meant in, of an earlier version, stays as it is.
std::string decodeLabel(const std::string& _text)
{
	std::string label;
	return absl::CUnescape(_text, &label) ? label : _text;
}

nlohmann::json encodeWitnesses(const std::vector<ObservedCrash>& _crashes)
{
	nlohmann::json::array_t rows;
	rows.reserve(_crashes.size());
	for (const ObservedCrash& crash : _crashes)
	{
		nlohmann::json::array_t row{crash.writingFor};
		for (const CrashWitness& witness : crash.witnesses)
		{
			row.emplace_back(witness.request);
			row.emplace_back(witness.account);
		}
		rows.emplace_back(std::move(row));
	}
	return nlohmann::json(std::move(rows));
}

void decodeWitnesses(const nlohmann::json& _rows, std::vector<ObservedCrash>& _crashes)
{
	for (size_t ii = 0; ii < _crashes.size() && ii < _rows.size(); ++ii)
	{
		const nlohmann::json& row = _rows.at(ii);
		ObservedCrash& crash = _crashes[ii];
		crash.writingFor = row.at(0).get<TimeUs>();
		for (size_t at = 1; at + kFieldsPerWitness <= row.size() && crash.witnesses.size() < kMaxWitnesses;
			 at += kFieldsPerWitness)
		{
			crash.witnesses.push_back({row.at(at).get<uint64_t>(), row.at(at + 1).get<uint64_t>()});
		}
	}
}
} // namespace

void to_json(nlohmann::json& _json, const SuspectUpdate& _update)
{
	const CrashSuspect& suspect = _update.suspect;
	nlohmann::json::array_t seen;
	seen.reserve(suspect.crashes.size() * kFieldsPerCrash);
	for (const ObservedCrash& crash : suspect.crashes)
	{
		seen.emplace_back(crash.upstream);
		seen.emplace_back(crash.at);
		seen.emplace_back(crash.runningFor);
		seen.emplace_back(crash.upstreams);
		seen.emplace_back(crash.copies);
	}
	_json = nlohmann::json::array({_update.digest.high, _update.digest.low, encodeLabel(suspect.label),
								   suspect.epoch, suspect.answered, suspect.refusals, suspect.refusedAt,
								   nlohmann::json(std::move(seen))});
	if (suspect.kind == SuspectKind::PromptPart)
	{
		_json.push_back(encodeWitnesses(suspect.crashes));
	}
}

void from_json(const nlohmann::json& _json, SuspectUpdate& _update)
{
	CrashSuspect& suspect = _update.suspect;
	_json.at(0).get_to(_update.digest.high);
	_json.at(1).get_to(_update.digest.low);
	suspect.label = decodeLabel(_json.at(2).get_ref<const std::string&>());
	_json.at(3).get_to(suspect.epoch);
	_json.at(4).get_to(suspect.answered);
	_json.at(5).get_to(suspect.refusals);
	_json.at(6).get_to(suspect.refusedAt);
	const nlohmann::json& seen = _json.at(7);
	for (size_t at = 0; at + kFieldsPerCrash <= seen.size() && suspect.crashes.size() < kMaxCrashesPerSuspect;
		 at += kFieldsPerCrash)
	{
		ObservedCrash crash;
		seen.at(at).get_to(crash.upstream);
		seen.at(at + 1).get_to(crash.at);
		seen.at(at + 2).get_to(crash.runningFor);
		seen.at(at + 3).get_to(crash.upstreams);
		seen.at(at + 4).get_to(crash.copies);
		suspect.crashes.push_back(crash);
	}
	if (_json.size() > kPartAt)
	{
		suspect.kind = SuspectKind::PromptPart;
		decodeWitnesses(_json.at(kPartAt), suspect.crashes);
	}
}
} // namespace spanplank
