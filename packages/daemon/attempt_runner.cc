#include "daemon/attempt_runner.h"

#include <algorithm>
#include <utility>

#include "endpoint/http_codec.h"
#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::daemon {
namespace {

constexpr std::size_t kMaxErrorBody = 64 * 1024;  // bytes read of a refusal

runtime::http_request ToHttp(const endpoint::attempt& attempt) {
  const endpoint::http_request encoded = endpoint::EncodeAttempt(attempt);
  runtime::http_request message =
      runtime::MakeRequest(encoded.method, encoded.target, attempt.address,
                           encoded.body, encoded.content_type);
  for (const auto& header : encoded.headers) {
    if (!header.value.empty())
      message.set(header.name, header.value);
  }
  return message;
}

bool SaysNotRun(const runtime::http_response_head& head) {
  return std::any_of(
      head.fields.begin(), head.fields.end(), [](const auto& field) {
        return boost::beast::iequals(
                   field.first,
                   boost::beast::string_view(endpoint::kNotRunHeader.data(),
                                             endpoint::kNotRunHeader.size())) &&
               field.second == "true";
      });
}

endpoint::break_kind BreakOf(runtime::transport_failure failure) {
  switch (failure) {
    case runtime::transport_failure::kConnect:
    case runtime::transport_failure::kRefused:
      return endpoint::break_kind::kConnectFailed;
    case runtime::transport_failure::kTimeout:
      return endpoint::break_kind::kStalled;
    case runtime::transport_failure::kMalformed:
      return endpoint::break_kind::kMalformed;
    case runtime::transport_failure::kClosed:
      break;
  }
  return endpoint::break_kind::kClosed;
}

}  // namespace

struct attempt_runner::running_attempt {
  endpoint::attempt request;
  answer_sink sink;
  std::unique_ptr<runtime::http_connection> connection;
  runtime::http_response_head head;
  bool cancelled = false;
  bool may_have_left = false;

  void Emit(answer_event event) {
    if (!cancelled)
      sink(std::move(event));
  }

  void Break(endpoint::break_kind kind, const std::string& detail) {
    Emit(endpoint::answer_broken{request.id, kind, may_have_left, detail});
  }
};

void attempt_runner::Start(endpoint::attempt request, answer_sink sink) {
  auto attempt = std::make_shared<running_attempt>();
  attempt->request = std::move(request);
  attempt->sink = std::move(sink);
  running_[attempt->request.id] = attempt;
  runtime::SpawnFiber([this, attempt] {
    Run(*attempt);
    running_.erase(attempt->request.id);
  });
}

void attempt_runner::Cancel(base::attempt_id id) {
  const auto found = running_.find(id);
  if (found == running_.end())
    return;
  found->second->cancelled = true;
  if (found->second->connection)
    found->second->connection->Close();
}

void attempt_runner::Run(running_attempt& attempt) {
  try {
    Exchange(attempt);
    if (attempt.connection && !attempt.cancelled)
      pool_.Return(std::move(attempt.connection));
  } catch (const runtime::transport_error& error) {
    attempt.Break(BreakOf(error.failure()), error.what());
  } catch (const endpoint::malformed_message& error) {
    attempt.Break(endpoint::break_kind::kMalformed, error.what());
  } catch (const base::user_error& error) {
    // The endpoint's address in the platform's list is no address.
    attempt.Break(endpoint::break_kind::kConnectFailed, error.what());
  }
}

void attempt_runner::Exchange(running_attempt& attempt) {
  SendRequest(attempt);
  if (attempt.cancelled)
    return;
  attempt.head = attempt.connection->ReadHead(options_.read_timeout);
  if (SaysNotRun(attempt.head)) {
    attempt.may_have_left = false;
    std::string reason;
    while (reason.size() < kMaxErrorBody &&
           attempt.connection->ReadSome(reason, options_.read_timeout)) {
    }
    attempt.Break(endpoint::break_kind::kRefused, reason);
    return;
  }
  attempt.Emit(endpoint::answer_head{attempt.request.id, attempt.head.status,
                                     attempt.head.content_type});
  const bool token_stream =
      attempt.request.stream && attempt.head.status == 200;
  if (token_stream)
    ReadStream(attempt);
  else
    ReadBytes(attempt);
}

// An idle connection may have been closed by the other end unseen. Repeatable
// requests may use one, since a failure there only costs a further attempt.
void attempt_runner::SendRequest(running_attempt& attempt) {
  const std::string& address = attempt.request.address;
  if (!attempt.request.fresh_connection)
    attempt.connection = pool_.TakeIdle(address);
  if (!attempt.connection) {
    // Kept by the attempt while it connects, so that Cancel can close it.
    attempt.connection = std::make_unique<runtime::http_connection>(loop_);
    attempt.connection->Connect(address, options_.connect_timeout);
  }
  if (attempt.cancelled)
    return;
  runtime::http_request message = ToHttp(attempt.request);
  attempt.may_have_left = true;
  attempt.connection->Send(message, options_.write_timeout);
}

void attempt_runner::ReadStream(running_attempt& attempt) {
  endpoint::stream_parser parser(attempt.request.id);
  std::string bytes;
  while (attempt.connection->ReadSome(bytes, options_.read_timeout)) {
    for (endpoint::stream_event& event : parser.Parse(bytes))
      std::visit([&](auto& each) { attempt.Emit(std::move(each)); }, event);
    bytes.clear();
    if (attempt.cancelled)
      return;
  }
  if (!parser.ended())
    attempt.Break(endpoint::break_kind::kClosed,
                  "the stream ended without an end event");
}

void attempt_runner::ReadBytes(running_attempt& attempt) {
  std::uint64_t offset = 0;
  std::string bytes;
  while (attempt.connection->ReadSome(bytes, options_.read_timeout)) {
    const std::uint64_t start = offset;
    offset += bytes.size();
    attempt.Emit(endpoint::answer_chunk{attempt.request.id, start, 0,
                                        std::exchange(bytes, {})});
    if (attempt.cancelled)
      return;
  }
  attempt.Emit(endpoint::answer_end{attempt.request.id, offset, ""});
}

}  // namespace flamingoshunt::daemon
