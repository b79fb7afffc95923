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
  for (const RequestClass& kind : aExperiment.m_classes) {
    const auto addresses = aDirect ? DirectTargets(aExperiment, kind.m_service)
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
  // The bound lets answers be read between bursts when the sender is late.
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
  auto sent = std::make_shared<Sent>();
  sent->m_index = m_entries.size();
  sent->m_arrival = aArrival;
  sent->m_request = MakeRequest(sent->m_index, aArrival);
  sent->m_scheduled = m_start + aArrival.m_at;
  sent->m_pool = aArrival.m_pick % m_poolsOfClass[aArrival.m_class].size();
  m_entries.push_back(
    { Outcome::Pending, static_cast<uint16_t>(aArrival.m_class) });
  ++m_inHand;
  Send(sent);
}

net::HttpRequest Runner::MakeRequest(size_t aIndex,
                                     const Arrival& aArrival) const
{
  const RequestClass& kind = m_experiment.m_classes[aArrival.m_class];
  const std::string id = RequestId(m_experiment.m_run, aIndex);
  net::HttpRequest request;
  request.m_method = kind.m_method;
  request.m_target = kind.m_path;
  request.m_body = RequestBody(id, kind.m_bodyBytes);
  request.m_fields = {
    { net::kRequestIdField, id },
    { net::kAccountField,
      m_experiment.m_clientAccounts[aArrival.m_clientAccount].m_path },
    { net::kAnswerBytesField, std::to_string(kind.m_answerBytes) },
  };
  if (kind.m_work) {
    request.m_fields.push_back(
      { net::kWorkField, std::to_string(ToMilliseconds(*kind.m_work)) });
  }
  if (kind.m_deadline) {
    request.m_fields.push_back(
      { net::kDeadlineField,
        std::to_string(ToMilliseconds(*kind.m_deadline)) });
  }
  if (kind.m_sendIdempotent) {
    request.m_fields.push_back(
      { net::kIdempotentField, kind.m_idempotent ? "yes" : "no" });
  }
  if (!kind.m_chain.empty()) {
    request.m_fields.push_back({ net::kDepthChainField, kind.m_chain });
  }
  return request;
}

Duration Runner::TimeoutOf(const Sent& aSent) const
{
  const auto& deadline =
    m_experiment.m_classes[aSent.m_arrival.m_class].m_deadline;
  return deadline ? *deadline + m_experiment.m_answerGrace
                  : m_experiment.m_answerTimeout;
}

void Runner::Send(const std::shared_ptr<Sent>& aSent)
{
  const Pools& pools = m_poolsOfClass[aSent->m_arrival.m_class];
  pools[aSent->m_pool]->Call(aSent->m_request,
                             TimeoutOf(*aSent),
                             [this, aSent](const net::HttpOutcome& aOutcome) {
                               OnOutcome(aSent, aOutcome);
                             });
}

bool Runner::MayRetry(const Sent& aSent, const Verdict& aVerdict) const
{
  const RequestClass& kind = m_experiment.m_classes[aSent.m_arrival.m_class];
  const bool harmless =
    kind.m_idempotent || aVerdict.m_outcome == Outcome::NotRun;
  return !m_direct && aVerdict.m_nodeLost && harmless &&
         aSent.m_attempt < m_experiment.m_callerAttempts;
}

void Runner::OnOutcome(const std::shared_ptr<Sent>& aSent,
                       const net::HttpOutcome& aOutcome)
{
  if (aOutcome.m_response) {
    m_results.NoteStatus(aOutcome.m_response->m_status);
  }
  Verdict verdict =
    Judge(aSent->m_request, aOutcome, m_experiment.m_nodesMayBreak || m_direct);
  verdict.m_outcome = Combine(aSent->m_earlier, verdict.m_outcome);
  if (MayRetry(*aSent, verdict)) {
    aSent->m_earlier = verdict.m_outcome;
    ++aSent->m_attempt;
    const size_t pools = m_poolsOfClass[aSent->m_arrival.m_class].size();
    aSent->m_pool = (aSent->m_pool + 1) % pools;
    m_results.NoteCallerRetry();
    Send(aSent);
    return;
  }
  Record(*aSent, verdict, aOutcome);
  --m_inHand;
  FinishIfDone();
}

void Runner::Record(const Sent& aSent,
                    const Verdict& aVerdict,
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
  m_entries[aSent.m_index].m_outcome = aVerdict.m_outcome;
  m_results.Add(aSent.m_arrival.m_phase,
                aSent.m_arrival.m_clientAccount,
                aSent.m_arrival.m_class,
                aVerdict.m_outcome,
                Clock::now() - aSent.m_scheduled,
                inTarget);
  if (aVerdict.m_outcome == Outcome::Answered) {
    m_results.NoteAnswered(Clock::now() - m_start);
  }
  if (aVerdict.m_outcome == Outcome::Wrong ||
      aVerdict.m_outcome == Outcome::Lost) {
    m_results.NoteFault(RequestId(m_experiment.m_run, aSent.m_index) + " " +
                        ToString(aVerdict.m_outcome) + ": " +
                        aVerdict.m_reason);
  }
}

void Runner::FinishIfDone()
{
  if (!m_next && m_inHand == 0 && m_onDone) {
    boost::asio::post(m_io, std::exchange(m_onDone, nullptr));
  }
}

} // namespace wigeonfold::load
