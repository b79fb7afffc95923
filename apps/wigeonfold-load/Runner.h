// Sends the scheduled requests and collects their outcomes.
#pragma once

#include "Results.h"
#include "Schedule.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace wigeonfold::load {

// Open loop: a request is sent at its scheduled time whether or not earlier
// ones were answered. Runs on the thread of the io_context.
class Runner
{
public:
  Runner(boost::asio::io_context& aIo,
         const Experiment& aExperiment,
         bool aDirect);

  // aDone is called when every request has its outcome.
  void Start(std::function<void()> aDone);
  // No further arrivals; requests in hand get their outcome.
  void Stop();

  const Results& Outcomes() const { return m_results; }
  const std::vector<RequestEntry>& Entries() const { return m_entries; }

private:
  struct Sent
  {
    size_t m_index = 0;
    Arrival m_arrival;
    net::HttpRequest m_request;
    TimePoint m_scheduled;
    size_t m_pool = 0; // index among the candidates of the class
    int m_attempt = 1;
    Outcome m_earlier = Outcome::Pending;
  };

  void WaitForNext();
  void SendDue();
  void SendArrival(const Arrival& aArrival);
  void Send(const std::shared_ptr<Sent>& aSent);
  void OnOutcome(const std::shared_ptr<Sent>& aSent,
                 const net::HttpOutcome& aOutcome);
  bool MayRetry(const Sent& aSent, const Verdict& aVerdict) const;
  void Record(const Sent& aSent,
              const Verdict& aVerdict,
              const net::HttpOutcome& aOutcome);
  net::HttpRequest MakeRequest(size_t aIndex, const Arrival& aArrival) const;
  Duration TimeoutOf(const Sent& aSent) const;
  void FinishIfDone();

  using Pools = std::vector<std::shared_ptr<net::HttpPool>>;

  boost::asio::io_context& m_io;
  const Experiment& m_experiment;
  const bool m_direct;
  Schedule m_schedule;
  Results m_results;
  std::vector<RequestEntry> m_entries;
  std::vector<Pools> m_poolsOfClass;
  boost::asio::steady_timer m_timer;
  std::optional<Arrival> m_next;
  TimePoint m_start;
  size_t m_inHand = 0;
  std::function<void()> m_onDone;
};

} // namespace wigeonfold::load
