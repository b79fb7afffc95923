// What is told of broken answers, which no caller gets: a log line that leads
// from the request's id to what was wrong, and a counter.
#pragma once

#include "NodeMetrics.h"

#include "wigeonfold/net/AnswerReader.h"
#include "wigeonfold/observe/DecisionLog.h"

#include <string>

namespace wigeonfold::node {

// A request and the sender of its broken answer.
struct BrokenAnswerOf
{
  std::string m_requestId;
  AnswerSource m_source = AnswerSource::Target;
  std::string m_name; // instance of the target, or name of the node
};

// Use only on the data thread. The dependencies must outlive this object.
class BrokenAnswers
{
public:
  BrokenAnswers(NodeMetrics& aMetrics, observe::DecisionLog& aLog)
    : m_metrics(aMetrics)
    , m_log(aLog)
  {
  }

  void Note(const BrokenAnswerOf& aOf,
            const net::BrokenAnswer& aAnswer,
            TimePoint aNow);

private:
  NodeMetrics& m_metrics;
  observe::DecisionLog& m_log;
};

} // namespace wigeonfold::node
