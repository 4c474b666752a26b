/// Range of `stableHash`, to map hashes to fractions.
#ifndef SPANPLANK_HASH_RANGE_P_H_HEADER_GUARD
#define SPANPLANK_HASH_RANGE_P_H_HEADER_GUARD

namespace spanplank
{
constexpr double kHashRange = 18446744073709551616.0; ///< 2^64; hashes are smaller.
} // namespace spanplank

#endif // SPANPLANK_HASH_RANGE_P_H_HEADER_GUARD
