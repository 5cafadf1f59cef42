#include "membership/peer_codec.h"

#include <algorithm>
#include <charconv>

#include "membership/limits.h"
#include "membership/rpc_shape.h"

namespace flamingoshunt::membership {
namespace {

constexpr char kAnswerMethod[] = "answer";
// A peer may raise our counter by an answer; this keeps room above it.
constexpr std::uint64_t kMaxCounter = std::uint64_t{1} << 62;
constexpr char kRefusal[] =
    R"({"error":{"code":-32600,"message":"refused"},"id":1,"jsonrpc":"2.0"})";

std::uint64_t ParseCounter(const std::string& text) {
  std::uint64_t counter = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, counter);
  if (parsed.ec != std::errc() || parsed.ptr != end || counter > kMaxCounter)
    throw peer_message_error("counter: " + text.substr(0, 40) +
                             ": must be a decimal number below 2^62");
  return counter;
}

void CheckSize(const std::string& body) {
  if (body.size() > kMaxBody)
    throw peer_message_error("body: " + std::to_string(body.size()) +
                             " bytes: must have at most " +
                             std::to_string(kMaxBody));
}

}  // namespace

peer_codec::peer_codec(base::node_id self,
                       authenticator signer,
                       std::uint64_t first_counter)
    : self_(std::move(self)),
      signer_(std::move(signer)),
      counter_(first_counter) {}

encoded_request peer_codec::EncodeRequest(const base::node_id& to,
                                          const request& message) {
  const std::uint64_t counter = ++counter_;
  rpc_request call;
  call.method = MethodOf(message);
  call.sender = self_.str();
  call.receiver = to.str();
  call.counter = std::to_string(counter);
  call.body = RequestBody(message);
  call.mac = signer_.Sign(
      {call.method, call.sender, call.receiver, counter, call.body});
  return {rpc_.EncodeRequest(call), counter};
}

void peer_codec::VerifyRequest(const rpc_request& call, std::uint64_t counter) {
  if (call.receiver != self_.str())
    throw peer_authentication_error(
        "receiver: " + call.receiver.substr(0, kMaxNameLength) +
        ": this node is " + self_.str());
  const signed_parts parts{call.method, call.sender, call.receiver, counter,
                           call.body};
  if (!signer_.Verify(parts, call.mac))
    throw peer_authentication_error(
        "sender: " + call.sender.substr(0, kMaxNameLength) +
        ": the message authentication code does not fit");
}

decoded_request peer_codec::DecodeRequest(const std::string& body) {
  error_text_.clear();
  CheckSize(body);
  if (const auto wrong = RequestShapeProblem(body); !wrong.empty())
    throw peer_message_error("request: " + wrong);
  rpc_request call;
  rpc_problem problem;
  if (!rpc_.DecodeRequest(body, call, problem)) {
    error_text_ = problem.error_text;
    throw peer_message_error("request: " + problem.problem);
  }
  const std::uint64_t counter = ParseCounter(call.counter);
  VerifyRequest(call, counter);
  const request_origin origin{base::node_id(call.sender), counter};
  if (!seen_.Accept(origin.from, counter)) {
    replayed_ = origin;
    throw peer_replay_error("counter: " + call.counter + " from " +
                            call.sender + ": used before or too old");
  }
  return {origin, ParseRequest(call.method, call.body)};
}

std::string peer_codec::EncodeAnswer(const request_origin& to,
                                     const answer& message) {
  rpc_answer result;
  result.body = AnswerBody(message);
  result.mac = signer_.Sign(
      {kAnswerMethod, self_.str(), to.from.str(), to.counter, result.body});
  return rpc_.EncodeAnswer(result);
}

std::string peer_codec::EncodeRefusal(const peer_message_error& error) {
  if (dynamic_cast<const peer_replay_error*>(&error))
    return EncodeAnswer(replayed_,
                        counter_behind{seen_.Highest(replayed_.from)});
  return error_text_.empty() ? kRefusal : error_text_;
}

answer peer_codec::DecodeAnswer(const request_origin& request,
                                const std::string& body) {
  CheckSize(body);
  if (const auto wrong = AnswerShapeProblem(body); !wrong.empty())
    throw peer_message_error("answer: " + wrong);
  rpc_answer result;
  rpc_problem problem;
  if (!rpc_.DecodeAnswer(body, result, problem))
    throw peer_message_error("answer: " + problem.problem);
  const signed_parts parts{kAnswerMethod, request.from.str(), self_.str(),
                           request.counter, result.body};
  if (!signer_.Verify(parts, result.mac))
    throw peer_authentication_error(
        "answer of " + request.from.str() +
        ": the message authentication code does not fit");
  answer message = ParseAnswer(result.body);
  if (const auto* behind = std::get_if<counter_behind>(&message))
    counter_ = std::max(counter_, std::min(behind->highest, kMaxCounter - 1));
  return message;
}

}  // namespace flamingoshunt::membership
