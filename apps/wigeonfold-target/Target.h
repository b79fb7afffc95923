// The target stand-in: an HTTP server with slots, shedding and faults.
#pragma once

#include "Executed.h"
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

// Runs on the thread of the io_context. Announces itself to its node every
// second. Paths: /health, /load, /executed; every other path is the echo
// protocol of wigeonfold/net/Echo.h.
class Target
{
public:
  Target(boost::asio::io_context& aIo,
         const TargetSettings& aSettings,
         EventLog& aLog,
         Executed aExecuted);

  // Fails with Io when the address can't be bound.
  Status Start();
  // Announces draining, lets the node switch, finishes the requests in hand;
  // then aDone is called.
  void Drain(std::function<void()> aDone);

  uint16_t Port() const { return m_server->Port(); }

private:
  struct Job
  {
    net::HttpRequest m_request;
    net::HttpRespond m_respond;
    TimePoint m_arrived;
    std::optional<TimePoint> m_deadline;
    std::string m_chainResult; // of internal calls; empty when there were none
    bool m_abandoned = false;
  };
  struct LoadSample
  {
    TimePoint m_time;
    int m_busy = 0;
    int m_waiting = 0;
    bool m_slow = false;
  };

  void Handle(net::HttpRequest aRequest,
              net::HttpRespond aRespond,
              const net::HttpOnAbandon& aOnAbandon);
  void Arrive(JobId aJob);
  void Run(JobId aJob);
  void CallNext(JobId aJob);
  void OnInternalAnswer(JobId aJob,
                        const net::HttpRequest& aInner,
                        const net::HttpOutcome& aOutcome);
  void Finish(JobId aJob);
  void Abandon(JobId aJob);
  void AnswerNotRun(JobId aJob, const char* aReason);
  void Respond(JobId aJob, net::HttpResponse aResponse);
  void After(Duration aDelay, std::function<void()> aAction);

  void Announce();
  void Sample();
  LoadSample Reported() const;
  net::HttpResponse Health();
  net::HttpResponse Load();

  boost::asio::io_context& m_io;
  const TargetSettings m_settings;
  const std::string m_instance; // new for each start of the process
  EventLog& m_log;
  std::unique_ptr<net::HttpServer> m_server;
  std::unique_ptr<net::HttpPool> m_announcer;
  std::unique_ptr<net::HttpPool> m_internal;
  boost::asio::steady_timer m_announceTimer;
  Slots m_slots;
  ServiceTime m_times;
  Executed m_executed;
  std::unordered_map<JobId, Job> m_jobs;
  JobId m_nextJob = 1;
  std::deque<LoadSample> m_samples;
  std::mt19937_64 m_reportRandom;
  bool m_draining = false;
};

} // namespace wigeonfold::target
