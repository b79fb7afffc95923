#include "wigeonfold/forwarding/AnswerParts.h"

#include <algorithm>

namespace wigeonfold::forwarding {

// ---- Sending ---------------------------------------------------------------

size_t AnswerSendQueue::Left(const Entry& aEntry) const
{
  return aEntry.m_answer.m_response.body.size() - aEntry.m_sent;
}

void AnswerSendQueue::Add(LargeAnswer aAnswer)
{
  m_bytes += aAnswer.m_response.body.size();
  m_answers.push_back({ std::move(aAnswer), 0 });
}

void AnswerSendQueue::DropConnection(const void* aConnection)
{
  std::erase_if(m_answers, [&](const Entry& aEntry) {
    const bool drop = aEntry.m_answer.m_connection == aConnection;
    m_bytes -= drop ? Left(aEntry) : 0;
    return drop;
  });
}

void AnswerSendQueue::DropCall(const void* aConnection, int64_t aCallId)
{
  std::erase_if(m_answers, [&](const Entry& aEntry) {
    const bool drop = aEntry.m_answer.m_connection == aConnection &&
                      aEntry.m_answer.m_response.callId == aCallId;
    m_bytes -= drop ? Left(aEntry) : 0;
    return drop;
  });
}

std::optional<AnswerPart> AnswerSendQueue::Next(TimePoint aNow)
{
  if (m_answers.empty() || m_link.Backlog(aNow) >= kMaxBacklog) {
    return std::nullopt;
  }
  AnswerPart part = TakePart(m_answers.front());
  if (part.m_last) {
    m_answers.pop_front();
  }
  return part;
}

AnswerPart AnswerSendQueue::TakePart(Entry& aEntry)
{
  const wire::CallResponse& response = aEntry.m_answer.m_response;
  const size_t length = std::min(kPartBytes, Left(aEntry));
  std::string bytes = response.body.substr(aEntry.m_sent, length);
  AnswerPart part;
  part.m_connection = aEntry.m_answer.m_connection;
  part.m_callId = response.callId;
  if (aEntry.m_sent == 0) {
    part.m_head = response;
    part.m_head->body = std::move(bytes);
    part.m_head->__set_bodyBytes(static_cast<int64_t>(response.body.size()));
  } else {
    part.m_part.emplace();
    part.m_part->callId = response.callId;
    part.m_part->body = std::move(bytes);
  }
  aEntry.m_sent += length;
  m_bytes -= length;
  part.m_last = Left(aEntry) == 0;
  return part;
}

// ---- Receiving -------------------------------------------------------------

AnswerAssembly::Result AnswerAssembly::OnResponse(wire::CallResponse aResponse)
{
  if (m_partial.count(aResponse.callId) > 0) {
    return Result::Invalid;
  }
  if (!aResponse.__isset.bodyBytes) {
    m_complete = std::move(aResponse);
    return Result::Complete;
  }
  const auto whole = static_cast<uint64_t>(aResponse.bodyBytes);
  if (aResponse.bodyBytes < 0 || whole > m_maxBody ||
      aResponse.body.size() > whole) {
    return Result::Invalid;
  }
  if (aResponse.body.size() == whole) {
    m_complete = std::move(aResponse);
    return Result::Complete;
  }
  aResponse.body.reserve(whole);
  const int64_t callId = aResponse.callId;
  m_partial.emplace(callId, std::move(aResponse));
  return Result::Incomplete;
}

AnswerAssembly::Result AnswerAssembly::OnPart(wire::CallBodyPart aPart)
{
  const auto found = m_partial.find(aPart.callId);
  if (found == m_partial.end()) {
    return Result::Incomplete;
  }
  if (aPart.body.empty()) {
    return Result::Invalid;
  }
  wire::CallResponse& response = found->second;
  response.body += aPart.body;
  const auto whole = static_cast<size_t>(response.bodyBytes);
  if (response.body.size() > whole) {
    return Result::Invalid;
  }
  if (response.body.size() < whole) {
    return Result::Incomplete;
  }
  m_complete = std::move(response);
  m_partial.erase(found);
  return Result::Complete;
}

void AnswerAssembly::Forget(int64_t aCallId)
{
  m_partial.erase(aCallId);
}

} // namespace wigeonfold::forwarding
