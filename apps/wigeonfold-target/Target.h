// Stand-in target for tests: an HTTP server with a limited number of slots,
// load shedding and configurable misbehaviour.
#pragma once

#include "Executed.h"
#include "Faults.h"
#include "ServiceTime.h"
#include "Slots.h"
#include "TargetSettings.h"

#include "wigeonfold/base/Events.h"
#include "wigeonfold/net/Http.h"
#include "wigeonfold/net/HttpPool.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <unordered_map>

namespace wigeonfold::target {

// Announces itself to its node every second, if a node is configured. /health
// and /load report its state, /executed returns the execution record; every
// other path follows the echo protocol of wigeonfold/net/Echo.h. Use it only on
// the thread that runs the io_context.
class Target
{
public:
  Target(boost::asio::io_context& aIo,
         const TargetSettings& aSettings,
         EventLog& aLog,
         ExecutionRecord aExecuted);

  // Begins to listen and to announce. Fails with Io when the address can't be
  // bound.
  Status Start();
  // Graceful shutdown: announces the state draining, accepts requests for
  // m_drainLinger more so that the node can switch to other targets, answers
  // the pending ones and calls aDone.
  void Drain(std::function<void()> aDone);

  uint16_t Port() const { return m_server->Port(); }

private:
  // A request from its arrival until its answer is sent.
  struct Job
  {
    net::HttpRequest m_request;
    net::HttpRespond m_respond;
    TimePoint m_arrived; // before the simulated one-way delay
    std::optional<TimePoint> m_deadline;
    // Of internal calls: "ok", "failed" or "wrong"; empty when there are none.
    std::string m_chainResult;
    bool m_abandoned = false; // the client went away
  };
  struct LoadSample
  {
    TimePoint m_time;
    int m_busy = 0;
    int m_waiting = 0;
    bool m_slow = false; // in a slow spell
  };

  void Handle(net::HttpRequest aRequest,
              net::HttpRespond aRespond,
              const net::HttpOnAbandon& aOnAbandon);
  void Admit(JobId aJob);
  void Run(JobId aJob);
  void CallNextService(JobId aJob);
  void OnInternalAnswer(JobId aJob,
                        const net::HttpRequest& aInner,
                        const net::HttpOutcome& aOutcome);
  void Finish(JobId aJob);
  void Abandon(JobId aJob);
  void AnswerNotRun(JobId aJob, const char* aReason);
  void Respond(JobId aJob, net::HttpResponse aResponse);
  // Calls aAction after aDelay, never from within this call.
  void PostAfter(Duration aDelay, std::function<void()> aAction);

  void Announce();
  void RecordSample();
  // The state as it was m_reportLag ago.
  LoadSample ReportedSample() const;
  net::HttpResponse HealthResponse();
  net::HttpResponse LoadResponse();

  boost::asio::io_context& m_io;
  const TargetSettings m_settings;
  const std::string m_instance; // new for each start of the process
  EventLog& m_log;
  std::unique_ptr<net::HttpServer> m_server;
  std::unique_ptr<net::HttpPool> m_announcer; // null: not announced
  std::unique_ptr<net::HttpPool> m_internal;  // null: internal calls fail
  boost::asio::steady_timer m_announceTimer;
  Slots m_slots;
  ServiceTime m_times;
  Faults m_faults;
  ExecutionRecord m_executed;
  std::unordered_map<JobId, Job> m_jobs;
  JobId m_nextJob = 1;
  // In order of time; never empty after a successful Start.
  std::deque<LoadSample> m_samples;
  std::mt19937_64 m_reportRandom;
  bool m_draining = false;
};

} // namespace wigeonfold::target
