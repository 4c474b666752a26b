/// Tunables of the library, in one place. A setting of the same name overrides those marked (settings).
#ifndef SPANPLANK_CONFIG_H_HEADER_GUARD
#define SPANPLANK_CONFIG_H_HEADER_GUARD

#include <cstddef>
#include <cstdint>

namespace spanplank
{
/// Largest request body that a caller may send, bytes (settings).
constexpr size_t kMaxBodyBytes = 1u << 20;
/// Largest request header block, bytes.
constexpr size_t kMaxHeaderBytes = 16u << 10;
/// A caller that sends or reads nothing for this long is cut off, milliseconds.
constexpr uint32_t kSlowCallerMs = 30000;
/// Deadline of a request that names none, milliseconds.
constexpr uint32_t kDefaultDeadlineMs = 60000;
/// Heartbeat period on a link, milliseconds.
constexpr uint32_t kHeartbeatMs = 500;
/// A link that was silent for this long is closed, milliseconds.
constexpr uint32_t kLinkSilenceMs = 1500;
/// A lost link is tried again after this, milliseconds.
constexpr uint32_t kLinkRetryMs = 250;
/// Poll period of the platform's box list, milliseconds.
constexpr uint32_t kBoxListPollMs = 500;
/// Added to that period for each box in the list, so that reading it costs the same at any size,
/// milliseconds.
constexpr uint32_t kBoxListPollPerBoxMs = 2;
/// Retry-After told to a caller while a home of non-repeatable calls changes, milliseconds.
constexpr uint32_t kHomeChangeRetryMs = 1000;
/// How long a key of a non-repeatable call is remembered, milliseconds.
constexpr int64_t kRunOnceRetentionMs = 24ll * 3600 * 1000;
/// Clock skew allowed between boxes and callers, milliseconds.
constexpr int64_t kClockSkewMs = 2000;
/// Keys remembered by one run-once guard at most; beyond it calls are refused "not run".
constexpr size_t kRunOnceMaxKeys = 400000;
/// Bytes of answers kept for replay by one run-once guard.
constexpr size_t kRunOnceAnswerBytes = 24u << 20;
/// Bills held in memory by an agent while the store is away; beyond it new work is refused.
constexpr size_t kMaxUnflushedBills = 200000;
/// Least period of the bill flush, milliseconds.
constexpr uint32_t kBillFlushMs = 1000;
/// The period grows with the live routers, so that all flushes together stay at 100 a second, milliseconds
/// each.
constexpr uint32_t kBillFlushPerRouterMs = 10;
/// Events that a process keeps for the time line.
constexpr size_t kTimelineEvents = 8192;
/// Attempts of one repeatable request over all upstreams.
constexpr uint32_t kMaxAttempts = 3;
/// Retry budget: retries allowed per successful answer.
constexpr double kRetryRatio = 0.1;
/// Retry budget: tokens that an idle process may save up.
constexpr double kRetryBurst = 20.0;
/// Operation ids remembered by each resource, to resolve writes whose answer was lost.
constexpr size_t kResourceOps = 128;
/// Validity of a session token, milliseconds.
constexpr int64_t kSessionLifetimeMs = 24ll * 3600 * 1000;
} // namespace spanplank

#endif // SPANPLANK_CONFIG_H_HEADER_GUARD
