#include "daemon/platform_http.h"

#include <utility>

#include "runtime/fiber_scheduler.h"
#include "store/http_codec.h"

namespace flamingoshunt::daemon {
namespace {

// An idle watch shows a bookmark far more often; the client has a tighter
// bound of its own.
constexpr base::duration kWatchSilence = std::chrono::seconds(60);

runtime::http_request ToHttp(const store::http_request& encoded,
                             const std::string& host) {
  runtime::http_request message = runtime::MakeRequest(
      encoded.method, encoded.target, host, encoded.body, "application/json");
  for (const auto& header : encoded.headers)
    message.set(header.name, header.value);
  return message;
}

store::http_response FromHttp(const runtime::http_response_head& head,
                              std::string body) {
  store::http_response response;
  response.status = head.status;
  response.body = std::move(body);
  for (const auto& [name, value] : head.fields)
    response.headers.push_back({name, value});
  return response;
}

}  // namespace

platform_http::platform_http(boost::asio::io_context& loop,
                             std::vector<std::string> addresses,
                             base::duration connect_timeout,
                             store::port_receiver deliver)
    : addresses_(std::move(addresses)),
      connect_timeout_(connect_timeout),
      deliver_(std::move(deliver)),
      pool_(loop) {}

std::unique_ptr<runtime::http_connection> platform_http::Open() {
  try {
    return pool_.Open(addresses_[current_], connect_timeout_);
  } catch (const runtime::transport_error&) {
    current_ = (current_ + 1) % addresses_.size();
    throw;
  }
}

void platform_http::Send(const store::call& request) {
  runtime::SpawnFiber([this, request] { deliver_(Perform(request)); });
}

store::reply platform_http::Perform(const store::call& request) {
  bool may_have_left = false;
  try {
    auto connection = pool_.TakeIdle(addresses_[current_]);
    if (!connection)
      connection = Open();
    auto message = ToHttp(store::EncodeCall(request), connection->address());
    may_have_left = true;
    auto answer = runtime::Exchange(*connection, message, request.timeout);
    store::reply reply = store::DecodeReply(
        request, FromHttp(answer.head, std::move(answer.body)));
    reply.id = request.id;
    pool_.Return(std::move(connection));
    return reply;
  } catch (const runtime::transport_error&) {
    store::reply reply = store::ReplyWithoutResponse(request, may_have_left);
    reply.id = request.id;
    return reply;
  }
}

void platform_http::StartWatch(const store::watch_request& request) {
  runtime::SpawnFiber([this, request] {
    try {
      RunWatch(request);
    } catch (const runtime::transport_error&) {
      // Told below; the client resumes after the last revision it saw.
    } catch (const store::malformed_message&) {
    }
    watches_.erase(request.id);
    deliver_(store::watch_ended{request.id});
  });
}

void platform_http::RunWatch(const store::watch_request& request) {
  const auto connection = Open();
  watches_[request.id] = connection.get();
  auto message = ToHttp(store::EncodeWatch(request), connection->address());
  connection->Send(message, connect_timeout_);
  if (connection->ReadHead(kWatchSilence).status != 200)
    return;
  std::string lines;
  while (connection->ReadSome(lines, kWatchSilence)) {
    std::size_t start = 0;
    for (auto end = lines.find('\n'); end != std::string::npos;
         end = lines.find('\n', start)) {
      const std::string_view line(lines.data() + start, end - start);
      deliver_(store::DecodeWatchEvent(request, line));
      start = end + 1;
    }
    lines.erase(0, start);
    if (lines.size() > runtime::kMaxReplyBytes)
      return;
  }
}

void platform_http::StopWatch(store::watch_id id) {
  const auto found = watches_.find(id);
  if (found != watches_.end())
    found->second->Close();
}

}  // namespace flamingoshunt::daemon
