// Metrics of a process in Prometheus' text format.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace wigeonfold::observe {

struct Label
{
  std::string m_name;
  std::string m_value;
};

// Owns the metrics of a process. All methods are thread safe; returned metrics
// are too and live as long as this object. Asking twice for the same name and
// labels gives the same metric.
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  prometheus::Counter& Counter(const std::string& aName,
                               const std::string& aHelp,
                               const std::vector<Label>& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName,
                           const std::string& aHelp,
                           const std::vector<Label>& aLabels = {});
  // aBoundsSeconds are the upper bounds of the buckets.
  prometheus::Histogram& Histogram(const std::string& aName,
                                   const std::string& aHelp,
                                   const std::vector<double>& aBoundsSeconds,
                                   const std::vector<Label>& aLabels = {});

  // Body of the response to GET /metrics.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> m_registry;
};

// Upper bounds in seconds of buckets for latencies from 50 us to 10 s.
const std::vector<double>& LatencyBounds();

} // namespace wigeonfold::observe
