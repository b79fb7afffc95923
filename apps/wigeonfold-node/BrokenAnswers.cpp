#include "BrokenAnswers.h"

namespace wigeonfold::node {

void BrokenAnswers::Note(const BrokenAnswerOf& aOf,
                         const net::BrokenAnswer& aAnswer,
                         TimePoint aNow)
{
  m_metrics.CountBrokenAnswer(aOf.m_source, aAnswer.m_fault);
  if (!m_log.Admits(EventId::AnswerRefused, aNow)) {
    return;
  }
  m_log.Record(EventId::AnswerRefused,
               { { "request", aOf.m_requestId },
                 { "source", ToString(aOf.m_source) },
                 { "from", aOf.m_name },
                 { "fault", net::ToString(aAnswer.m_fault) },
                 { "detail", aAnswer.m_detail } });
}

} // namespace wigeonfold::node
