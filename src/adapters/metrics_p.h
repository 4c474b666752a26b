/// Metrics page by prometheus-cpp, filled from the processes' own counters when it is read.
#ifndef SPANPLANK_METRICS_P_H_HEADER_GUARD
#define SPANPLANK_METRICS_P_H_HEADER_GUARD

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

/// Adds what every process has: links, store calls, memory, processor time.
struct LinkStats;
struct StoreStats;
void addProcessMetrics(MetricsPage& _page, const LinkStats& _links, const StoreStats& _store);

/// @returns The page in Prometheus' text format.
std::string serialize(const MetricsPage& _page);
} // namespace spanplank

#endif // SPANPLANK_METRICS_P_H_HEADER_GUARD
