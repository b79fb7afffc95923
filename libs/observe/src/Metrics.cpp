#include "wigeonfold/observe/Metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace wigeonfold::observe {

namespace {

std::map<std::string, std::string> ToMap(const std::vector<Label>& aLabels)
{
  std::map<std::string, std::string> labels;
  for (const Label& label : aLabels) {
    labels.emplace(label.m_name, label.m_value);
  }
  return labels;
}

} // namespace

Metrics::Metrics()
  : m_registry(std::make_shared<prometheus::Registry>(
      prometheus::Registry::InsertBehavior::Merge))
{
}

Metrics::~Metrics() = default;

prometheus::Counter& Metrics::Counter(const std::string& aName,
                                      const std::string& aHelp,
                                      const std::vector<Label>& aLabels)
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(*m_registry)
    .Add(ToMap(aLabels));
}

prometheus::Gauge& Metrics::Gauge(const std::string& aName,
                                  const std::string& aHelp,
                                  const std::vector<Label>& aLabels)
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(*m_registry)
    .Add(ToMap(aLabels));
}

prometheus::Histogram& Metrics::Histogram(
  const std::string& aName,
  const std::string& aHelp,
  const std::vector<double>& aBoundsSeconds,
  const std::vector<Label>& aLabels)
{
  return prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(*m_registry)
    .Add(ToMap(aLabels), aBoundsSeconds);
}

std::string Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

const std::vector<double>& LatencyBounds()
{
  static const std::vector<double> bounds{
    0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02,
    0.05,    0.1,    0.2,    0.5,    1,     2,     5,     10
  };
  return bounds;
}

} // namespace wigeonfold::observe
