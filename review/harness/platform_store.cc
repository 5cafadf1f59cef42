#include "review/harness/platform_store.h"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <utility>

#include "runtime/fiber_scheduler.h"

namespace flamingoshunt::review {
namespace {

namespace json = boost::json;

constexpr char kObjectsPath[] = "/-/objects/";
constexpr auto kWatchPollInterval = std::chrono::milliseconds(10);

std::string QueryValue(const std::string& query, const std::string& name) {
  std::size_t start = 0;
  while (start < query.size()) {
    const auto end = std::min(query.find('&', start), query.size());
    const std::string part = query.substr(start, end - start);
    if (part.compare(0, name.size() + 1, name + "=") == 0)
      return part.substr(name.size() + 1);
    start = end + 1;
  }
  return "";
}

std::string ObjectText(const std::string& name,
                       std::uint64_t revision,
                       const std::string& spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) +
         R"(,"created":100,"finalizers":[],"deleting":false},"spec":)" + spec +
         R"(,"status":null})";
}

void Send(runtime::http_exchange& exchange, int status, std::string body) {
  exchange.SendWhole(status, "application/json", std::move(body),
                     {{"Store-Era", "1"}});
}

}  // namespace

platform_store::platform_store(boost::asio::io_context& loop)
    : server_(std::make_unique<runtime::http_server>(
          loop,
          "127.0.0.1:0",
          runtime::http_server_options{},
          [this](auto& exchange) { Handle(exchange); })) {}

void platform_store::Put(const std::string& kind,
                         const std::string& name,
                         const std::string& spec) {
  object& stored = kinds_[kind][name];
  if (stored.revision != 0 && stored.spec == spec)
    return;
  stored = {++revision_, spec};
  history_.push_back({revision_, kind,
                      R"({"deleted":false,"object":)" +
                          ObjectText(name, revision_, spec) + "}"});
}

void platform_store::Delete(const std::string& kind, const std::string& name) {
  const auto found = kinds_[kind].find(name);
  if (found == kinds_[kind].end())
    return;
  ++revision_;
  history_.push_back(
      {revision_, kind,
       R"({"deleted":true,"object":)" +
           ObjectText(name, found->second.revision, found->second.spec) + "}"});
  kinds_[kind].erase(found);
}

std::string platform_store::Spec(const std::string& kind,
                                 const std::string& name) const {
  const auto objects = kinds_.find(kind);
  if (objects == kinds_.end())
    return "";
  const auto found = objects->second.find(name);
  return found == objects->second.end() ? "" : found->second.spec;
}

void platform_store::Handle(runtime::http_exchange& exchange) {
  const std::string target(exchange.request().target());
  const auto query_start = target.find('?');
  const std::string path = target.substr(0, query_start);
  const std::string query =
      query_start == std::string::npos ? "" : target.substr(query_start + 1);
  if (path.compare(0, sizeof(kObjectsPath) - 1, kObjectsPath) != 0) {
    Send(exchange, 404, "{}");
    return;
  }
  const std::string rest = path.substr(sizeof(kObjectsPath) - 1);
  const auto slash = rest.find('/');
  const std::string kind = rest.substr(0, slash);
  const std::string name =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const auto method = exchange.request().method_string();
  if (method == "POST" || method == "PUT") {
    Write(exchange, kind, name);
  } else if (!name.empty()) {
    const auto found = kinds_[kind].find(name);
    if (found == kinds_[kind].end())
      Send(exchange, 404, "{}");
    else
      Send(exchange, 200,
           ObjectText(name, found->second.revision, found->second.spec));
  } else if (!QueryValue(query, "watch").empty()) {
    Watch(exchange, kind, query);
  } else {
    List(exchange, kind);
  }
}

void platform_store::List(runtime::http_exchange& exchange,
                          const std::string& kind) {
  std::string items;
  for (const auto& [name, stored] : kinds_[kind])
    items += (items.empty() ? "" : ",") +
             ObjectText(name, stored.revision, stored.spec);
  Send(exchange, 200,
       R"({"items":[)" + items + R"(],"more":false,"store_revision":)" +
           std::to_string(revision_) + "}");
}

void platform_store::Watch(runtime::http_exchange& exchange,
                           const std::string& kind,
                           const std::string& query) {
  const std::uint64_t after = std::stoull(QueryValue(query, "watch"));
  const std::chrono::milliseconds wait(
      std::stoll(QueryValue(query, "wait_ms")));
  if (after > revision_) {
    Send(exchange, 410, "{}");
    return;
  }
  const auto end = std::chrono::steady_clock::now() + wait;
  while (true) {
    std::string events;
    for (const change& each : history_) {
      if (each.revision > after && each.kind == kind)
        events += (events.empty() ? "" : ",") + each.text;
    }
    if (!events.empty() || std::chrono::steady_clock::now() >= end) {
      Send(exchange, 200,
           R"({"events":[)" + events + R"(],"store_revision":)" +
               std::to_string(revision_) + "}");
      return;
    }
    boost::this_fiber::sleep_for(kWatchPollInterval);
  }
}

void platform_store::Write(runtime::http_exchange& exchange,
                           const std::string& kind,
                           std::string name) {
  const auto body = json::parse(exchange.request().body()).as_object();
  const auto& metadata = body.at("metadata").as_object();
  const bool create = name.empty();
  if (create)
    name = std::string(metadata.at("name").as_string());
  auto& objects = kinds_[kind];
  const auto found = objects.find(name);
  if (!create && found == objects.end()) {
    Send(exchange, 404, "{}");
    return;
  }
  const auto* expected = metadata.if_contains("revision");
  const bool conflict =
      create ? found != objects.end()
             : expected && expected->to_number<std::uint64_t>() !=
                               found->second.revision;
  if (conflict) {
    Send(exchange, 409,
         ObjectText(name, found->second.revision, found->second.spec));
    return;
  }
  Put(kind, name, json::serialize(body.at("spec")));
  const object& stored = objects.at(name);
  Send(exchange, create ? 201 : 200,
       ObjectText(name, stored.revision, stored.spec));
}

}  // namespace flamingoshunt::review
