// Sends the scheduled requests and collects their outcomes.
#pragma once

#include "Results.h"
#include "Schedule.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wigeonfold::load {

// Open loop: a request is sent at its scheduled time whether or not earlier
// ones were answered. In direct mode the requests go to the targets instead of
// the nodes. Use it only on the thread that runs the io_context.
class Runner
{
public:
  // aExperiment must outlive the runner.
  Runner(boost::asio::io_context& aIo,
         const Experiment& aExperiment,
         bool aDirect);

  // Posts aDone to the io_context when every request has its outcome.
  void Start(std::function<void()> aDone);
  // Sends no further scheduled requests; those already sent still get their
  // outcome.
  void Stop();

  const Results& Outcomes() const { return m_results; }
  const std::vector<RequestEntry>& Entries() const { return m_entries; }

private:
  struct PendingRequest
  {
    size_t m_index = 0; // in m_entries; part of the request id
    Arrival m_arrival;
    net::HttpRequest m_request;
    TimePoint m_scheduled;
    size_t m_poolIndex = 0; // index in m_poolsOfClass of its class
    int m_attempt = 1;
    Outcome m_earlierOutcome = Outcome::Pending; // of the earlier attempts
  };

  void WaitForNext();
  void SendDue();
  void SendArrival(const Arrival& aArrival);
  void Send(const std::shared_ptr<PendingRequest>& aPending);
  void OnOutcome(const std::shared_ptr<PendingRequest>& aPending,
                 const net::HttpOutcome& aOutcome);
  bool MayRetry(const PendingRequest& aPending,
                const AttemptResult& aResult) const;
  void Record(const PendingRequest& aPending,
              const AttemptResult& aResult,
              const net::HttpOutcome& aOutcome);
  net::HttpRequest MakeRequest(size_t aIndex, const Arrival& aArrival) const;
  Duration TimeoutOf(const PendingRequest& aPending) const;
  void FinishIfDone();

  // One pool per node, in direct mode one per target.
  using Pools = std::vector<std::shared_ptr<net::HttpPool>>;

  boost::asio::io_context& m_io;
  const Experiment& m_experiment;
  const bool m_direct;
  Schedule m_schedule;
  Results m_results;
  std::vector<RequestEntry> m_entries;
  std::vector<Pools> m_poolsOfClass;
  boost::asio::steady_timer m_timer;
  std::optional<Arrival> m_next; // nothing once the schedule has ended
  TimePoint m_start;
  size_t m_pendingCount = 0;
  std::function<void()> m_onDone;
};

} // namespace wigeonfold::load
