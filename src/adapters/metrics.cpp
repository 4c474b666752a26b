/// The metrics page in the text format of Prometheus.
#include "metrics_p.h"

#include <limits>
#include <prometheus/text_serializer.h>
#include <sys/resource.h>

#include "fiber_runtime_p.h"
#include "link_p.h"
#include "store_client_p.h"

namespace spanplank
{
namespace
{
prometheus::MetricFamily family(const std::string& _name, const std::string& _help,
								prometheus::MetricType _type)
{
	prometheus::MetricFamily result;
	result.name = "spanplank_" + _name;
	result.help = _help;
	result.type = _type;
	result.metric.emplace_back();
	return result;
}
} // namespace

void addCounter(MetricsPage& _page, const std::string& _name, const std::string& _help, double _value)
{
	_page.families.push_back(family(_name, _help, prometheus::MetricType::Counter));
	_page.families.back().metric[0].counter.value = _value;
}

void addGauge(MetricsPage& _page, const std::string& _name, const std::string& _help, double _value)
{
	_page.families.push_back(family(_name, _help, prometheus::MetricType::Gauge));
	_page.families.back().metric[0].gauge.value = _value;
}

void addCounters(MetricsPage& _page, const std::string& _name, const std::string& _help,
				 const std::string& _label, const std::map<std::string, uint64_t>& _values)
{
	prometheus::MetricFamily counters = family(_name, _help, prometheus::MetricType::Counter);
	counters.metric.clear();
	for (const auto& [value, count] : _values)
	{
		prometheus::ClientMetric metric;
		metric.label.push_back({_label, value});
		metric.counter.value = double(count);
		counters.metric.push_back(std::move(metric));
	}
	_page.families.push_back(std::move(counters));
}

void addGauges(MetricsPage& _page, const std::string& _name, const std::string& _help,
			   const std::string& _label, const std::map<std::string, double>& _values)
{
	prometheus::MetricFamily gauges = family(_name, _help, prometheus::MetricType::Gauge);
	gauges.metric.clear();
	for (const auto& [value, number] : _values)
	{
		prometheus::ClientMetric metric;
		metric.label.push_back({_label, value});
		metric.gauge.value = number;
		gauges.metric.push_back(std::move(metric));
	}
	_page.families.push_back(std::move(gauges));
}

void addHistogram(MetricsPage& _page, const std::string& _name, const std::string& _help,
				  absl::Span<const double> _bounds, absl::Span<const uint64_t> _counts, double _sum)
{
	_page.families.push_back(family(_name, _help, prometheus::MetricType::Histogram));
	auto& histogram = _page.families.back().metric[0].histogram;
	uint64_t total = 0;
	for (size_t ii = 0; ii < _counts.size(); ++ii)
	{
		total += _counts[ii];
		const double bound = ii < _bounds.size() ? _bounds[ii] : std::numeric_limits<double>::infinity();
		histogram.bucket.push_back({total, bound});
	}
	histogram.sample_count = total;
	histogram.sample_sum = _sum;
}

void addUsageMetrics(MetricsPage& _page)
{
	rusage usage{};
	getrusage(RUSAGE_SELF, &usage);
	const double seconds = double(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
						   double(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) * 1e-6;
	addCounter(_page, "cpu_seconds_total", "Processor time of the process.", seconds);
	addGauge(_page, "max_resident_bytes", "Most resident memory of the process.",
			 double(usage.ru_maxrss) * 1024.0);
}

void addStoreMetrics(MetricsPage& _page, const StoreStats& _store)
{
	addCounter(_page, "store_reads_total", "Reads of the store.", double(_store.reads));
	addCounter(_page, "store_writes_total", "Writes to the store.", double(_store.writes));
	addCounter(_page, "store_watches_total", "Waiting watches on the store.", double(_store.watches));
	addCounter(_page, "store_failures_total", "Calls of the store that failed.", double(_store.failures));
}

void addFiberMetrics(MetricsPage& _page)
{
	std::map<std::string, uint64_t> failures;
	std::map<std::string, double> ages;
	for (const auto& [name, fiber] : persistentFibers())
	{
		failures[name] = fiber.failures;
		if (fiber.iteratedAt != 0)
		{
			ages[name] = double(monotonicNow() - fiber.iteratedAt) / double(kMsToUs);
		}
	}
	addCounters(_page, "fiber_failures_total",
				"Exceptions that left fibers which run as long as the process, or event handlers.", "fiber",
				failures);
	addGauges(_page, "fiber_iteration_age_ms", "Time since the last iteration of each of these fibers.",
			  "fiber", ages);
}

void addProcessMetrics(MetricsPage& _page, const LinkStats& _links, const StoreStats& _store)
{
	addUsageMetrics(_page);
	addFiberMetrics(_page);
	addCounter(_page, "link_frames_in_total", "Messages read from links.", double(_links.framesIn));
	addCounter(_page, "link_frames_out_total", "Messages written to links.", double(_links.framesOut));
	addCounter(_page, "link_bytes_in_total", "Bytes read from links.", double(_links.bytesIn));
	addCounter(_page, "link_bytes_out_total", "Bytes written to links.", double(_links.bytesOut));
	addCounter(_page, "links_opened_total", "Links that both ends proved.", double(_links.opened));
	addCounter(_page, "links_refused_total", "Links closed for a wrong key or a forged frame.",
			   double(_links.refused));
	addStoreMetrics(_page, _store);
}

std::string serialize(const MetricsPage& _page)
{
	return prometheus::TextSerializer().Serialize(_page.families);
}
} // namespace spanplank
