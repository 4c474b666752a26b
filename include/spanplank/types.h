/// Typed ids, time, hashing and random numbers, shared by all cores.
#ifndef SPANPLANK_TYPES_H_HEADER_GUARD
#define SPANPLANK_TYPES_H_HEADER_GUARD

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace spanplank
{
/// Point in time in microseconds. Cores don't read a clock: the caller passes the time in.
using TimeUs = int64_t;

constexpr TimeUs kMsToUs = 1000;
constexpr uint32_t kInvalidIdx = UINT32_MAX;

/// Identifies a request within one router.
struct RequestId
{
	uint64_t idx = UINT64_MAX;
};

/// Identifies one attempt of a request on one upstream; unique within an incarnation of the router.
struct AttemptId
{
	uint64_t idx = UINT64_MAX;
};

/// Index of an upstream, together with its agent, in a router's table.
struct UpstreamId
{
	uint32_t idx = kInvalidIdx;
};

/// Identifies a link to another process, within the process that owns the link.
struct LinkId
{
	uint32_t idx = kInvalidIdx;
};

inline bool isValid(RequestId _id)
{
	return _id.idx != UINT64_MAX;
}

inline bool isValid(AttemptId _id)
{
	return _id.idx != UINT64_MAX;
}

inline bool isValid(UpstreamId _id)
{
	return _id.idx != kInvalidIdx;
}

inline bool isValid(LinkId _id)
{
	return _id.idx != kInvalidIdx;
}

template <typename Id, typename = decltype(Id::idx)>
inline bool operator==(Id _a, Id _b)
{
	return _a.idx == _b.idx;
}

template <typename Id, typename = decltype(Id::idx)>
inline bool operator<(Id _a, Id _b)
{
	return _a.idx < _b.idx;
}

/// @returns 64-bit XXH3 hash of the bytes, identical on every box.
uint64_t stableHash(std::string_view _bytes, uint64_t _seed = 0);

/// @returns Lower-case hex SHA-256 digest of the bytes.
std::string sha256Hex(std::string_view _bytes);

/// @returns The 32 bytes of HMAC-SHA-256 (RFC 2104).
std::string hmacBytes(std::string_view _key, std::string_view _bytes);

/// @returns Lower-case hex HMAC-SHA-256 (RFC 2104).
std::string hmacHex(std::string_view _key, std::string_view _bytes);

/// @returns Whether two strings are equal, in time that depends on their length alone.
bool equalConstantTime(std::string_view _a, std::string_view _b);

/// Seeded pseudorandom generator (SplitMix64). Cores take it by reference, so that a run can be reproduced
/// from its seed.
struct Random
{
	uint64_t state = 0;
};

/// @returns The next 64 random bits.
uint64_t nextRandom(Random& _random);

/// @returns Uniformly distributed number in [0, 1).
double nextUnit(Random& _random);

/// Short identifier of an upstream incarnation in messages between routers: a hash of its id and start time.
/// A collision only makes the hints about both upstreams inaccurate.
using UpstreamKey = uint32_t;
} // namespace spanplank

#endif // SPANPLANK_TYPES_H_HEADER_GUARD
