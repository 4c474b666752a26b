/// Metrics page by prometheus-cpp, filled from the processes' own counters when it is read.
#ifndef SPANPLANK_METRICS_P_H_HEADER_GUARD
#define SPANPLANK_METRICS_P_H_HEADER_GUARD

#include <absl/types/span.h>
#include <cstdint>
#include <map>
#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace spanplank
{
struct MetricsPage
{
	std::vector<prometheus::MetricFamily> families;
};

void addCounter(MetricsPage& _page, const std::string& _name, const std::string& _help, double _value);
void addGauge(MetricsPage& _page, const std::string& _name, const std::string& _help, double _value);

/// Gauges that differ in one label. @param[in] _values By the label's value.
void addGauges(MetricsPage& _page, const std::string& _name, const std::string& _help,
			   const std::string& _label, const std::map<std::string, uint64_t>& _values);

/// Counters that differ in one label. @param[in] _values By the label's value.
void addCounters(MetricsPage& _page, const std::string& _name, const std::string& _help,
				 const std::string& _label, const std::map<std::string, uint64_t>& _values);
/// @param[in] _bounds Upper bounds of all buckets but the last. @param[in] _counts Of each bucket, not
/// cumulative.
void addHistogram(MetricsPage& _page, const std::string& _name, const std::string& _help,
				  absl::Span<const double> _bounds, absl::Span<const uint64_t> _counts, double _sum);

/// Adds what every process has: links, store calls, memory, processor time.
struct LinkStats;
struct StoreStats;
void addProcessMetrics(MetricsPage& _page, const LinkStats& _links, const StoreStats& _store);
void addStoreMetrics(MetricsPage& _page, const StoreStats& _store);
/// Memory and processor time.
void addUsageMetrics(MetricsPage& _page);

/// @returns The page in Prometheus' text format.
std::string serialize(const MetricsPage& _page);
} // namespace spanplank

#endif // SPANPLANK_METRICS_P_H_HEADER_GUARD
