// Metrics of a node.
#pragma once

#include "wigeonfold/base/Time.h"
#include "wigeonfold/forwarding/Outcome.h"
#include "wigeonfold/observe/Metrics.h"

#include <vector>

namespace wigeonfold::node {

// Looks each metric up once. All methods are thread safe.
class NodeMetrics
{
public:
  explicit NodeMetrics(observe::Metrics& aMetrics);

  void CountOutcome(forwarding::Outcome aOutcome);
  void CountAttempt(bool aIsRetry);
  void ObserveLatency(Duration aLatency);
  void SetTarget(int aRunning, int aQueued, int aSlots);
  void SetControlBytes(uint64_t aReceived, uint64_t aSent);

private:
  std::vector<prometheus::Counter*> m_outcomes; // by value of Outcome
  prometheus::Counter& m_first;
  prometheus::Counter& m_retries;
  prometheus::Histogram& m_latency;
  prometheus::Gauge& m_running;
  prometheus::Gauge& m_queued;
  prometheus::Gauge& m_slots;
  prometheus::Gauge& m_controlReceived;
  prometheus::Gauge& m_controlSent;
};

} // namespace wigeonfold::node
