#include "review/harness/plain_replica.h"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <utility>

namespace flamingoshunt::review {
namespace {

std::string Field(const runtime::http_request& request, const char* name) {
  return std::string(request[name]);
}

runtime::http_server_options ServerOptions(
    const plain_replica_options& options) {
  runtime::http_server_options server;
  server.idle_timeout = options.idle;
  return server;
}

}  // namespace

plain_replica::plain_replica(boost::asio::io_context& loop,
                             plain_replica_options options,
                             platform_store& store)
    : options_(std::move(options)),
      store_(store),
      server_(std::make_unique<runtime::http_server>(
          loop,
          "127.0.0.1:0",
          ServerOptions(options_),
          [this](auto& exchange) { Handle(exchange); })),
      address_(server_->address()) {}

void plain_replica::Start() {
  server_->Start();
  Publish();
}

void plain_replica::Publish() {
  store_.Put("servers", options_.id,
             boost::json::serialize(boost::json::object{
                 {"service", options_.service},
                 {"address", address_},
                 {"zone", options_.zone},
                 {"version", "v1"},
                 {"slots", options_.slots},
                 {"state", draining_ ? "draining" : "ready"},
                 {"cold_remaining_ms", 0},
                 {"seq", 1},
                 {"born", 1790000000000}}));
}

void plain_replica::Drain() {
  draining_ = true;
  Publish();
  draining_since_ = std::chrono::steady_clock::now();
}

void plain_replica::Exit() {
  server_->CloseAll();
  store_.Delete("servers", options_.id);
}

void plain_replica::Handle(runtime::http_exchange& exchange) {
  const auto& request = exchange.request();
  runtime::http_fields fields{
      {"X-Flamingoshunt-Request-Id",
       Field(request, "X-Flamingoshunt-Request-Id")},
      {"Keep-Alive", "timeout=" + std::to_string(options_.idle.count())}};
  if (draining_)
    fields.emplace_back("Server-Leaving", "1");
  const auto expected = Field(request, "X-Flamingoshunt-Expect-Instance");
  if (!expected.empty() && expected != options_.id) {
    fields.emplace_back("At-Server", options_.id);
    exchange.SendWhole(421, "", "", fields);
    return;
  }
  if (request.target() == "/health") {
    fields.emplace_back("X-Flamingoshunt-Replica-Id", options_.id);
    exchange.SendWhole(draining_ ? 503 : 200, "", "", fields);
    return;
  }
  runs_.push_back({Field(request, "X-Flamingoshunt-Request-Id"),
                   Field(request, "X-Flamingoshunt-Tenant"),
                   std::chrono::steady_clock::now()});
  boost::this_fiber::sleep_for(options_.work);
  fields.emplace_back("X-Flamingoshunt-Response-Signature",
                      "sig." + options_.id);
  const std::string body =
      BodyFor(Field(request, "X-Flamingoshunt-Request-Id"));
  exchange.SendWhole(200, "text/plain", body, fields);
  if (std::uniform_real_distribution<>(0, 1)(random_) >= spoils)
    return;
  ++spoiled_;
  boost::this_fiber::sleep_for(spoils_after);
  fields.erase(fields.begin());
  exchange.SendWhole(200, "text/plain", body, fields);
}

std::string plain_replica::BodyFor(const std::string& request) const {
  return options_.id + " ran " + request;
}

}  // namespace flamingoshunt::review
