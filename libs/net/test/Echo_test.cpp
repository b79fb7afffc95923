// Guards against a check that accepts a truncated answer, or the answer to
// another request.
#include "wigeonfold/net/Echo.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wigeonfold::net {
namespace {

HttpRequest Request(const std::string& aId,
                    const std::string& aBody,
                    size_t aLength)
{
  return { "GET",
           "/x",
           { { kRequestIdField, aId },
             { kAnswerBytesField, std::to_string(aLength) } },
           aBody };
}

HttpResponse Answer(const std::string& aId,
                    const std::string& aBody,
                    size_t aLength)
{
  return { 200, { { kRequestIdField, aId } }, EchoBody(aId, aBody, aLength) };
}

RC_GTEST_PROP(EchoTest, OnlyTheAnswerToTheSameRequestIsRight, ())
{
  const auto id = std::to_string(*rc::gen::inRange(0, 50));
  const auto other = std::to_string(*rc::gen::inRange(0, 50));
  const auto body = *rc::gen::arbitrary<std::string>();
  const auto otherBody = *rc::gen::arbitrary<std::string>();
  const size_t length = *rc::gen::inRange<size_t>(16, 500);
  const HttpRequest request = Request(id, body, length);
  const bool same = id == other && body == otherBody;
  RC_ASSERT((CheckEcho(request, Answer(other, otherBody, length)) ==
             EchoCheck::Right) == same);
  // The id of the request with a body computed for another one.
  HttpResponse crossed = Answer(other, otherBody, length);
  crossed.m_fields = { { kRequestIdField, id } };
  RC_ASSERT((CheckEcho(request, crossed) == EchoCheck::Right) == same);
}

RC_GTEST_PROP(EchoTest, TruncatedAnswersAreDetected, ())
{
  const size_t length = *rc::gen::inRange<size_t>(1, 500);
  const size_t kept = *rc::gen::inRange<size_t>(0, length);
  HttpResponse answer = Answer("1", "", length);
  answer.m_body.resize(kept);
  RC_ASSERT(CheckEcho(Request("1", "", length), answer) ==
            EchoCheck::WrongLength);
}

RC_GTEST_PROP(EchoTest, ChangedByteIsDetected, ())
{
  const size_t length = *rc::gen::inRange<size_t>(1, 500);
  HttpResponse answer = Answer("1", "b", length);
  answer.m_body[*rc::gen::inRange<size_t>(0, length)] ^= 1;
  RC_ASSERT(CheckEcho(Request("1", "b", length), answer) ==
            EchoCheck::OtherRequest);
}

TEST(EchoTest, HeadHasNoBody)
{
  HttpRequest request = Request("1", "", 100);
  request.m_method = "HEAD";
  EXPECT_EQ(CheckEcho(request, Answer("1", "", 0)), EchoCheck::Right);
  EXPECT_EQ(CheckEcho(request, { 200, {}, "" }), EchoCheck::OtherRequest);
}

} // namespace
} // namespace wigeonfold::net
