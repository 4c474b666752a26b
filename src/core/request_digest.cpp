#include "spanplank/request_digest.h"

#include <algorithm>
#include <fmt/format.h>
#include <memory>
#include <openssl/evp.h>
#include <stdexcept>

namespace spanplank
{
namespace
{
constexpr size_t kHexDigits = 32;
constexpr size_t kHalfBytes = 8;
constexpr unsigned kBitsPerByte = 8;

void addPart(EVP_MD_CTX* _context, std::string_view _part)
{
	unsigned char length[kHalfBytes];
	for (size_t ii = 0; ii < kHalfBytes; ++ii)
	{
		length[ii] = static_cast<unsigned char>(_part.size() >> (ii * kBitsPerByte));
	}
	EVP_DigestUpdate(_context, length, sizeof(length));
	EVP_DigestUpdate(_context, _part.data(), _part.size());
}

uint64_t readHalf(const unsigned char* _bytes)
{
	uint64_t half = 0;
	for (size_t ii = 0; ii < kHalfBytes; ++ii)
	{
		half = half << kBitsPerByte | _bytes[ii];
	}
	return half;
}
} // namespace

RequestDigest digestOf(const RequestParts& _parts)
{
	const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
	if (!context || EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) != 1)
	{
		throw std::runtime_error("SHA-256 is not available");
	}
	for (const std::string_view part :
		 {_parts.account, _parts.host, _parts.method, _parts.target, _parts.body})
	{
		addPart(context.get(), part);
	}
	unsigned char bytes[EVP_MAX_MD_SIZE];
	EVP_DigestFinal_ex(context.get(), bytes, nullptr);
	return {readHalf(bytes), readHalf(bytes + kHalfBytes)};
}

std::string digestToHex(const RequestDigest& _digest)
{
	return fmt::format("{:016x}{:016x}", _digest.high, _digest.low);
}

std::optional<RequestDigest> digestFromHex(std::string_view _hex)
{
	const bool digits = std::all_of(_hex.begin(), _hex.end(), [](char _char) {
		return (_char >= '0' && _char <= '9') || (_char >= 'a' && _char <= 'f');
	});
	if (_hex.size() != kHexDigits || !digits)
	{
		return std::nullopt;
	}
	constexpr int kHex = 16;
	return RequestDigest{std::stoull(std::string(_hex.substr(0, kHexDigits / 2)), nullptr, kHex),
						 std::stoull(std::string(_hex.substr(kHexDigits / 2)), nullptr, kHex)};
}
} // namespace spanplank
