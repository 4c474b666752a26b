/// Messages between a router and its parent. They are CBOR arrays on the wire, without field names.
#ifndef SPANPLANK_PEER_MESSAGES_H_HEADER_GUARD
#define SPANPLANK_PEER_MESSAGES_H_HEADER_GUARD

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "spanplank/change_log.h"
#include "spanplank/crash_suspects.h"
#include "spanplank/engine_speed.h"
#include "spanplank/home_share.h"
#include "spanplank/load_share.h"
#include "spanplank/peer_follow.h"
#include "spanplank/retry_lending.h"
#include "spanplank/store_item.h"
#include "spanplank/types.h"
#include "spanplank/upstream_table.h"
#include "spanplank/usage_ledger.h"
#include "spanplank/version_trial.h"

namespace spanplank
{
/// Sent periodically by a router to its parent.
struct PeerPing
{
	uint64_t seq = 0;                    ///< Increases with each ping of a link.
	std::vector<LoadChange> loads;       ///< Loads in the sender's subtree that changed since the last ping.
	std::vector<NewHome> homes;          ///< Homes learned since the last ping, except from the receiver.
	std::vector<TrialHalt> halts;        ///< Halts that are not in the store yet.
	std::vector<TrialUpdate> trials;     ///< Evidence of the running trials.
	std::vector<SuspectUpdate> suspects; ///< Suspects that changed since the last ping over this link.
	std::vector<UsageRow> usage;     ///< Usage in the sender's subtree that changed since it was last sent.
	std::vector<LimitUpdate> limits; ///< Limits of upstreams that changed since the last ping over this link.
	std::vector<SpeedRow> speeds;    ///< Samples of upstreams' speeds since the last ping.
	std::vector<LoadChange> accounts; ///< Use by client accounts that changed since the last ping.
	std::vector<RetryRow> retries;    ///< Retries wanted and lent.
	/// Sequence number of the last answer over this link before the loans in this message were made; 0 if
	/// there was none. It tells the receiver, by its own clock, how old they may be.
	uint64_t answered = 0;
};

/// Answers a `PeerPing`.
struct PeerPong
{
	uint64_t seq = 0;      ///< Sequence number of the ping.
	uint64_t revision = 0; ///< Store revision up to which the sender has all changes.
	/// Time, at sending, since the moment for which the store confirmed that revision, us.
	TimeUs confirmationAge = 0;
	/// Loads of routers outside the receiver's subtree that changed since the last answer.
	std::vector<LoadChange> loads;
	std::vector<NewHome> homes;          ///< Homes learned since the last answer, except from the receiver.
	bool stopping = false;               ///< The sender shuts down: the receiver must choose another parent.
	std::vector<TrialHalt> halts;        ///< Halts that are not in the store yet.
	std::vector<PeerKey> chain;          ///< The sender, its parent, and so on; used to detect cycles.
	std::vector<TrialUpdate> trials;     ///< Evidence of the running trials.
	std::vector<SuspectUpdate> suspects; ///< Suspects that changed since the last answer over this link.
	TimeUs wall = 0;                     ///< The sender's time of day, us since 1970.
	std::vector<LimitUpdate>
		limits;                   ///< Limits of upstreams that changed since the last answer over this link.
	std::vector<SpeedRow> speeds; ///< Samples of upstreams' speeds since the last answer.
	std::vector<LoadChange> accounts; ///< Use by client accounts that changed since the last answer.
	std::vector<RetryRow> retries;    ///< Retries wanted and lent.
};

/// Requests the store changes that the sender missed, from its parent.
struct StoreChangesRequest
{
	uint64_t knownRevision = 0; ///< Revision up to which the sender has all changes.
};

/// The complete contents of the store, forwarded by a router that had to list it again.
struct StoreSnapshot
{
	uint64_t revision = 0;
	std::vector<StoreItem> items;
};

/// Requests that the parent keeps the sender's registration in the store, together with its own and those of
/// its other followers, under one lease.
struct PeerRegistrationRequest
{
	std::string box;
	std::string value; ///< The registration as it is written to the store.
};

/// Requests the receiver's configuration if it is newer. Sent by a router that has started blank.
struct PeerConfigRequest
{
	uint64_t version = 0; ///< Version that the sender has; 0 if none.
};

/// Answers a `PeerConfigRequest`.
struct PeerConfig
{
	bool confirmed = false; ///< The sender takes requests with its configuration.
	uint64_t version = 0;
	uint64_t revision = 0; ///< Store revision of the record.
	std::string record; ///< The configuration as the store held it; empty if it is not newer than requested.
};

/// Lists of many small elements are encoded as flat arrays of numbers. These are the numbers per element.
constexpr size_t kNumbersPerLoad = 3;
constexpr size_t kNumbersPerHome = 2;
constexpr size_t kNumbersPerEvidenceRow = 23;
constexpr size_t kNumbersPerLimit = 3; ///< The last one is null if no limit is in force.
constexpr size_t kNumbersPerSpeed = 5;
constexpr size_t kNumbersPerRetry = 4;

inline nlohmann::json encodeLoads(const std::vector<LoadChange>& _loads)
{
	nlohmann::json::array_t numbers;
	numbers.reserve(_loads.size() * kNumbersPerLoad);
	for (const LoadChange& change : _loads)
	{
		numbers.emplace_back(change.upstream);
		numbers.emplace_back(change.load.prefillMs);
		numbers.emplace_back(change.load.inFlight);
	}
	return numbers;
}

/// Held tokens of the rows of `encodeLoads`, in the same order. They are a list of their own, since routers
/// of earlier versions expect three numbers for each load.
inline nlohmann::json encodeLoadTokens(const std::vector<LoadChange>& _loads)
{
	nlohmann::json::array_t numbers;
	numbers.reserve(_loads.size());
	for (const LoadChange& change : _loads)
	{
		numbers.emplace_back(change.load.tokenUnits);
	}
	return numbers;
}

inline nlohmann::json encodeSpeeds(const std::vector<SpeedRow>& _rows)
{
	nlohmann::json::array_t numbers;
	numbers.reserve(_rows.size() * kNumbersPerSpeed);
	for (const SpeedRow& row : _rows)
	{
		numbers.emplace_back(row.upstream);
		numbers.emplace_back(row.firstTokens);
		numbers.emplace_back(row.firstTokenSum);
		numbers.emplace_back(row.streams);
		numbers.emplace_back(row.streamSum);
	}
	return numbers;
}

inline nlohmann::json encodeRetries(const std::vector<RetryRow>& _rows)
{
	nlohmann::json::array_t numbers;
	numbers.reserve(_rows.size() * kNumbersPerRetry);
	for (const RetryRow& row : _rows)
	{
		numbers.emplace_back(row.service);
		numbers.emplace_back(row.wanted);
		numbers.emplace_back(row.lent);
		numbers.emplace_back(row.leftMs);
	}
	return numbers;
}

inline nlohmann::json encodeHomes(const std::vector<NewHome>& _homes)
{
	nlohmann::json::array_t numbers;
	numbers.reserve(_homes.size() * kNumbersPerHome);
	for (const NewHome& home : _homes)
	{
		numbers.emplace_back(home.upstream);
		numbers.emplace_back(home.part);
	}
	return numbers;
}

inline nlohmann::json encodeLimits(const std::vector<LimitUpdate>& _limits)
{
	nlohmann::json::array_t numbers;
	numbers.reserve(_limits.size() * kNumbersPerLimit);
	for (const LimitUpdate& update : _limits)
	{
		const std::optional<double> perSecond = update.limit.perSecond;
		numbers.emplace_back(update.upstream);
		numbers.emplace_back(update.limit.version);
		numbers.push_back(perSecond ? nlohmann::json(*perSecond) : nlohmann::json());
	}
	return numbers;
}

/// Decodes the list at an index. Routers of earlier versions send none, or another format; it is empty then.
inline void decodeLoads(const nlohmann::json& _json, size_t _at, std::vector<LoadChange>& _loads)
{
	if (_json.size() <= _at || !_json.at(_at).is_array())
	{
		return;
	}
	const nlohmann::json& numbers = _json.at(_at);
	for (size_t ii = 0; ii + kNumbersPerLoad <= numbers.size(); ii += kNumbersPerLoad)
	{
		const LoadCount load{numbers.at(ii + 1).get<int32_t>(), numbers.at(ii + 2).get<int32_t>()};
		_loads.push_back({numbers.at(ii).get<UpstreamKey>(), load});
	}
}

/// Sets the held tokens of decoded loads. A list of another length belongs to no version and is ignored.
inline void decodeLoadTokens(const nlohmann::json& _json, size_t _at, std::vector<LoadChange>& _loads)
{
	if (_json.size() <= _at || !_json.at(_at).is_array() || _json.at(_at).size() != _loads.size())
	{
		return;
	}
	for (size_t ii = 0; ii < _loads.size(); ++ii)
	{
		_json.at(_at).at(ii).get_to(_loads[ii].load.tokenUnits);
	}
}

/// As `decodeLoads`.
inline void decodeSpeeds(const nlohmann::json& _json, size_t _at, std::vector<SpeedRow>& _rows)
{
	if (_json.size() <= _at || !_json.at(_at).is_array())
	{
		return;
	}
	const nlohmann::json& numbers = _json.at(_at);
	for (size_t ii = 0; ii + kNumbersPerSpeed <= numbers.size(); ii += kNumbersPerSpeed)
	{
		_rows.push_back({numbers.at(ii).get<UpstreamKey>(), numbers.at(ii + 1).get<uint32_t>(),
						 numbers.at(ii + 2).get<int32_t>(), numbers.at(ii + 3).get<uint32_t>(),
						 numbers.at(ii + 4).get<int32_t>()});
	}
}

/// As `decodeLoads`.
inline void decodeRetries(const nlohmann::json& _json, size_t _at, std::vector<RetryRow>& _rows)
{
	if (_json.size() <= _at || !_json.at(_at).is_array())
	{
		return;
	}
	const nlohmann::json& numbers = _json.at(_at);
	for (size_t ii = 0; ii + kNumbersPerRetry <= numbers.size(); ii += kNumbersPerRetry)
	{
		_rows.push_back({numbers.at(ii).get<ServiceKey>(), numbers.at(ii + 1).get<uint32_t>(),
						 numbers.at(ii + 2).get<uint32_t>(), numbers.at(ii + 3).get<uint32_t>()});
	}
}

constexpr size_t kLoadControlLists = 5; ///< Of `encodeLoadControl`.

/// Appends what `PeerPing` and `PeerPong` tell alike about load.
template <typename Message>
void encodeLoadControl(nlohmann::json& _json, const Message& _message)
{
	_json.push_back(encodeLoadTokens(_message.loads));
	_json.push_back(encodeSpeeds(_message.speeds));
	_json.push_back(encodeLoads(_message.accounts));
	_json.push_back(encodeLoadTokens(_message.accounts));
	_json.push_back(encodeRetries(_message.retries));
}

/// @param[in] _at Index of the first list of `encodeLoadControl`.
template <typename Message>
void decodeLoadControl(const nlohmann::json& _json, size_t _at, Message& _message)
{
	decodeLoadTokens(_json, _at, _message.loads);
	decodeSpeeds(_json, _at + 1, _message.speeds);
	decodeLoads(_json, _at + 2, _message.accounts);
	decodeLoadTokens(_json, _at + 3, _message.accounts);
	decodeRetries(_json, _at + 4, _message.retries);
}

/// As `decodeLoads`.
inline void decodeHomes(const nlohmann::json& _json, size_t _at, std::vector<NewHome>& _homes)
{
	if (_json.size() <= _at || !_json.at(_at).is_array())
	{
		return;
	}
	const nlohmann::json& numbers = _json.at(_at);
	for (size_t ii = 0; ii + kNumbersPerHome <= numbers.size(); ii += kNumbersPerHome)
	{
		_homes.push_back({numbers.at(ii + 1).get<uint64_t>(), numbers.at(ii).get<UpstreamKey>()});
	}
}

/// As `decodeLoads`.
inline void decodeLimits(const nlohmann::json& _json, size_t _at, std::vector<LimitUpdate>& _limits)
{
	if (_json.size() <= _at || !_json.at(_at).is_array())
	{
		return;
	}
	const nlohmann::json& numbers = _json.at(_at);
	for (size_t ii = 0; ii + kNumbersPerLimit <= numbers.size(); ii += kNumbersPerLimit)
	{
		LimitUpdate update;
		numbers.at(ii).get_to(update.upstream);
		numbers.at(ii + 1).get_to(update.limit.version);
		if (!numbers.at(ii + 2).is_null())
		{
			update.limit.perSecond = numbers.at(ii + 2).get<double>();
		}
		_limits.push_back(update);
	}
}

inline void to_json(nlohmann::json& _json, const TrialHalt& _halt)
{
	_json = nlohmann::json::array({_halt.service, _halt.orderRevision});
}

inline void from_json(const nlohmann::json& _json, TrialHalt& _halt)
{
	_json.at(0).get_to(_halt.service);
	_json.at(1).get_to(_halt.orderRevision);
}

/// As `decodeLoads`.
inline void decodeHalts(const nlohmann::json& _json, size_t _at, std::vector<TrialHalt>& _halts)
{
	if (_json.size() > _at)
	{
		_json.at(_at).get_to(_halts);
	}
}

inline nlohmann::json encodeEvidence(const std::vector<EvidenceRow>& _rows)
{
	nlohmann::json::array_t numbers;
	numbers.reserve(_rows.size() * kNumbersPerEvidenceRow);
	for (const EvidenceRow& row : _rows)
	{
		const EvidenceCounts& counts = row.counts;
		for (const uint32_t number : {row.key.writer, row.key.route, row.key.interval})
		{
			numbers.emplace_back(number);
		}
		for (const AnswerCounts& answers : {counts.candidate, counts.baseline})
		{
			numbers.emplace_back(answers.good);
			numbers.emplace_back(answers.bad);
			numbers.emplace_back(answers.timedOut);
		}
		for (const auto* kinds : {&counts.candidateTimes, &counts.baselineTimes})
		{
			for (const TimeCounts& times : *kinds)
			{
				numbers.emplace_back(times.timed);
				numbers.emplace_back(times.quick);
				numbers.emplace_back(times.slow);
			}
		}
		numbers.emplace_back(counts.answeredUpstreams);
		numbers.emplace_back(counts.failedUpstreams);
	}
	return numbers;
}

inline std::vector<EvidenceRow> decodeEvidence(const nlohmann::json& _numbers)
{
	std::vector<EvidenceRow> rows;
	for (size_t from = 0; from + kNumbersPerEvidenceRow <= _numbers.size(); from += kNumbersPerEvidenceRow)
	{
		size_t at = from;
		EvidenceRow row;
		for (uint32_t* number : {&row.key.writer, &row.key.route, &row.key.interval})
		{
			_numbers.at(at++).get_to(*number);
		}
		for (AnswerCounts* answers : {&row.counts.candidate, &row.counts.baseline})
		{
			_numbers.at(at++).get_to(answers->good);
			_numbers.at(at++).get_to(answers->bad);
			_numbers.at(at++).get_to(answers->timedOut);
		}
		for (auto* kinds : {&row.counts.candidateTimes, &row.counts.baselineTimes})
		{
			for (TimeCounts& times : *kinds)
			{
				_numbers.at(at++).get_to(times.timed);
				_numbers.at(at++).get_to(times.quick);
				_numbers.at(at++).get_to(times.slow);
			}
		}
		_numbers.at(at++).get_to(row.counts.answeredUpstreams);
		_numbers.at(at++).get_to(row.counts.failedUpstreams);
		rows.push_back(row);
	}
	return rows;
}

inline void to_json(nlohmann::json& _json, const TrialUpdate& _news)
{
	const nlohmann::json rampStartsIn =
		_news.rampStartsIn ? nlohmann::json(*_news.rampStartsIn) : nlohmann::json();
	_json = nlohmann::json::array(
		{_news.service, _news.orderRevision, _news.elapsed, rampStartsIn, encodeEvidence(_news.rows)});
}

inline void from_json(const nlohmann::json& _json, TrialUpdate& _news)
{
	_json.at(0).get_to(_news.service);
	_json.at(1).get_to(_news.orderRevision);
	_json.at(2).get_to(_news.elapsed);
	if (!_json.at(3).is_null())
	{
		_news.rampStartsIn = _json.at(3).get<TimeUs>();
	}
	_news.rows = decodeEvidence(_json.at(4));
}

/// As `decodeLoads`.
inline void decodeTrials(const nlohmann::json& _json, size_t _at, std::vector<TrialUpdate>& _trials)
{
	if (_json.size() > _at)
	{
		_json.at(_at).get_to(_trials);
	}
}

/// As `decodeLoads`.
inline void decodeSuspects(const nlohmann::json& _json, size_t _at, std::vector<SuspectUpdate>& _suspects)
{
	if (_json.size() > _at)
	{
		_json.at(_at).get_to(_suspects);
	}
}

inline void to_json(nlohmann::json& _json, const UsageRow& _row)
{
	_json = nlohmann::json::array({_row.key.window, _row.key.writer, nlohmann::json(_row.counts)});
}

inline void from_json(const nlohmann::json& _json, UsageRow& _row)
{
	_json.at(0).get_to(_row.key.window);
	_json.at(1).get_to(_row.key.writer);
	_json.at(2).get_to(_row.counts);
}

inline void to_json(nlohmann::json& _json, const PeerPing& _ping)
{
	_json = {_ping.seq,
			 encodeLoads(_ping.loads),
			 encodeHomes(_ping.homes),
			 nlohmann::json(_ping.halts),
			 nlohmann::json(_ping.trials),
			 nlohmann::json(_ping.suspects),
			 nlohmann::json(_ping.usage),
			 encodeLimits(_ping.limits)};
	encodeLoadControl(_json, _ping);
	_json.push_back(_ping.answered);
}

inline void from_json(const nlohmann::json& _json, PeerPing& _ping)
{
	_json.at(0).get_to(_ping.seq);
	decodeLoads(_json, 1, _ping.loads);
	decodeHomes(_json, 2, _ping.homes);
	decodeHalts(_json, 3, _ping.halts);
	decodeTrials(_json, 4, _ping.trials);
	decodeSuspects(_json, 5, _ping.suspects);
	constexpr size_t kUsageAt = 6;
	if (_json.size() > kUsageAt)
	{
		_json.at(kUsageAt).get_to(_ping.usage);
	}
	decodeLimits(_json, kUsageAt + 1, _ping.limits);
	decodeLoadControl(_json, kUsageAt + 2, _ping);
	constexpr size_t kAnsweredAt = kUsageAt + 2 + kLoadControlLists;
	_ping.answered = _json.size() > kAnsweredAt ? _json.at(kAnsweredAt).get<uint64_t>() : 0;
}

inline void to_json(nlohmann::json& _json, const PeerPong& _pong)
{
	_json = {_pong.seq,
			 _pong.revision,
			 _pong.confirmationAge,
			 encodeLoads(_pong.loads),
			 encodeHomes(_pong.homes),
			 _pong.stopping,
			 _pong.chain,
			 nlohmann::json(_pong.halts),
			 nlohmann::json(_pong.trials),
			 nlohmann::json(_pong.suspects),
			 _pong.wall,
			 encodeLimits(_pong.limits)};
	encodeLoadControl(_json, _pong);
}

inline void from_json(const nlohmann::json& _json, PeerPong& _pong)
{
	constexpr size_t kStoppingAt = 5;
	constexpr size_t kChainAt = 6;
	_json.at(0).get_to(_pong.seq);
	_json.at(1).get_to(_pong.revision);
	_json.at(2).get_to(_pong.confirmationAge);
	decodeLoads(_json, 3, _pong.loads);
	decodeHomes(_json, 4, _pong.homes);
	_pong.stopping = _json.size() > kStoppingAt && _json.at(kStoppingAt).get<bool>();
	if (_json.size() > kChainAt)
	{
		_json.at(kChainAt).get_to(_pong.chain);
	}
	decodeHalts(_json, kChainAt + 1, _pong.halts);
	decodeTrials(_json, kChainAt + 2, _pong.trials);
	decodeSuspects(_json, kChainAt + 3, _pong.suspects);
	constexpr size_t kWallAt = kChainAt + 4;
	_pong.wall = _json.size() > kWallAt ? _json.at(kWallAt).get<TimeUs>() : 0;
	decodeLimits(_json, kWallAt + 1, _pong.limits);
	decodeLoadControl(_json, kWallAt + 2, _pong);
}

inline void to_json(nlohmann::json& _json, const StoreItem& _item)
{
	_json = {_item.key, _item.value, _item.revision, _item.deleted, _item.malformed};
}

inline void from_json(const nlohmann::json& _json, StoreItem& _item)
{
	_json.at(0).get_to(_item.key);
	_json.at(1).get_to(_item.value);
	_json.at(2).get_to(_item.revision);
	_json.at(3).get_to(_item.deleted);
	constexpr size_t kMalformedAt = 4; // Routers of earlier versions do not send it.
	_item.malformed = _json.size() > kMalformedAt && _json.at(kMalformedAt).get<bool>();
}

inline void to_json(nlohmann::json& _json, const PeerRegistrationRequest& _registration)
{
	_json = {_registration.box, _registration.value};
}

inline void from_json(const nlohmann::json& _json, PeerRegistrationRequest& _registration)
{
	_json.at(0).get_to(_registration.box);
	_json.at(1).get_to(_registration.value);
}

inline void to_json(nlohmann::json& _json, const PeerConfigRequest& _request)
{
	_json = nlohmann::json::array({_request.version});
}

inline void from_json(const nlohmann::json& _json, PeerConfigRequest& _request)
{
	_json.at(0).get_to(_request.version);
}

inline void to_json(nlohmann::json& _json, const PeerConfig& _config)
{
	_json = {_config.confirmed, _config.version, _config.revision, _config.record};
}

inline void from_json(const nlohmann::json& _json, PeerConfig& _config)
{
	_json.at(0).get_to(_config.confirmed);
	_json.at(1).get_to(_config.version);
	_json.at(2).get_to(_config.revision);
	_json.at(3).get_to(_config.record);
}

inline void to_json(nlohmann::json& _json, const StoreChangesRequest& _request)
{
	_json = nlohmann::json::array({_request.knownRevision});
}

inline void from_json(const nlohmann::json& _json, StoreChangesRequest& _request)
{
	_json.at(0).get_to(_request.knownRevision);
}

inline void to_json(nlohmann::json& _json, const StoreSnapshot& _snapshot)
{
	_json = nlohmann::json::array({_snapshot.revision, nlohmann::json(_snapshot.items)});
}

inline void from_json(const nlohmann::json& _json, StoreSnapshot& _snapshot)
{
	_json.at(0).get_to(_snapshot.revision);
	_json.at(1).get_to(_snapshot.items);
}

inline void to_json(nlohmann::json& _json, const StoreChanges& _changes)
{
	_json = {_changes.from, _changes.to, nlohmann::json(_changes.items)};
}

inline void from_json(const nlohmann::json& _json, StoreChanges& _changes)
{
	_json.at(0).get_to(_changes.from);
	_json.at(1).get_to(_changes.to);
	_json.at(2).get_to(_changes.items);
}
} // namespace spanplank

#endif // SPANPLANK_PEER_MESSAGES_H_HEADER_GUARD
