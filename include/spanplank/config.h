/// Default values and limits of the library. A setting of the same name overrides those marked (settings).
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
/// A caller that sends or reads nothing for this long is disconnected, milliseconds.
constexpr uint32_t kSlowCallerMs = 30000;
/// Deadline of a request that sets none, milliseconds.
constexpr uint32_t kDefaultDeadlineMs = 60000;
/// Heartbeat period on a link, milliseconds.
constexpr uint32_t kHeartbeatMs = 500;
/// Time without any message after which a link is closed, milliseconds.
constexpr uint32_t kLinkSilenceMs = 1500;
/// Delay before a lost link is opened again, milliseconds.
constexpr uint32_t kLinkRetryMs = 250;
/// Poll period of the platform's list of boxes, milliseconds.
constexpr uint32_t kBoxListPollMs = 500;
/// Added to that period for each box in the list, so that polling costs the same at any size, milliseconds.
constexpr uint32_t kBoxListPollPerBoxMs = 2;
/// Retry-After sent to a caller while a home of non-repeatable calls changes, milliseconds.
constexpr uint32_t kHomeChangeRetryMs = 1000;
/// How long the key of a non-repeatable call is stored, milliseconds.
constexpr int64_t kRunOnceRetentionMs = 24ll * 3600 * 1000;
/// Clock skew allowed between boxes and callers, milliseconds.
constexpr int64_t kClockSkewMs = 2000;
/// Maximum number of keys stored by a run-once guard; further calls are refused as "not run".
constexpr size_t kRunOnceMaxKeys = 400000;
/// Maximum size of the answers that a run-once guard retains for replay.
constexpr size_t kRunOnceAnswerBytes = 24u << 20;
/// Maximum number of bills that an agent holds while the store is unreachable; further work is refused.
constexpr size_t kMaxUnflushedBills = 200000;
/// Minimum period of the bill flush, milliseconds.
constexpr uint32_t kBillFlushMs = 1000;
/// Added to that period for each live router, which limits all flushes to 100 per second, milliseconds.
constexpr uint32_t kBillFlushPerRouterMs = 10;
/// Maximum number of events that a process retains for the timeline.
constexpr size_t kTimelineEvents = 8192;
/// Maximum number of attempts of a repeatable request over all upstreams.
constexpr uint32_t kMaxAttempts = 3;
/// Retry budget: retries per successful answer.
constexpr double kRetryRatio = 0.1;
/// Retry budget: maximum number of tokens that an idle process accumulates.
constexpr double kRetryBurst = 20.0;
/// Maximum number of operation ids stored with each resource, to resolve writes whose answer was lost.
constexpr size_t kResourceOps = 128;
/// Lifetime of a session token, milliseconds.
constexpr int64_t kSessionLifetimeMs = 24ll * 3600 * 1000;
} // namespace spanplank

#endif // SPANPLANK_CONFIG_H_HEADER_GUARD
