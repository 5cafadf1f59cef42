#include "stand_ins/platform_host.h"

#include "base/checked_json.h"
#include "store/http_codec.h"

namespace flamingoshunt::stand_ins {
namespace {

constexpr std::string_view kFaultsTarget = "/faults";
constexpr auto kMaxLatency = std::chrono::milliseconds(60'000);

store::http_request Plain(const runtime::http_request& request) {
  store::http_request plain;
  plain.method = std::string(request.method_string());
  plain.target = std::string(request.target());
  plain.body = request.body();
  for (const auto& field : request)
    plain.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  return plain;
}

}  // namespace

platform_host::platform_host(boost::asio::io_context& loop,
                             const base::clock& clock)
    : loop_(loop), clock_(clock), timer_(loop, [this] { Pump(); }) {}

std::string platform_host::Listen(const std::string& address) {
  server_ = std::make_unique<runtime::http_server>(
      loop_, address, runtime::http_server_options{},
      [this](runtime::http_exchange& exchange) { Handle(exchange); });
  server_->Start();
  return server_->address();
}

void platform_host::Close() {
  server_->CloseAll();
}

void platform_host::Pump() {
  for (platform_delivery& delivery : platform_.Due(clock_.Now())) {
    const auto client = waiting_.find(delivery.client);
    if (client != waiting_.end())
      client->second.Push(std::move(delivery));
  }
  timer_.Arm(platform_.NextTimer());
}

void platform_host::Handle(runtime::http_exchange& exchange) {
  try {
    if (exchange.request().target() == kFaultsTarget)
      HandleFaults(exchange);
    else if (store::IsWatch(Plain(exchange.request())))
      HandleWatch(exchange);
    else
      HandleCall(exchange);
  } catch (const base::user_error& error) {
    exchange.SendWhole(400, "text/plain", error.what());
  }
}

// The mailbox goes before the exchange does, which may still be sending.
void platform_host::CallerGone(int client) {
  const auto found = waiting_.find(client);
  if (found != waiting_.end())
    found->second.Push({client, store::watch_ended{}});
}

void platform_host::HandleCall(runtime::http_exchange& exchange) {
  const store::call call = store::DecodeCall(Plain(exchange.request()));
  const int client = next_client_++;
  mailbox& answers = waiting_[client];
  exchange.WatchCaller([this, client] { CallerGone(client); });
  platform_.Send(client, call, clock_.Now());
  timer_.Arm(platform_.NextTimer());
  const platform_delivery delivery = answers.Pop();
  waiting_.erase(client);
  const auto* reply = std::get_if<store::reply>(&delivery.message);
  if (!reply || reply->outcome == store::call_outcome::kUnknown) {
    exchange.Abort();  // A lost answer.
    return;
  }
  const auto response = store::EncodeReply(call, *reply);
  runtime::http_fields fields;
  for (const auto& header : response.headers)
    fields.emplace_back(header.name, header.value);
  exchange.SendWhole(response.status, "application/json", response.body,
                     fields);
}

void platform_host::HandleWatch(runtime::http_exchange& exchange) {
  store::watch_request request = store::DecodeWatch(Plain(exchange.request()));
  const int client = next_client_++;
  request.id = store::watch_id(static_cast<std::uint64_t>(client));
  mailbox& events = waiting_[client];
  exchange.StartStream(200, "application/x-ndjson");
  exchange.WatchCaller([this, client] { CallerGone(client); });
  platform_.StartWatch(client, request, clock_.Now());
  timer_.Arm(platform_.NextTimer());
  while (true) {
    const platform_delivery delivery = events.Pop();
    const auto* event = std::get_if<store::watch_event>(&delivery.message);
    if (!event || !exchange.Write(store::EncodeWatchEvent(*event) + "\n"))
      break;
  }
  platform_.Disconnect(client);
  waiting_.erase(client);
  exchange.Abort();
}

void platform_host::HandleFaults(runtime::http_exchange& exchange) {
  base::json_problems problems;
  const auto json = base::ParseJson(exchange.request().body(), problems);
  if (!json)
    throw base::json_document_error(problems);
  base::object_reader reader(*json, "", problems);
  platform_faults faults;
  faults.refuse = reader.Boolean("refuse", false);
  faults.silent = reader.Boolean("silent", false);
  faults.stale_watch = reader.Boolean("stale_watch", false);
  faults.lose_answers =
      static_cast<int>(reader.Integer("lose_answers", 0, 1'000'000, 0));
  faults.latency =
      reader.Milliseconds("latency_ms", std::chrono::milliseconds(0),
                          kMaxLatency, std::chrono::milliseconds(2));
  reader.Finish();
  if (!problems.empty())
    throw base::json_document_error(problems);
  platform_.faults = faults;
  exchange.SendWhole(200, "application/json", "{}");
}

}  // namespace flamingoshunt::stand_ins
