#include "Runner.h"

#include "Verify.h"

#include "wigeonfold/net/Echo.h"

#include <boost/asio/post.hpp>

namespace wigeonfold::load {

using namespace std::chrono_literals;

namespace {

std::string RequestBody(const std::string& aId, size_t aLength)
{
  return aLength == 0 ? "" : net::EchoBody(aId, "request", aLength);
}

} // namespace

Runner::Runner(boost::asio::io_context& aIo,
               const Experiment& aExperiment,
               bool aDirect)
  : m_io(aIo)
  , m_experiment(aExperiment)
  , m_direct(aDirect)
  , m_schedule(aExperiment)
  , m_results(aExperiment)
  , m_timer(aIo)
{
  std::map<std::string, std::shared_ptr<net::HttpPool>> pools;
  for (const RequestClass& requestClass : aExperiment.m_classes) {
    const auto addresses =
      aDirect ? DirectTargets(aExperiment, requestClass.m_service)
              : aExperiment.m_nodes;
    Pools candidates;
    for (const SocketAddress& address : addresses) {
      auto& pool = pools[ToString(address)];
      if (!pool) {
        pool = net::MakeHttpPool(aIo, address, aExperiment.m_connections);
      }
      candidates.push_back(pool);
    }
    m_poolsOfClass.push_back(std::move(candidates));
  }
}

void Runner::Start(std::function<void()> aDone)
{
  m_onDone = std::move(aDone);
  m_start = Clock::now();
  m_next = m_schedule.Next();
  WaitForNext();
}

void Runner::Stop()
{
  m_next.reset();
  m_timer.cancel();
  FinishIfDone();
}

void Runner::WaitForNext()
{
  if (!m_next) {
    FinishIfDone();
    return;
  }
  m_timer.expires_after(m_start + m_next->m_at - Clock::now());
  m_timer.async_wait([this](boost::system::error_code aCode) {
    if (!aCode) {
      SendDue();
    }
  });
}

void Runner::SendDue()
{
  // When sending is behind schedule, the limit lets answers be read between
  // bursts.
  constexpr int kMaxBurst = 64;
  for (int sent = 0; sent < kMaxBurst && m_next; ++sent) {
    if (m_start + m_next->m_at > Clock::now()) {
      break;
    }
    SendArrival(*m_next);
    m_next = m_schedule.Next();
  }
  WaitForNext();
}

void Runner::SendArrival(const Arrival& aArrival)
{
  auto pending = std::make_shared<PendingRequest>();
  pending->m_index = m_entries.size();
  pending->m_arrival = aArrival;
  pending->m_request = MakeRequest(pending->m_index, aArrival);
  pending->m_scheduled = m_start + aArrival.m_at;
  pending->m_poolIndex =
    aArrival.m_selector % m_poolsOfClass[aArrival.m_class].size();
  m_entries.push_back(
    { Outcome::Pending, static_cast<uint16_t>(aArrival.m_class) });
  ++m_pendingCount;
  Send(pending);
}

net::HttpRequest Runner::MakeRequest(size_t aIndex,
                                     const Arrival& aArrival) const
{
  const RequestClass& requestClass = m_experiment.m_classes[aArrival.m_class];
  const std::string id = RequestId(m_experiment.m_run, aIndex);
  net::HttpRequest request;
  request.m_method = requestClass.m_method;
  request.m_target = requestClass.m_path;
  request.m_body = RequestBody(id, requestClass.m_bodyBytes);
  request.m_fields = {
    { net::kRequestIdField, id },
    { net::kAccountField,
      m_experiment.m_clientAccounts[aArrival.m_clientAccount].m_path },
    { net::kAnswerBytesField, std::to_string(requestClass.m_answerBytes) },
  };
  if (requestClass.m_work) {
    request.m_fields.push_back(
      { net::kWorkField,
        std::to_string(ToMilliseconds(*requestClass.m_work)) });
  }
  if (requestClass.m_deadline) {
    request.m_fields.push_back(
      { net::kDeadlineField,
        std::to_string(ToMilliseconds(*requestClass.m_deadline)) });
  }
  if (requestClass.m_sendIdempotent) {
    request.m_fields.push_back(
      { net::kIdempotentField, requestClass.m_idempotent ? "yes" : "no" });
  }
  if (!requestClass.m_chain.empty()) {
    request.m_fields.push_back({ net::kDepthChainField, requestClass.m_chain });
  }
  return request;
}

Duration Runner::TimeoutOf(const PendingRequest& aPending) const
{
  const auto& deadline =
    m_experiment.m_classes[aPending.m_arrival.m_class].m_deadline;
  return deadline ? *deadline + m_experiment.m_answerGrace
                  : m_experiment.m_answerTimeout;
}

void Runner::Send(const std::shared_ptr<PendingRequest>& aPending)
{
  const Pools& pools = m_poolsOfClass[aPending->m_arrival.m_class];
  pools[aPending->m_poolIndex]->Call(
    aPending->m_request,
    TimeoutOf(*aPending),
    [this, aPending](const net::HttpOutcome& aOutcome) {
      OnOutcome(aPending, aOutcome);
    });
}

bool Runner::MayRetry(const PendingRequest& aPending,
                      const AttemptResult& aResult) const
{
  const RequestClass& requestClass =
    m_experiment.m_classes[aPending.m_arrival.m_class];
  const bool safeToRepeat =
    requestClass.m_idempotent || aResult.m_outcome == Outcome::NotRun;
  return !m_direct && aResult.m_connectionFailed && safeToRepeat &&
         aPending.m_attempt < m_experiment.m_callerAttempts;
}

void Runner::OnOutcome(const std::shared_ptr<PendingRequest>& aPending,
                       const net::HttpOutcome& aOutcome)
{
  if (aOutcome.m_response) {
    m_results.NoteStatus(aOutcome.m_response->m_status);
  }
  AttemptResult result = ClassifyAttempt(
    aPending->m_request, aOutcome, m_experiment.m_nodesMayBreak || m_direct);
  result.m_outcome =
    CombineOutcomes(aPending->m_earlierOutcome, result.m_outcome);
  if (MayRetry(*aPending, result)) {
    aPending->m_earlierOutcome = result.m_outcome;
    ++aPending->m_attempt;
    const size_t poolCount = m_poolsOfClass[aPending->m_arrival.m_class].size();
    aPending->m_poolIndex = (aPending->m_poolIndex + 1) % poolCount;
    m_results.NoteCallerRetry();
    Send(aPending);
    return;
  }
  Record(*aPending, result, aOutcome);
  --m_pendingCount;
  FinishIfDone();
}

void Runner::Record(const PendingRequest& aPending,
                    const AttemptResult& aResult,
                    const net::HttpOutcome& aOutcome)
{
  std::optional<Duration> inTarget;
  if (aOutcome.m_response) {
    const int64_t micros = net::NumberField(
      aOutcome.m_response->m_fields, net::kTargetMicrosField, -1);
    if (micros >= 0) {
      inTarget = std::chrono::microseconds(micros);
    }
    const std::string* chain =
      net::FindField(aOutcome.m_response->m_fields, net::kChainField);
    if (chain != nullptr && *chain == "failed") {
      m_results.NoteInternalFailure();
    }
  }
  m_entries[aPending.m_index].m_outcome = aResult.m_outcome;
  m_results.Add(aPending.m_arrival.m_phase,
                aPending.m_arrival.m_clientAccount,
                aPending.m_arrival.m_class,
                aResult.m_outcome,
                Clock::now() - aPending.m_scheduled,
                inTarget);
  if (aResult.m_outcome == Outcome::Answered) {
    m_results.NoteAnswered(Clock::now() - m_start);
  }
  if (aResult.m_outcome == Outcome::Wrong ||
      aResult.m_outcome == Outcome::Lost) {
    m_results.NoteFault(RequestId(m_experiment.m_run, aPending.m_index) + " " +
                        ToString(aResult.m_outcome) + ": " + aResult.m_reason);
  }
}

void Runner::FinishIfDone()
{
  if (!m_next && m_pendingCount == 0 && m_onDone) {
    boost::asio::post(m_io, std::exchange(m_onDone, nullptr));
  }
}

} // namespace wigeonfold::load
