/// Digest that identifies a request over its retries: it covers the parts that a caller repeats when it sends
/// the request again.
#ifndef SPANPLANK_REQUEST_DIGEST_H_HEADER_GUARD
#define SPANPLANK_REQUEST_DIGEST_H_HEADER_GUARD

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace spanplank
{
/// The first 128 bits of a SHA-256 over `RequestParts`, each preceded by its length. No secret key is needed:
/// finding a request of one account that has the digest of another account's request takes 2^128 attempts,
/// and the probability that any two of 2^32 requests share a digest is 2^-65.
struct RequestDigest
{
	uint64_t high = 0;
	uint64_t low = 0;

	bool operator==(const RequestDigest& _other) const
	{
		return high == _other.high && low == _other.low;
	}

	bool operator<(const RequestDigest& _other) const
	{
		return high != _other.high ? high < _other.high : low < _other.low;
	}
};

/// Parts of a request that the digest covers. The request's id and connection are excluded, since both change
/// with each retry.
struct RequestParts
{
	std::string_view account; ///< Empty if the request has no API key.
	std::string_view host;
	std::string_view method;
	std::string_view target; ///< Path and query.
	std::string_view body;
};

RequestDigest digestOf(const RequestParts& _parts);

/// @returns 32 lower-case hex digits.
std::string digestToHex(const RequestDigest& _digest);

/// @returns The digest of a text in the format of `digestToHex`, or nothing for any other text.
std::optional<RequestDigest> digestFromHex(std::string_view _hex);
} // namespace spanplank

#endif // SPANPLANK_REQUEST_DIGEST_H_HEADER_GUARD
