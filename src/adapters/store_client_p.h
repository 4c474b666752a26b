/// Adapter to the platform's key-value service: compare-and-swap, prefix watches.
#ifndef SPANPLANK_STORE_CLIENT_P_H_HEADER_GUARD
#define SPANPLANK_STORE_CLIENT_P_H_HEADER_GUARD

#include <absl/types/span.h>
#include <boost/fiber/mutex.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "http_p.h"
#include "spanplank/json_text.h"
#include "spanplank/store_item.h"

namespace spanplank
{
struct StoreList
{
	uint64_t revision = 0; ///< Of the store, when it was read.
	std::vector<StoreItem> items;
	bool more = false;    ///< The list goes on after its last key.
	uint32_t skipped = 0; ///< Items without a key or revision that can be read: they name nobody.
};

enum class CasResult : uint8_t
{
	Done,
	Conflict, ///< Certain: nothing was changed.
	Lost,     ///< The answer was lost: it may have taken effect. Read back.
};

/// @returns A name for logs.
const char* name(CasResult _result);

/// An item to be written.
struct StoreWrite
{
	std::string key;
	std::string value;
};
/// Items of one call.
constexpr size_t kMostWrites = 32;

/// How old a list may be.
enum class ListAge : uint8_t
{
	Newest,
	MayBeOld, ///< By seconds: it proves nothing, and costs the store a tenth.
};

/// Logs an item that can't be read, unless another one was logged a moment ago.
void noteUnreadable(const std::string& _key, const std::string& _error);

/// @returns What an item holds.
/// @throws Failure(Internal) if that can't be read: another writer may have left it. It is logged.
template <typename Record>
Record readRecord(const StoreItem& _item)
{
	try
	{
		return parseJson(_item.value).get<Record>();
	}
	catch (const nlohmann::json::exception& failure)
	{
		noteUnreadable(_item.key, failure.what());
		throw Failure(ErrorCode::Internal, "the item " + _item.key + " can't be read");
	}
}

/// How a kind of store is spoken to: calls encoded, answers decoded. The decoders throw Failure; `run` in it
/// tells whether the call may have been done.
struct StoreProtocol
{
	HttpCall (*encodeRead)(const std::string& _key);
	/// @param[in] _afterKey The list starts after this key; empty: at its beginning.
	HttpCall (*encodeList)(const std::string& _prefix, const std::string& _afterKey, ListAge _age);
	HttpCall (*encodeWatch)(const std::string& _prefix, uint64_t _after, uint32_t _waitMs);
	/// @param[in] _lease The item goes with this lease; 0: it stays.
	HttpCall (*encodeWrite)(const std::string& _key, const std::string& _value, uint64_t _expected,
							uint64_t _lease);
	/// Writes several items at once, whatever they hold. Null: not offered.
	HttpCall (*encodeWriteAll)(absl::Span<const StoreWrite> _writes, uint64_t _lease);
	/// @param[in] _lease The lease to renew; 0: a new one.
	HttpCall (*encodeLease)(uint64_t _lease, uint32_t _ttlMs);
	StoreItem (*decodeRead)(const HttpResponse& _response);
	StoreList (*decodeList)(const HttpResponse& _response);
	/// @throws Failure(NotFound) if the store has forgotten what came after the revision.
	StoreList (*decodeWatch)(const HttpResponse& _response);
	CasResult (*decodeWrite)(const HttpResponse& _response, uint64_t& _revision);
	/// @returns The lease; 0: the one to renew is over.
	uint64_t (*decodeLease)(const HttpResponse& _response, uint64_t _lease);
	/// @returns The era that an answer names; empty: it names none.
	std::string (*decodeEra)(const HttpResponse& _response);
};

/// The protocol of the stand-in `spanplank-fakes`.
const StoreProtocol& standInStoreProtocol();

struct StoreStats
{
	uint64_t reads = 0;
	uint64_t writes = 0;
	uint64_t watches = 0;
	uint64_t failures = 0;
};

struct StoreClient
{
	HttpClient http;
	HttpClient watchHttp; ///< Waiting watches must not hold up other calls.
	const StoreProtocol* protocol = &standInStoreProtocol();
	StoreStats stats;
	bool reachable = true;
	uint64_t era = 0;       ///< The highest that an answer named.
	uint32_t lowerEras = 0; ///< Answers in a row that named a lower one.
	std::map<std::string, std::weak_ptr<boost::fibers::mutex>> turns; ///< Of writers, by key.
};

// Revisions that these take and return are positions: see `store_position.h`.

/// @throws Failure(StoreUnavailable)
StoreItem readStore(StoreClient& _client, const std::string& _key);
/// @returns All items, and the revision from which a watch brings what the list lacks.
/// @throws Failure(StoreUnavailable)
StoreList listStore(StoreClient& _client, const std::string& _prefix, ListAge _age = ListAge::Newest);
/// Longest time of a call, beyond what a watch waits for changes.
constexpr uint32_t kStoreTimeoutMs = 1000;

/// Waits up to `_waitMs` for changes after a revision. @param[in] _patienceMs For the answer, after that.
/// @throws Failure(StoreUnavailable); Failure(NotFound) if the history is gone: list anew.
StoreList watchStore(StoreClient& _client, const std::string& _prefix, uint64_t _after, uint32_t _waitMs,
					 uint32_t _patienceMs = kStoreTimeoutMs);

/// Writes if the key still has the expected revision (0: absent). One of an earlier era never holds: what was
/// decided by it is to be decided again.
/// @param[out] _revision The new revision when done.
/// @throws Failure(StoreUnavailable) if the store certainly did not take it.
/// @param[in] _lease The item goes with this lease; 0: it stays.
CasResult casStore(StoreClient& _client, const std::string& _key, const std::string& _value,
				   uint64_t _expected, uint64_t& _revision, uint64_t _lease = 0);

/// Writes items at once, whatever they hold; at most `kMostWrites`. @param[in] _lease They go with this
/// lease.
/// @returns `Conflict` if the lease is over.
/// @throws Failure(StoreUnavailable) if the store certainly did not take it.
CasResult writeAllStore(StoreClient& _client, absl::Span<const StoreWrite> _writes, uint64_t _lease);

/// Takes a lease or renews one. @param[in] _lease The lease to renew; 0: a new one.
/// @returns The lease; 0: the one to renew is over.
/// @throws Failure(StoreUnavailable)
uint64_t leaseStore(StoreClient& _client, uint64_t _lease, uint32_t _ttlMs);
} // namespace spanplank

#endif // SPANPLANK_STORE_CLIENT_P_H_HEADER_GUARD
