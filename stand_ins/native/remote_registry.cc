#include "stand_ins/native/remote_registry.h"

#include <boost/fiber/operations.hpp>

#include <iostream>
#include <utility>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::stand_ins {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kRetryDelay{100};
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

remote_registry::remote_registry(boost::asio::io_context& loop,
                                 std::string store)
    : store_(std::move(store)), connections_(loop) {}

void remote_registry::Start() {
  runtime::SpawnFiber([this] {
    while (true)
      Carry(writes_.Pop());
  });
}

void remote_registry::Put(const std::string& kind,
                          const std::string& name,
                          json::value spec) {
  writes_.Push({kind, name, std::move(spec)});
}

void remote_registry::Delete(const std::string& kind, const std::string& name) {
  writes_.Push({kind, name, std::nullopt});
}

void remote_registry::Carry(const write& next) {
  const std::string kind_path = "/-/objects/" + next.kind;
  const std::string path = kind_path + '/' + next.name;
  json::object body{{"metadata", json::object{{"name", next.name}}}};
  if (next.spec)
    body["spec"] = *next.spec;
  while (true) {
    try {
      int status = Send(next.spec ? "PUT" : "DELETE", path, body);
      if (next.spec && status == kNotFound)
        status = Send("POST", kind_path, body);
      if (status != kUnavailable)
        return;
    } catch (const runtime::transport_error& error) {
      std::cerr << "store: " << error.what() << '\n';
    }
    boost::this_fiber::sleep_for(kRetryDelay);
  }
}

int remote_registry::Send(const char* method,
                          const std::string& path,
                          const json::value& body) {
  return runtime::Fetch(
             connections_, store_,
             runtime::MakeRequest(method, path, store_, json::serialize(body),
                                  "application/json"),
             kCallTimeout)
      .head.status;
}

}  // namespace flamingoshunt::stand_ins
